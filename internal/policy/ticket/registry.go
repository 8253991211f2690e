package ticket

import (
	"crypto/rand"
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

const (
	// Lifetime is how long a ticket can be used after the start of its period.
	Lifetime = time.Hour
	// period is the length of one issue period.
	period = 10 * time.Minute
	// maxCachedBytes limits the answers cached for retries, by estimated size.
	maxCachedBytes = 8 << 20
	// secretSize is the length of a registry's secret, in bytes.
	secretSize = 32
	// MaxBatch is the maximum number of tickets issued by one call.
	MaxBatch = 1000
)

// Answer is the complete response to a request, cached for retries.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// size estimates the memory of an answer, in bytes.
func (a Answer) size() int {
	size := len(a.Body) + 64
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// Outcome is the outcome of running a ticket's request: NotRun, Completed or
// Unknown.
type Outcome interface{ outcome() }

// NotRun means that the request certainly did not run on a target; the ticket
// can be used again.
type NotRun struct{ Refusal *failure.Refusal }

// Completed means that the request ran and a target answered.
type Completed struct{ Answer Answer }

// Unknown means that the request may have run, but no answer was received.
type Unknown struct{ Refusal *failure.Refusal }

func (NotRun) outcome()    {}
func (Completed) outcome() {}
func (Unknown) outcome()   {}

// Step is the decision of Begin: Run, Join, Replay or Refuse.
type Step interface{ step() }

// Run means that the caller of Begin must run the request and then call Finish.
type Run struct{}

// Join means that the same request is in flight. Its outcome arrives on the
// channel.
type Join struct{ Outcome <-chan Outcome }

// Replay means that the request has already finished with this outcome.
type Replay struct{ Outcome Outcome }

// Refuse means that the request must not run under the ticket.
type Refuse struct{ Refusal *failure.Refusal }

func (Run) step()    {}
func (Join) step()   {}
func (Replay) step() {}
func (Refuse) step() {}

// serial identifies a ticket within its registry.
type serial struct {
	Period uint32
	Serial uint32
}

// run is a request in flight.
type run struct {
	fingerprint string
	waiters     []chan Outcome
}

// cachedResult is the outcome of a finished request.
type cachedResult struct {
	fingerprint string
	outcome     Outcome
	size        int
}

// Registry issues the tickets of one incarnation and lets the request of each
// run at most once. It is not safe for concurrent use.
type Registry struct {
	id          uuid.UUID
	secret      []byte
	epoch       time.Time           // start of period 0
	issued      map[uint32]uint32   // number of tickets issued, by period
	used        map[uint32][]uint64 // bitmap of used serials, by period
	running     map[serial]*run
	results     map[serial]cachedResult
	order       []serial // of results, oldest first
	cachedBytes int
	closed      bool
}

// NewRegistry returns the registry of an incarnation, with a new random secret.
func NewRegistry(id uuid.UUID, now time.Time) *Registry {
	secret := make([]byte, secretSize)
	_, _ = rand.Read(secret)
	return newRegistry(id, secret, now)
}

func newRegistry(id uuid.UUID, secret []byte, epoch time.Time) *Registry {
	return &Registry{
		id:      id,
		secret:  secret,
		epoch:   epoch,
		issued:  map[uint32]uint32{},
		used:    map[uint32][]uint64{},
		running: map[serial]*run{},
		results: map[serial]cachedResult{},
	}
}

// ID returns the incarnation that issued the registry's tickets.
func (reg *Registry) ID() uuid.UUID { return reg.id }

// Issue returns n new tickets for an organisation. It returns
// trace.BadParameter unless n is 1 to MaxBatch, trace.CompareFailed after Close
// and trace.LimitExceeded when the current period has no serials left.
func (reg *Registry) Issue(now time.Time, organisation string, n int) ([]Ticket, error) {
	if n < 1 || n > MaxBatch {
		return nil, trace.BadParameter("number of tickets must be 1 to %d, got %d", MaxBatch, n)
	}
	if reg.closed {
		return nil, trace.CompareFailed("the node is stopping")
	}
	reg.expire(now)
	p := reg.period(now)
	if reg.issued[p] > math.MaxUint32-MaxBatch {
		return nil, trace.LimitExceeded("all tickets of the current period have been issued")
	}
	tickets := make([]Ticket, 0, n)
	for range n {
		t := Ticket{Issuer: reg.id, Period: p, Serial: reg.issued[p]}
		reg.issued[p]++
		tickets = append(tickets, t.Sign(reg.secret, organisation))
	}
	return tickets, nil
}

// period returns the number of the issue period at a time.
func (reg *Registry) period(now time.Time) uint32 {
	return uint32(max(0, now.Sub(reg.epoch)) / period)
}

// expire deletes the state of periods whose tickets have expired.
func (reg *Registry) expire(now time.Time) {
	for p := range reg.issued {
		if reg.expired(now, p) {
			delete(reg.issued, p)
			delete(reg.used, p)
		}
	}
}

// expired reports whether the tickets of period p have expired.
func (reg *Registry) expired(now time.Time, p uint32) bool {
	return now.Sub(reg.epoch) >= time.Duration(p)*period+Lifetime
}

// Begin asks to run the request with this fingerprint under a ticket. While the
// ticket's request is in flight or its result is cached, another fingerprint is
// refused.
func (reg *Registry) Begin(now time.Time, t Ticket, organisation, fingerprint string) Step {
	if t.Issuer != reg.id || !t.Verify(reg.secret, organisation) {
		return Refuse{failure.New(failure.BadTicket, "the ticket was not issued to this organisation")}
	}
	if reg.expired(now, t.Period) {
		r := failure.New(failure.BadTicket, "the ticket has expired")
		return Refuse{r.WithRan(failure.RanUnknown)}
	}
	s := serial{t.Period, t.Serial}
	if r, ok := reg.running[s]; ok {
		return reg.join(r, fingerprint)
	}
	if k, ok := reg.results[s]; ok {
		if k.fingerprint != fingerprint {
			return refuseMismatch()
		}
		return Replay{k.outcome}
	}
	if reg.isUsed(s) {
		r := failure.New(failure.TicketUsed, "the request has run; its answer is no longer cached")
		return Refuse{r.WithRan(failure.RanYes)}
	}
	if reg.closed {
		return Refuse{failure.New(failure.Leaving, "the ticket's owner is stopping")}
	}
	reg.setUsed(s, true)
	reg.running[s] = &run{fingerprint: fingerprint}
	return Run{}
}

func (reg *Registry) join(r *run, fingerprint string) Step {
	if r.fingerprint != fingerprint {
		return refuseMismatch()
	}
	outcome := make(chan Outcome, 1)
	r.waiters = append(r.waiters, outcome)
	return Join{outcome}
}

func refuseMismatch() Step {
	return Refuse{failure.New(failure.TicketUsed, "the ticket was used for another request")}
}

// Finish records the outcome of a run that Begin allowed and sends it to the
// requests that joined.
func (reg *Registry) Finish(t Ticket, outcome Outcome) {
	s := serial{t.Period, t.Serial}
	r, ok := reg.running[s]
	if !ok {
		return
	}
	delete(reg.running, s)
	if _, notRun := outcome.(NotRun); notRun {
		reg.setUsed(s, false)
	} else {
		reg.cache(s, r.fingerprint, outcome)
	}
	for _, w := range r.waiters {
		w <- outcome
	}
}

// cache stores an outcome and evicts the oldest ones over maxCachedBytes. The
// used bit stays after eviction.
func (reg *Registry) cache(s serial, fingerprint string, outcome Outcome) {
	size := 128
	if c, ok := outcome.(Completed); ok {
		size += c.Answer.size()
	}
	reg.results[s] = cachedResult{fingerprint: fingerprint, outcome: outcome, size: size}
	reg.order = append(reg.order, s)
	reg.cachedBytes += size
	for reg.cachedBytes > maxCachedBytes && len(reg.order) > 1 {
		reg.cachedBytes -= reg.results[reg.order[0]].size
		delete(reg.results, reg.order[0])
		reg.order = reg.order[1:]
	}
}

func (reg *Registry) isUsed(s serial) bool {
	bits := reg.used[s.Period]
	word := int(s.Serial / 64)
	return word < len(bits) && bits[word]&(1<<(s.Serial%64)) != 0
}

// setUsed sets or clears the used bit of a ticket.
func (reg *Registry) setUsed(s serial, used bool) {
	bits := reg.used[s.Period]
	word := int(s.Serial / 64)
	for len(bits) <= word {
		bits = append(bits, 0)
	}
	if used {
		bits[word] |= 1 << (s.Serial % 64)
	} else {
		bits[word] &^= 1 << (s.Serial % 64)
	}
	reg.used[s.Period] = bits
}

// Close stops issuing tickets and starting requests. Running requests continue.
func (reg *Registry) Close() { reg.closed = true }

// Running returns the number of requests in flight.
func (reg *Registry) Running() int { return len(reg.running) }

// Cached returns the number of cached results and their estimated size in bytes.
func (reg *Registry) Cached() (answers, bytes int) { return len(reg.results), reg.cachedBytes }

// unknownRefusal answers retries of a request whose outcome is unknown.
func unknownRefusal() *failure.Refusal {
	r := failure.New(failure.Lost, "the outcome of the first attempt is unknown")
	return r.WithRan(failure.RanUnknown)
}
