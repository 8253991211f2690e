package returns

import (
	"math"
	"time"
)

const (
	// passedWindow is the time constant of the rate of requests that get through.
	passedWindow = 2 * time.Second
	// shortageFor is how long an organisation counts as waiting after a refusal.
	shortageFor = 2 * time.Second
)

// Resource is what callers wait for: a service, for requests of one class of importance.
type Resource struct {
	Service string
	Class   int
}

type queue struct {
	passed  float64
	updated time.Time
	lines   map[string]waiting
}

// waiting is an organisation's line.
type waiting struct {
	Line
	refusedAt time.Time
}

// Shortage gives out places for services that are short, by what gets through at one node.
// Each organisation that waits has a line of its own and an equal share of the places, so
// that one with many refused callers does not take those of the others. More important
// requests have lines of their own, and are admitted first. It is not safe for concurrent
// use.
type Shortage struct{ queues map[Resource]*queue }

// NewShortage returns a shortage without lines.
func NewShortage() *Shortage { return &Shortage{queues: map[Resource]*queue{}} }

func (s *Shortage) queueOf(r Resource) *queue {
	q, ok := s.queues[r]
	if !ok {
		q = &queue{lines: map[string]waiting{}}
		s.queues[r] = q
	}
	return q
}

// Passed counts a request that got through.
func (s *Shortage) Passed(now time.Time, r Resource) {
	q := s.queueOf(r)
	q.passed = q.rate(now) + 1/passedWindow.Seconds()
	q.updated = now
}

// rate is the number of requests that get through in a second.
func (q *queue) rate(now time.Time) float64 {
	if q.updated.IsZero() {
		return 0
	}
	return q.passed * math.Exp(-now.Sub(q.updated).Seconds()/passedWindow.Seconds())
}

// Refuse returns what a refused caller is told; u is uniform in [0, 1).
func (s *Shortage) Refuse(now time.Time, r Resource, c Caller, u float64) Told {
	q := s.queueOf(r)
	own := q.lines[c.Organisation]
	own.refusedAt = now
	q.lines[c.Organisation] = own
	waiting := 0
	for organisation, l := range q.lines {
		if now.Sub(l.refusedAt) > shortageFor {
			delete(q.lines, organisation)
			continue
		}
		waiting++
	}
	line, places := own.WithPlaces(now, 1, c.Reach(), q.rate(now)/float64(waiting))
	if places.Count == 0 {
		return Unplaced(c, places.Wait, u)
	}
	own.Line = line
	q.lines[c.Organisation] = own
	return Placed(places.Wait)
}
