// Package intake admits request bodies by the memory that they hold, before they are read.
//
// The load that it answers: many large uploads at once, each within the limit, that take a
// node over its memory; one organisation's uploads beside small requests of others. A body
// holds its length from the start, or what has arrived where no length is given, until the
// response is written.
//
// Small bodies have a part of the bound of their own, so that large ones don't keep them out.
// The others share the rest: the more important first, then organisations that hold less. A
// body that does not fit waits only if room is expected in time, and room is then kept for it.
// No organisation takes all, so that a body of another one seldom waits.
package intake

import (
	"cmp"
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// Small is the largest size of a body that counts as small, in bytes.
	Small = 64 << 10
	// smallPart is the part of the bound that only small bodies use.
	smallPart = 1.0 / 16
	// organisationPart is the part of their limit that the bodies of one organisation use at
	// most. The rest has room for others at once, also while its uploads are slow.
	organisationPart = 3.0 / 4
	// lowerPart is the part of the bound that each importance below the second highest
	// leaves to those above it.
	lowerPart = 1.0 / 8
	// maxWaiting bounds the number of bodies that wait. Their bytes are bounded too: more
	// than the bound are not freed in time.
	maxWaiting = 256
	// rateWindow is the time constant of the rate at which memory is freed.
	rateWindow = time.Second
	// unknownWait is when room is expected if the rate is not known, and minWait and maxWait
	// limit the expectation.
	unknownWait = 500 * time.Millisecond
	minWait     = 20 * time.Millisecond
	maxWait     = 5 * time.Second
)

// Body is a request body that asks for room.
type Body struct {
	ID           uint64
	Organisation string
	// Class is the class of the request's score; 0 is the most important.
	Class int
	// Bytes is what the body holds.
	Bytes int64
	// Placed is set if the caller was told to come back now.
	Placed bool
	// Until is when waiting for room ends.
	Until time.Time
}

// Verdict is the decision about a body: Admit, Wait or Refuse.
type Verdict interface{ verdict() }

// Admit means that the body may be read.
type Admit struct{}

// Wait means that the body waits for room. A later change admits or refuses it.
type Wait struct{}

// Refuse means that the body must not be read.
type Refuse struct {
	// After is when room is expected. Never is set if the body exceeds the bound.
	After time.Duration
	Never bool
}

func (Admit) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Changes are the verdicts on waiting bodies, by ID.
type Changes map[uint64]Verdict

// holding is the memory that an admitted body holds.
type holding struct {
	Body
	// own is set if it is in the part for small bodies.
	own bool
}

// Controller decides which bodies are read. It is not safe for concurrent use.
type Controller struct {
	bound int64
	held  map[uint64]holding
	// small are the bytes in the part for small bodies, and shared those beside it.
	small, shared int64
	organisations map[string]int64
	waiting       []Body
	waitingBytes  int64
	// freed is the rate at which memory was freed at the time of updated.
	freed   float64
	updated time.Time
}

// New returns a controller with a bound in bytes.
func New(bound int64) *Controller {
	return &Controller{bound: bound, held: map[uint64]holding{}, organisations: map[string]int64{}}
}

// SetBound changes the bound. Bodies that were admitted keep their room.
func (c *Controller) SetBound(bound int64) Changes {
	if bound == c.bound {
		return nil
	}
	c.bound = bound
	return c.admitWaiting()
}

func (c *Controller) part(f float64) int64 { return int64(f * float64(c.bound)) }

// Fits reports whether a body of a size fits into the part for small bodies. Whose it is does
// not matter then.
func (c *Controller) Fits(bytes int64) bool {
	return bytes <= Small && c.small+bytes <= c.part(smallPart)
}

// Offer decides about a body that was not read yet.
func (c *Controller) Offer(now time.Time, b Body) (Verdict, Changes) {
	switch {
	case b.Bytes > c.bound:
		return Refuse{Never: true}, nil
	case c.Fits(b.Bytes), c.hasRoom(b, b.Bytes) && !c.keptFor(b):
		c.hold(b)
		return Admit{}, nil
	}
	after, known := c.expected(now, b)
	if !b.Until.After(now) || known && after > b.Until.Sub(now) || !c.canWait(b) {
		return Refuse{After: after}, nil
	}
	changes := c.displace(now, b)
	c.waiting = append(c.waiting, b)
	c.waitingBytes += b.Bytes
	return Wait{}, changes
}

// hasRoom reports whether a body, or another one of its kind, may take more bytes. The only
// body beside the small ones may take all.
func (c *Controller) hasRoom(b Body, more int64) bool {
	if c.shared == c.held[b.ID].sharedBytes() {
		return c.shared+more <= c.bound
	}
	return c.shared+more <= c.limit(b) && !c.exceedsPart(b, more)
}

// exceedsPart reports whether more bytes would take the organisation of b over its part.
func (c *Controller) exceedsPart(b Body, more int64) bool {
	held := c.organisations[b.Organisation]
	return held > 0 && held+more > int64(organisationPart*float64(c.limit(b)))
}

// limit is up to where bodies as important as b fill the bound together.
func (c *Controller) limit(b Body) int64 {
	return c.bound - c.part(smallPart) - int64(max(0, b.Class/priority.Grades-1))*c.part(lowerPart)
}

func (h holding) sharedBytes() int64 {
	if h.own {
		return 0
	}
	return h.Bytes
}

// keptFor reports whether the free room is kept for a waiting body that goes before b.
func (c *Controller) keptFor(b Body) bool {
	i := c.first()
	return i >= 0 && c.before(c.waiting[i], b)
}

// before reports whether a goes before b: by class, then those told to come back, then by
// what their organisations hold, then the smaller one.
func (c *Controller) before(a, b Body) bool {
	order := cmp.Or(cmp.Compare(a.Class, b.Class), -compareBool(a.Placed, b.Placed),
		cmp.Compare(c.organisations[a.Organisation], c.organisations[b.Organisation]),
		cmp.Compare(a.Bytes, b.Bytes), cmp.Compare(a.ID, b.ID))
	return order < 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// first is the index of the waiting body that goes first, or -1. Those that only wait for
// their own organisation's bodies don't count.
func (c *Controller) first() int {
	first := -1
	for i, w := range c.waiting {
		if !c.exceedsPart(w, w.Bytes) && (first < 0 || c.before(w, c.waiting[first])) {
			first = i
		}
	}
	return first
}

// full reports whether b can't wait beside n others of a size together.
func (c *Controller) full(b Body, n int, bytes int64) bool {
	return n >= maxWaiting || bytes+b.Bytes > c.bound
}

// canWait reports whether b can wait once those that go after it are refused.
func (c *Controller) canWait(b Body) bool {
	n, bytes := 0, int64(0)
	for _, w := range c.waiting {
		if c.before(w, b) {
			n++
			bytes += w.Bytes
		}
	}
	return !c.full(b, n, bytes)
}

// displace refuses waiting bodies, the last first, until b can wait.
func (c *Controller) displace(now time.Time, b Body) Changes {
	changes := Changes{}
	for c.full(b, len(c.waiting), c.waitingBytes) {
		last := 0
		for i, w := range c.waiting {
			if c.before(c.waiting[last], w) {
				last = i
			}
		}
		after, _ := c.expected(now, c.waiting[last])
		changes[c.remove(last).ID] = Refuse{After: after}
	}
	return changes
}

func (c *Controller) remove(i int) Body {
	b := c.waiting[i]
	c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	c.waitingBytes -= b.Bytes
	return b
}

// admitWaiting admits waiting bodies in their order while they fit, and small ones that fit
// into their own part.
func (c *Controller) admitWaiting() Changes {
	changes := Changes{}
	admit := func(i int) {
		b := c.remove(i)
		c.hold(b)
		changes[b.ID] = Admit{}
	}
	for i := len(c.waiting) - 1; i >= 0; i-- {
		if c.Fits(c.waiting[i].Bytes) {
			admit(i)
		}
	}
	for i := c.first(); i >= 0 && c.hasRoom(c.waiting[i], c.waiting[i].Bytes); i = c.first() {
		admit(i)
	}
	return changes
}

func (c *Controller) hold(b Body) {
	h := holding{Body: b, own: c.Fits(b.Bytes)}
	c.held[b.ID] = h
	c.account(h, 1)
}

// account adds what a body holds to the sums, or with sign -1 removes it.
func (c *Controller) account(h holding, sign int64) {
	if h.own {
		c.small += sign * h.Bytes
		return
	}
	c.shared += sign * h.Bytes
	if c.organisations[h.Organisation] += sign * h.Bytes; c.organisations[h.Organisation] == 0 {
		delete(c.organisations, h.Organisation)
	}
}

// Resize changes what an admitted body holds. It reports false, and changes nothing, if the
// additional bytes don't fit. A body of unknown length that grows is refused then.
func (c *Controller) Resize(id uint64, bytes int64) (bool, Changes) {
	h, ok := c.held[id]
	if !ok {
		return false, nil
	}
	grown := h
	grown.Bytes = bytes
	more := bytes - h.Bytes
	switch {
	case h.own && more > 0 && (bytes > Small || !c.Fits(more)):
		grown.own, more = false, bytes
	case !h.own && c.Fits(bytes):
		grown.own = true
	}
	if more > 0 && !grown.own && (!c.hasRoom(grown.Body, more) || c.keptFor(grown.Body)) {
		return false, nil
	}
	c.account(h, -1)
	c.account(grown, 1)
	c.held[id] = grown
	return true, c.admitWaiting()
}

// Release gives back what an admitted body holds.
func (c *Controller) Release(now time.Time, id uint64) Changes {
	h, ok := c.held[id]
	if !ok {
		return nil
	}
	delete(c.held, id)
	c.account(h, -1)
	if !h.own {
		c.freed = c.rate(now) + float64(h.Bytes)/rateWindow.Seconds()
		c.updated = now
	}
	return c.admitWaiting()
}

// Cancel ends the wait of a body. It returns the refusal, and false if the body does not wait
// any more.
func (c *Controller) Cancel(now time.Time, id uint64) (Refuse, Changes, bool) {
	for i, w := range c.waiting {
		if w.ID == id {
			after, _ := c.expected(now, w)
			c.remove(i)
			return Refuse{After: after}, c.admitWaiting(), true
		}
	}
	return Refuse{}, nil, false
}

// rate is the rate at which memory beside the part for small bodies is freed, in bytes per
// second.
func (c *Controller) rate(now time.Time) float64 {
	if c.updated.IsZero() {
		return 0
	}
	return c.freed * math.Exp(-now.Sub(c.updated).Seconds()/rateWindow.Seconds())
}

// expected returns when there is room for b after those that go before it, and whether that is
// known.
func (c *Controller) expected(now time.Time, b Body) (time.Duration, bool) {
	rate := c.rate(now)
	if rate < 1 {
		return unknownWait, false
	}
	missing := c.shared
	if limit := c.limit(b); b.Bytes <= limit {
		missing += b.Bytes - limit
	}
	for _, w := range c.waiting {
		if c.before(w, b) {
			missing += w.Bytes
		}
	}
	seconds := min(float64(max(0, missing))/rate, maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minWait), true
}

// State is what the bodies hold at this moment, in bytes.
type State struct {
	Bound   int64 `json:"bound"`
	Held    int64 `json:"held"`
	Bodies  int   `json:"bodies"`
	Waiting int   `json:"waiting"`
}

// State returns what the bodies hold.
func (c *Controller) State() State {
	return State{Bound: c.bound, Held: c.small + c.shared, Bodies: len(c.held), Waiting: len(c.waiting)}
}
