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
	// maxKept bounds the answers kept for repeats, in bytes.
	maxKept = 8 << 20
	// secretSize is the length of a home's secret, in bytes.
	secretSize = 32
	// MaxBatch is the greatest number of tickets drawn at once.
	MaxBatch = 1000
)

// Answer is a whole answer kept for repeats.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

func (a Answer) size() int {
	size := len(a.Body) + 64
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// Outcome is how the run of a ticket's request ended: NotRun, Whole or Unknown.
type Outcome interface{ outcome() }

// NotRun means that the request provably never reached a target; the ticket
// can be used again.
type NotRun struct{ Refusal *failure.Refusal }

// Whole means that the request ran and was answered.
type Whole struct{ Answer Answer }

// Unknown means that the request may have run.
type Unknown struct{ Refusal *failure.Refusal }

func (NotRun) outcome()  {}
func (Whole) outcome()   {}
func (Unknown) outcome() {}

// Step is what a home does with a request: Run, Join, Repeat or Refuse.
type Step interface{ step() }

// Run means that the caller of Begin runs the request and then calls Finish.
type Run struct{}

// Join means that the same request is running; its outcome follows.
type Join struct{ Outcome <-chan Outcome }

// Repeat means that the request has ended with this outcome.
type Repeat struct{ Outcome Outcome }

// Refuse means that the ticket isn't valid for the request.
type Refuse struct{ Refusal *failure.Refusal }

func (Run) step()    {}
func (Join) step()   {}
func (Repeat) step() {}
func (Refuse) step() {}

// serial identifies a ticket within its home.
type serial struct {
	Period uint32
	Serial uint32
}

type run struct {
	print   string
	waiters []chan Outcome
}

type kept struct {
	print   string
	outcome Outcome
	size    int
}

// Home issues the tickets of one incarnation and runs each at most once. It is
// not safe for concurrent use.
type Home struct {
	id      uuid.UUID
	secret  []byte
	epoch   time.Time
	issued  map[uint32]uint32
	used    map[uint32][]uint64
	running map[serial]*run
	kept    map[serial]kept
	order   []serial
	bytes   int
	closed  bool
}

// NewHome returns the home of an incarnation, with a new secret.
func NewHome(id uuid.UUID, now time.Time) *Home {
	secret := make([]byte, secretSize)
	_, _ = rand.Read(secret)
	return newHome(id, secret, now)
}

func newHome(id uuid.UUID, secret []byte, epoch time.Time) *Home {
	return &Home{
		id:      id,
		secret:  secret,
		epoch:   epoch,
		issued:  map[uint32]uint32{},
		used:    map[uint32][]uint64{},
		running: map[serial]*run{},
		kept:    map[serial]kept{},
	}
}

// ID is the incarnation that issued this home's tickets.
func (h *Home) ID() uuid.UUID { return h.id }

// Issue returns n new tickets for an organisation.
func (h *Home) Issue(now time.Time, organisation string, n int) ([]Ticket, error) {
	if n < 1 || n > MaxBatch {
		return nil, trace.BadParameter("tickets are drawn 1 to %d at a time, got %d", MaxBatch, n)
	}
	if h.closed {
		return nil, trace.CompareFailed("the node is stopping")
	}
	h.expire(now)
	p := h.period(now)
	if h.issued[p] > math.MaxUint32-MaxBatch {
		return nil, trace.LimitExceeded("all tickets of the period are issued")
	}
	tickets := make([]Ticket, 0, n)
	for range n {
		t := Ticket{Home: h.id, Period: p, Serial: h.issued[p]}
		h.issued[p]++
		tickets = append(tickets, t.Seal(h.secret, organisation))
	}
	return tickets, nil
}

func (h *Home) period(now time.Time) uint32 {
	return uint32(max(0, now.Sub(h.epoch)) / period)
}

// expire forgets periods whose tickets are past their life.
func (h *Home) expire(now time.Time) {
	for p := range h.issued {
		if h.expired(now, p) {
			delete(h.issued, p)
			delete(h.used, p)
		}
	}
}

func (h *Home) expired(now time.Time, p uint32) bool {
	return now.Sub(h.epoch) >= time.Duration(p)*period+Lifetime
}

// Begin asks to run the request with this fingerprint under a ticket.
func (h *Home) Begin(now time.Time, t Ticket, organisation, fingerprint string) Step {
	if t.Home != h.id || !t.Sealed(h.secret, organisation) {
		return Refuse{failure.New(failure.BadTicket, "the ticket was not issued to this organisation")}
	}
	if h.expired(now, t.Period) {
		r := failure.New(failure.BadTicket, "the ticket has expired")
		return Refuse{r.WithRan(failure.RanUnknown)}
	}
	s := serial{t.Period, t.Serial}
	if r, ok := h.running[s]; ok {
		return h.join(r, fingerprint)
	}
	if k, ok := h.kept[s]; ok {
		if k.print != fingerprint {
			return otherRequest()
		}
		return Repeat{k.outcome}
	}
	if h.isUsed(s) {
		r := failure.New(failure.TicketUsed, "the request has run; its answer is no longer kept")
		return Refuse{r.WithRan(failure.RanYes)}
	}
	if h.closed {
		return Refuse{failure.New(failure.Leaving, "the ticket's home is stopping")}
	}
	h.mark(s, true)
	h.running[s] = &run{print: fingerprint}
	return Run{}
}

func (h *Home) join(r *run, fingerprint string) Step {
	if r.print != fingerprint {
		return otherRequest()
	}
	outcome := make(chan Outcome, 1)
	r.waiters = append(r.waiters, outcome)
	return Join{outcome}
}

func otherRequest() Step {
	return Refuse{failure.New(failure.TicketUsed, "the ticket belongs to another request")}
}

// Finish notes how the run that Begin granted has ended.
func (h *Home) Finish(t Ticket, outcome Outcome) {
	s := serial{t.Period, t.Serial}
	r, ok := h.running[s]
	if !ok {
		return
	}
	delete(h.running, s)
	if _, notRun := outcome.(NotRun); notRun {
		h.mark(s, false)
	} else {
		h.keep(s, r.print, outcome)
	}
	for _, w := range r.waiters {
		w <- outcome
	}
}

func (h *Home) keep(s serial, fingerprint string, outcome Outcome) {
	size := 128
	if w, ok := outcome.(Whole); ok {
		size += w.Answer.size()
	}
	h.kept[s] = kept{print: fingerprint, outcome: outcome, size: size}
	h.order = append(h.order, s)
	h.bytes += size
	for h.bytes > maxKept && len(h.order) > 1 {
		h.bytes -= h.kept[h.order[0]].size
		delete(h.kept, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *Home) isUsed(s serial) bool {
	bits := h.used[s.Period]
	word := int(s.Serial / 64)
	return word < len(bits) && bits[word]&(1<<(s.Serial%64)) != 0
}

func (h *Home) mark(s serial, used bool) {
	bits := h.used[s.Period]
	word := int(s.Serial / 64)
	for len(bits) <= word {
		bits = append(bits, 0)
	}
	if used {
		bits[word] |= 1 << (s.Serial % 64)
	} else {
		bits[word] &^= 1 << (s.Serial % 64)
	}
	h.used[s.Period] = bits
}

// Close lets no further request run here; running ones go on.
func (h *Home) Close() { h.closed = true }

// Running is the number of requests under way.
func (h *Home) Running() int { return len(h.running) }

// Kept is the number and total size in bytes of kept answers.
func (h *Home) Kept() (answers, bytes int) { return len(h.kept), h.bytes }

// unknownRefusal answers repeats of a request whose outcome was not learned.
func unknownRefusal() *failure.Refusal {
	r := failure.New(failure.Lost, "the outcome of the first send was not learned")
	return r.WithRan(failure.RanUnknown)
}
