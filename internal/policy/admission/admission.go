// Package admission admits requests to one target. It combines the concurrency
// limit, the queue and the cutoff, and is the only place that grants slots.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/limit"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/queue"
	"chestnutshed.example/chestnutshed/internal/policy/ratelimit"
)

const (
	// queuePerSlot is the queue size, in items per slot.
	queuePerSlot = 2
	// minQueue is the minimum queue size, in items.
	minQueue = 8
	// holdWeight is the weight of the newest sample in the mean holding times.
	holdWeight = 0.05
	// holdDecay is the factor on the hold estimate for each request refused
	// because of it. Without it a too high estimate would stay, since a route that
	// is always refused gets no new samples.
	holdDecay = 0.99
	// rateQueueTime bounds the queue of a target with a bound on its rate: requests that would
	// wait longer are refused at once.
	rateQueueTime = 300 * time.Millisecond
	// minHoldFraction is the fraction of the hold estimate that must remain until
	// the deadline for a request to start.
	minHoldFraction = 0.5
)

// Options select the variant of a controller.
type Options struct {
	// Order of the queue.
	Order queue.Order
	// Shedding refuses requests above the cutoff before the queue is full.
	Shedding bool
	// WorkConserving gives a free slot to a request above the cutoff if the queue
	// is empty.
	WorkConserving bool
	// AdaptiveLimit lowers the concurrency limit when the target refuses requests.
	AdaptiveLimit bool
}

// Standard returns the options that nodes run with.
func Standard() Options {
	return Options{Order: queue.ByScore{}, Shedding: true, AdaptiveLimit: true}
}

// Sidecar returns the options for a controller that all work for the target
// passes and that knows the target's slots. A refusal by the target below that
// limit is then no sign of overload, and lowering the limit would only make a
// target that refuses at random worse.
func Sidecar() Options {
	return Options{Order: queue.ByScore{}, Shedding: true, WorkConserving: true}
}

// Request is a request that asks for a slot.
type Request struct {
	ID    uint64
	Route string
	Score priority.Score
	// RootScore is the score of the root request behind an inner call, if the call
	// itself has another score; zero otherwise. The cutoff is computed from it.
	RootScore priority.Score
	// RootCertain is set if RootScore is not just an estimate. Callers' requests
	// that are more important than the root then go before the inner call.
	RootCertain  bool
	Organisation string
	Share        float64
	Depth        int
	Deadline     time.Time
}

// rootScore returns the score of the root request.
func (r Request) rootScore() priority.Score {
	if r.RootScore == 0 {
		return r.Score
	}
	return r.RootScore
}

// Verdict is the answer to an offer: Start, Wait or Refuse.
type Verdict interface{ verdict() }

// Start means that the request has a slot.
type Start struct{}

// Wait means that the request is in the queue. It is started or dropped later.
type Wait struct{}

// Refuse means that the request is not run.
type Refuse struct {
	Reason failure.Reason
	// Backoff is how long the caller should wait before it retries.
	Backoff time.Duration
}

func (Start) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Dropped is a waiting request that was removed from the queue and will not run.
type Dropped struct {
	ID     uint64
	Reason failure.Reason
}

// Changes lists the waiting requests that got a slot and those that were
// dropped.
type Changes struct {
	Started []uint64
	Dropped []Dropped
}

// Result is how a request that held a slot ended.
type Result int

// The results of a request that held a slot.
const (
	Answered Result = iota
	// Rejected means that the target refused the request because of overload.
	Rejected
	// Aborted says nothing about the target's load.
	Aborted
)

// running is a request that holds a slot.
type running struct {
	route string
	since time.Time
}

// Controller is the admission state of one target. It is not safe for
// concurrent use.
type Controller struct {
	options Options
	limit   limit.Limit
	// rate is the limit that the target names on the requests per second.
	rate ratelimit.Limit
	// cold bounds the requests while the target is cold.
	cold   *coldstart.Limiter
	queue  *queue.Queue
	cutoff *cutoff.Regulator

	running map[uint64]running
	waiting map[uint64]Request
	// holdEstimate is the mean holding time of each route in seconds, averaged up
	// from zero. It decides whether a deadline can still be met.
	holdEstimate map[string]float64
	// meanHold is the mean time that requests of a route hold a slot, in seconds.
	meanHold map[string]float64

	lastTick  time.Time
	accruedAt time.Time
	// busyTime is the slot time used since the last tick, in slot seconds.
	busyTime float64
	// released is the number of slots released since the last tick.
	released int
}

// New returns a controller without slots.
func New(options Options) *Controller {
	return &Controller{
		options:      options,
		limit:        limit.New(0),
		cold:         coldstart.New(),
		queue:        queue.New(options.Order, minQueue),
		cutoff:       cutoff.New(),
		running:      map[uint64]running{},
		waiting:      map[uint64]Request{},
		holdEstimate: map[string]float64{},
		meanHold:     map[string]float64{},
	}
}

// SetSlots changes the number of slots that the target announced. With 0 slots,
// all waiting requests are dropped.
func (c *Controller) SetSlots(now time.Time, slots int) Changes {
	c.accrueBusy(now)
	c.limit = c.limit.WithCeiling(slots)
	c.resizeQueue(now)
	if slots == 0 {
		return c.dropAll()
	}
	return c.startWaiting(now)
}

// SetRate changes the limit on the requests per second.
func (c *Controller) SetRate(now time.Time, rate ratelimit.Limit) {
	c.rate = rate
	c.resizeQueue(now)
}

// Rate is the limit on the requests per second.
func (c *Controller) Rate() ratelimit.Limit { return c.rate }

// Cold bounds the requests while the target is cold.
func (c *Controller) Cold() *coldstart.Limiter { return c.cold }

// maxRate is the number of requests per second that may be sent, infinite without a bound.
func (c *Controller) maxRate(now time.Time) float64 {
	return min(c.rate.Rate(now), c.cold.Rate(now))
}

func (c *Controller) resizeQueue(now time.Time) {
	size := float64(max(minQueue, c.limit.Ceiling()*queuePerSlot))
	c.queue.Resize(int(min(size, max(1, c.maxRate(now)*rateQueueTime.Seconds()))))
}

// usableSlots is the number of slots that can be in use: with a bound on the rate, no more
// than what requests at that rate hold.
func (c *Controller) usableSlots(now time.Time) int {
	slots := c.limit.Value()
	hold, rate := c.cutoff.Hold(), c.maxRate(now)
	if math.IsInf(rate, 1) || hold == 0 {
		return slots
	}
	return int(min(float64(slots), max(1, math.Ceil(rate*hold))))
}

// mayStart reports whether a slot is free and the bounds on the rate allow a request.
func (c *Controller) mayStart(now time.Time) bool {
	return len(c.running) < c.limit.Value() && c.rate.Allows(now) && c.cold.Allows(now)
}

// dropAll drops all waiting requests as not ready, so that callers try another
// target.
func (c *Controller) dropAll() Changes {
	var changes Changes
	for _, i := range c.queue.Drain() {
		delete(c.waiting, i.ID)
		changes.Dropped = append(changes.Dropped, Dropped{i.ID, failure.NotReady})
	}
	return changes
}

// Offer asks for a slot. Changes lists the waiting requests that were started or
// dropped.
func (c *Controller) Offer(now time.Time, r Request) (Verdict, Changes) {
	c.accrueBusy(now)
	c.cutoff.Offer(r.rootScore(), r.Depth > 1, c.meanHold[r.Route])
	if c.cannotFinish(now, r.Route, r.Deadline) {
		c.holdEstimate[r.Route] *= holdDecay
		return Refuse{Reason: failure.Deadline}, Changes{}
	}
	idle := c.mayStart(now) && c.queue.Len() == 0
	if c.options.Shedding && !c.cutoff.Cutoff().Admits(r.Score, r.Depth) && !c.lessImportantWaits(r.Score) && !(c.options.WorkConserving && idle) {
		return Refuse{Reason: failure.Overload, Backoff: c.RetryAfter()}, Changes{}
	}
	if idle {
		c.start(now, r)
		return Start{}, Changes{}
	}
	c.waiting[r.ID] = r
	displaced, full := c.queue.Push(newItem(now, r))
	changes := c.startWaiting(now)
	if full {
		delete(c.waiting, displaced.ID)
		if displaced.ID == r.ID {
			return Refuse{Reason: failure.Overload, Backoff: c.RetryAfter()}, changes
		}
		changes.Dropped = append(changes.Dropped, Dropped{displaced.ID, failure.Overload})
	}
	return Wait{}, changes
}

func newItem(now time.Time, r Request) queue.Item {
	return queue.Item{
		ID:           r.ID,
		Score:        r.Score,
		Organisation: r.Organisation,
		Share:        r.Share,
		Depth:        r.Depth,
		Deadline:     r.Deadline,
		Arrived:      now,
		YieldsTo:     r.yieldsTo(),
	}
}

// yieldsTo returns the class of the root request if it is certain, else 0.
// Callers' requests of more important classes go before the inner call.
func (r Request) yieldsTo() int {
	if !r.RootCertain {
		return 0
	}
	return r.RootScore.Class()
}

// lessImportantWaits reports whether a less important request is in the queue.
// The cutoff doesn't refuse a request then.
func (c *Controller) lessImportantWaits(s priority.Score) bool {
	last, ok := c.queue.Last()
	return ok && last.Score.Class() > s.Class()
}

// cannotFinish reports whether a request is unlikely to finish before its
// deadline.
func (c *Controller) cannotFinish(now time.Time, route string, deadline time.Time) bool {
	remaining := deadline.Sub(now).Seconds()
	return remaining <= 0 || remaining < minHoldFraction*c.holdEstimate[route]
}

// RetryAfter is the backoff for a refused caller: the time to work off the
// present queue, from 100 ms to 10 s, or 1 s if the capacity is unknown.
func (c *Controller) RetryAfter() time.Duration {
	capacity := c.cutoff.Capacity()
	if capacity <= 0 {
		return time.Second
	}
	wait := time.Duration(float64(c.queue.Len()+1) / capacity * float64(time.Second))
	return min(max(wait, 100*time.Millisecond), 10*time.Second)
}

func (c *Controller) start(now time.Time, r Request) {
	c.running[r.ID] = running{route: r.Route, since: now}
	c.rate = c.rate.WithSent(now)
	c.cold.RecordSent(now)
}

// startWaiting gives free slots to waiting requests.
func (c *Controller) startWaiting(now time.Time) Changes {
	var changes Changes
	for c.mayStart(now) {
		next, ok, expired := c.queue.Pop(now)
		for _, e := range expired {
			delete(c.waiting, e.ID)
			changes.Dropped = append(changes.Dropped, Dropped{e.ID, failure.Deadline})
		}
		if !ok {
			return changes
		}
		r := c.waiting[next.ID]
		delete(c.waiting, next.ID)
		if c.cannotFinish(now, r.Route, r.Deadline) {
			changes.Dropped = append(changes.Dropped, Dropped{r.ID, failure.Deadline})
			continue
		}
		c.start(now, r)
		changes.Started = append(changes.Started, r.ID)
	}
	return changes
}

// Shed drops all waiting requests that match.
func (c *Controller) Shed(match func(r Request) bool) Changes {
	var changes Changes
	for _, id := range slices.Sorted(maps.Keys(c.waiting)) {
		if match(c.waiting[id]) {
			c.Cancel(id)
			changes.Dropped = append(changes.Dropped, Dropped{id, failure.Overload})
		}
	}
	return changes
}

// Release returns the slot of a request. It does nothing for an unknown request.
func (c *Controller) Release(now time.Time, id uint64, result Result) Changes {
	r, ok := c.running[id]
	if !ok {
		return Changes{}
	}
	c.accrueBusy(now)
	inFlight := len(c.running)
	delete(c.running, id)
	c.released++
	switch result {
	case Answered:
		c.recordHold(r, now)
		c.limit = c.limit.WithSuccess()
	case Rejected:
		if c.options.AdaptiveLimit {
			c.limit = c.limit.WithRefusal(inFlight)
		}
	case Aborted:
	}
	return c.startWaiting(now)
}

// recordHold updates the mean holding times of a route.
func (c *Controller) recordHold(r running, now time.Time) {
	sample := now.Sub(r.since).Seconds()
	if _, known := c.meanHold[r.route]; !known {
		c.meanHold[r.route] = sample
	}
	c.meanHold[r.route] += (sample - c.meanHold[r.route]) * holdWeight
	mean, known := c.holdEstimate[r.route]
	if !known {
		c.holdEstimate[r.route] = sample * holdWeight
		return
	}
	c.holdEstimate[r.route] = mean + (sample-mean)*holdWeight
}

// Cancel removes a request from the queue. It reports whether the request was
// waiting.
func (c *Controller) Cancel(id uint64) bool {
	if _, ok := c.waiting[id]; !ok {
		return false
	}
	delete(c.waiting, id)
	return c.queue.Remove(id)
}

// Tick updates the cutoff, and starts waiting requests that the rate limit allows now. It
// must be called every cutoff.Tick.
func (c *Controller) Tick(now time.Time) Changes {
	c.accrueBusy(now)
	c.resizeQueue(now)
	elapsed := now.Sub(c.lastTick)
	if c.lastTick.IsZero() {
		elapsed = cutoff.Tick
	}
	c.lastTick = now
	slots := c.usableSlots(now)
	c.cutoff.Update(cutoff.Sample{
		Waiting:  c.queue.Len(),
		Slots:    slots,
		Busy:     c.busyTime / math.Max(elapsed.Seconds(), 1e-9),
		Released: c.released,
		Elapsed:  elapsed,
	})
	c.released, c.busyTime = 0, 0
	return c.startWaiting(now)
}

// accrueBusy adds the slot time used since the last call.
func (c *Controller) accrueBusy(now time.Time) {
	if !c.accruedAt.IsZero() {
		c.busyTime += now.Sub(c.accruedAt).Seconds() * float64(len(c.running))
	}
	c.accruedAt = now
}

// Cutoff is the present cutoff, priority.AdmitAll when shedding is off.
func (c *Controller) Cutoff() priority.Cutoff {
	if !c.options.Shedding {
		return priority.AdmitAll
	}
	return c.cutoff.Cutoff()
}

// Load is the number of running and waiting requests over the slots that can be in use.
// While the target is cold, it is at least the part of its bound that is in use.
func (c *Controller) Load(now time.Time) float64 {
	load := float64(len(c.running)+c.queue.Len()) / math.Max(1, float64(c.usableSlots(now)))
	return max(load, c.cold.Load(now, c.queue.Len()))
}

// State is a snapshot for the state dump.
type State struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Limit    int     `json:"limit"`
	Slots    int     `json:"slots"`
	Cutoff   float64 `json:"cut"`
	Capacity float64 `json:"capacity"`
	// Rate is the limit that the target names on the requests per second, 0 for none.
	Rate float64 `json:"rate,omitempty"`
}

// State returns a snapshot.
func (c *Controller) State() State {
	return State{
		Running:  len(c.running),
		Waiting:  c.queue.Len(),
		Limit:    c.limit.Value(),
		Slots:    c.limit.Ceiling(),
		Cutoff:   float64(c.Cutoff()),
		Capacity: c.cutoff.Capacity(),
		Rate:     c.rate.Named(),
	}
}
