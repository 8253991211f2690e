// Package gate admits requests to one target: it joins the concurrency limit,
// the queue and the level, and is the only place that hands out slots.
package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/limit"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/queue"
)

const (
	// queuePerSlot bounds the queue, in items per slot.
	queuePerSlot = 2
	// minQueue is the least bound of the queue, in items.
	minQueue = 8
	// holdMemory is the weight of the newest sample in the mean holding time.
	holdMemory = 0.05
	// holdFade shrinks the mean holding time with each request refused for it,
	// so that it is learned anew in the end.
	holdFade = 0.99
	// hopeless is the part of the mean holding time below which the rest of a
	// deadline isn't enough to start.
	hopeless = 0.5
)

// Options choose the variants of a gate.
type Options struct {
	// Order of the queue.
	Order queue.Order
	// Shedding switches the early cut on.
	Shedding bool
	// KeepBusy gives a free slot to a request above the cut, if nothing waits.
	KeepBusy bool
	// Adaptive lets the target's refusals lower the limit.
	Adaptive bool
}

// Standard are the rules that nodes run with.
func Standard() Options {
	return Options{Order: queue.ByScore{}, Shedding: true, Adaptive: true}
}

// Sidecar are the rules where all work for the target passes this gate and its
// slots are known: a refusal by the target below them is no sign of overload,
// and a lower limit would add to the harm of a target that refuses at random.
func Sidecar() Options {
	return Options{Order: queue.ByScore{}, Shedding: true, KeepBusy: true}
}

// Request is one request offered to the gate.
type Request struct {
	ID    uint64
	Route string
	Score priority.Score
	// RootScore is the score of the request that a call of a target is made for, if the
	// call goes by another one; zero otherwise. It is what the cut is computed from.
	RootScore priority.Score
	// RootCertain is set if Root is certain. Then more important requests of callers go
	// before the call.
	RootCertain  bool
	Organisation string
	Share        float64
	Depth        int
	Deadline     time.Time
}

// root is the score of the request that everything is done for.
func (r Request) root() priority.Score {
	if r.RootScore == 0 {
		return r.Score
	}
	return r.RootScore
}

// Verdict is the answer to an offer: Start, Wait or Refuse.
type Verdict interface{ verdict() }

// Start means that the request has a slot.
type Start struct{}

// Wait means that the request is in the queue; it starts or is left out later.
type Wait struct{}

// Refuse means that the request did not run.
type Refuse struct {
	Reason  failure.Reason
	Backoff time.Duration
}

func (Start) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Dropped is a waiting request that will not run.
type Dropped struct {
	ID     uint64
	Reason failure.Reason
}

// Changes are the waiting requests that changed state: those that have a slot
// now and those that won't get one.
type Changes struct {
	Started []uint64
	Dropped []Dropped
}

// Result is how a request that held a slot ended.
type Result int

// The results of a request that held a slot.
const (
	Answered Result = iota
	// Rejected means that the target refused it for overload.
	Rejected
	// Aborted tells nothing about the target.
	Aborted
)

type running struct {
	route string
	since time.Time
}

// Controller is the admission state of one target. It is not safe for concurrent
// use.
type Controller struct {
	rules Options
	limit limit.Limit
	queue *queue.Queue
	level *cutoff.Level

	running map[uint64]running
	waiting map[uint64]Request
	hold    map[string]float64
	// work is the mean time that requests of a route hold a slot, in seconds.
	work map[string]float64

	tickAt  time.Time
	busyAt  time.Time
	busySum float64
	done    int
}

// New returns a gate without slots.
func New(rules Options) *Controller {
	return &Controller{
		rules:   rules,
		limit:   limit.New(0),
		queue:   queue.New(rules.Order, minQueue),
		level:   cutoff.New(),
		running: map[uint64]running{},
		waiting: map[uint64]Request{},
		hold:    map[string]float64{},
		work:    map[string]float64{},
	}
}

// SetSlots changes the number of announced slots. Without any, all waiting
// requests are left out.
func (g *Controller) SetSlots(now time.Time, slots int) Changes {
	g.account(now)
	g.limit = g.limit.WithCeiling(slots)
	g.queue.Resize(max(minQueue, slots*queuePerSlot))
	if slots == 0 {
		return g.empty()
	}
	return g.fill(now)
}

// empty lets all waiting requests go elsewhere.
func (g *Controller) empty() Changes {
	var moves Changes
	for _, i := range g.queue.Drain() {
		delete(g.waiting, i.ID)
		moves.Dropped = append(moves.Dropped, Dropped{i.ID, failure.NotReady})
	}
	return moves
}

// Offer asks for a slot. Moves tells which waiting requests had to go.
func (g *Controller) Offer(now time.Time, r Request) (Verdict, Changes) {
	g.account(now)
	g.level.Offer(r.root(), r.Depth > 1, g.work[r.Route])
	if g.tooLate(now, r.Route, r.Deadline) {
		g.hold[r.Route] *= holdFade
		return Refuse{Reason: failure.Deadline}, Changes{}
	}
	idle := len(g.running) < g.limit.Value() && g.queue.Len() == 0
	if g.rules.Shedding && !g.level.Cut().Admits(r.Score, r.Depth) && !g.lessImportantWaits(r.Score) && !(g.rules.KeepBusy && idle) {
		return Refuse{Reason: failure.Overload, Backoff: g.RetryAfter()}, Changes{}
	}
	if idle {
		g.start(now, r)
		return Start{}, Changes{}
	}
	g.waiting[r.ID] = r
	displaced, full := g.queue.Push(item(now, r))
	moves := g.fill(now)
	if full {
		delete(g.waiting, displaced.ID)
		if displaced.ID == r.ID {
			return Refuse{Reason: failure.Overload, Backoff: g.RetryAfter()}, moves
		}
		moves.Dropped = append(moves.Dropped, Dropped{displaced.ID, failure.Overload})
	}
	return Wait{}, moves
}

func item(now time.Time, r Request) queue.Item {
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

// yieldsTo is the class before which a call of a target lets callers' requests pass.
func (r Request) yieldsTo() int {
	if !r.RootCertain {
		return 0
	}
	return r.RootScore.Class()
}

// lessImportantWaits keeps the cut from refusing a request while a less
// important one waits here.
func (g *Controller) lessImportantWaits(s priority.Score) bool {
	last, ok := g.queue.Last()
	return ok && last.Score.Class() > s.Class()
}

// tooLate reports whether a request can't finish before its deadline.
func (g *Controller) tooLate(now time.Time, route string, deadline time.Time) bool {
	left := deadline.Sub(now).Seconds()
	return left <= 0 || left < hopeless*g.hold[route]
}

// RetryAfter is when a refused caller is asked to try again: after the time that
// a full queue takes.
func (g *Controller) RetryAfter() time.Duration {
	capacity := g.level.Capacity()
	if capacity <= 0 {
		return time.Second
	}
	wait := time.Duration(float64(g.queue.Len()+1) / capacity * float64(time.Second))
	return min(max(wait, 100*time.Millisecond), 10*time.Second)
}

func (g *Controller) start(now time.Time, r Request) {
	g.running[r.ID] = running{route: r.Route, since: now}
}

// fill hands free slots to waiting requests.
func (g *Controller) fill(now time.Time) Changes {
	var moves Changes
	for len(g.running) < g.limit.Value() {
		next, ok, expired := g.queue.Pop(now)
		for _, e := range expired {
			delete(g.waiting, e.ID)
			moves.Dropped = append(moves.Dropped, Dropped{e.ID, failure.Deadline})
		}
		if !ok {
			return moves
		}
		r := g.waiting[next.ID]
		delete(g.waiting, next.ID)
		if g.tooLate(now, r.Route, r.Deadline) {
			moves.Dropped = append(moves.Dropped, Dropped{r.ID, failure.Deadline})
			continue
		}
		g.start(now, r)
		moves.Started = append(moves.Started, r.ID)
	}
	return moves
}

// Shed takes out all waiting requests that match.
func (g *Controller) Shed(match func(r Request) bool) Changes {
	var moves Changes
	for _, id := range slices.Sorted(maps.Keys(g.waiting)) {
		if match(g.waiting[id]) {
			g.Cancel(id)
			moves.Dropped = append(moves.Dropped, Dropped{id, failure.Overload})
		}
	}
	return moves
}

// Release gives back the slot of a request.
func (g *Controller) Release(now time.Time, id uint64, result Result) Changes {
	r, ok := g.running[id]
	if !ok {
		return Changes{}
	}
	g.account(now)
	inFlight := len(g.running)
	delete(g.running, id)
	g.done++
	switch result {
	case Answered:
		g.learnHold(r, now)
		g.limit = g.limit.WithSuccess()
	case Rejected:
		if g.rules.Adaptive {
			g.limit = g.limit.WithRefusal(inFlight)
		}
	case Aborted:
	}
	return g.fill(now)
}

func (g *Controller) learnHold(r running, now time.Time) {
	sample := now.Sub(r.since).Seconds()
	if _, known := g.work[r.route]; !known {
		g.work[r.route] = sample
	}
	g.work[r.route] += (sample - g.work[r.route]) * holdMemory
	mean, known := g.hold[r.route]
	if !known {
		g.hold[r.route] = sample * holdMemory
		return
	}
	g.hold[r.route] = mean + (sample-mean)*holdMemory
}

// Cancel takes a waiting request out of the queue. It reports whether the
// request was waiting.
func (g *Controller) Cancel(id uint64) bool {
	if _, ok := g.waiting[id]; !ok {
		return false
	}
	delete(g.waiting, id)
	return g.queue.Remove(id)
}

// Tick moves the level; call it every level.Tick.
func (g *Controller) Tick(now time.Time) {
	g.account(now)
	elapsed := now.Sub(g.tickAt)
	if g.tickAt.IsZero() {
		elapsed = cutoff.Tick
	}
	g.tickAt = now
	slots := g.limit.Value()
	g.level.Step(cutoff.Load{
		Waiting: g.queue.Len(),
		Slots:   slots,
		Busy:    g.busySum / math.Max(elapsed.Seconds(), 1e-9),
		Done:    g.done,
		Elapsed: elapsed,
	})
	g.done, g.busySum = 0, 0
}

// account adds up slot time in use.
func (g *Controller) account(now time.Time) {
	if !g.busyAt.IsZero() {
		g.busySum += now.Sub(g.busyAt).Seconds() * float64(len(g.running))
	}
	g.busyAt = now
}

// Cutoff is the present cut, Open when levels are off.
func (g *Controller) Cutoff() priority.Cutoff {
	if !g.rules.Shedding {
		return priority.AdmitAll
	}
	return g.level.Cut()
}

// Load is running plus waiting requests over the limit.
func (g *Controller) Load() float64 {
	return float64(len(g.running)+g.queue.Len()) / math.Max(1, float64(g.limit.Value()))
}

// State is a snapshot for the dump.
type State struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Limit    int     `json:"limit"`
	Slots    int     `json:"slots"`
	Cutoff   float64 `json:"cut"`
	Capacity float64 `json:"capacity"`
}

// State returns a snapshot.
func (g *Controller) State() State {
	return State{
		Running:  len(g.running),
		Waiting:  g.queue.Len(),
		Limit:    g.limit.Value(),
		Slots:    g.limit.Ceiling(),
		Cutoff:   float64(g.Cutoff()),
		Capacity: g.level.Capacity(),
	}
}
