// Package lifecycle tracks the state of the target beside a node from the
// target's announcements.
//
// An incarnation of a target is identified by its ID and start time.
// Announcements may arrive late, twice, or after the target has left. A leave
// is final for its incarnation, and an older incarnation never replaces a newer
// one.
package lifecycle

import (
	"time"

	"github.com/gravitational/trace"
)

// State is the state of a target.
type State int

// The states. Only a Ready target takes new work.
const (
	Absent State = iota
	Ready
	Leaving
	Gone
)

// String returns the name shown to operators.
func (s State) String() string {
	return [...]string{"absent", "ready", "leaving", "gone"}[s]
}

// Announcement is a target's report of its own state.
type Announcement struct {
	ID string
	// Born is the start time of the incarnation, in Unix milliseconds by the
	// target's clock.
	Born    int64
	Service string
	Address string
	// Slots is the number of requests that the target runs concurrently.
	Slots   int
	Leaving bool
	// Cold is the rest of the time that the target is slow after its start.
	Cold time.Duration
	// Sequence increases with each announcement of an incarnation.
	Sequence int64
}

// Validate returns an error if a required field is missing or out of range.
func (a Announcement) Validate() error {
	switch {
	case a.ID == "":
		return trace.BadParameter("announcement without an id")
	case a.Born <= 0:
		return trace.BadParameter("target %s: start time must be above 0, got %d", a.ID, a.Born)
	case a.Service == "":
		return trace.BadParameter("target %s: announcement without a service", a.ID)
	case a.Slots < 0:
		return trace.BadParameter("target %s: slots must not be negative, got %d", a.ID, a.Slots)
	}
	return nil
}

// maxDelay is how long after a leave without a start time an announcement with
// the same ID and an earlier start time is attributed to the target that left.
// Announcements arrive seconds late at most.
const maxDelay = 30 * time.Second

// Leave is a target's message that it has ended.
type Leave struct {
	ID string
	// Born is the start time of the incarnation as in Announcement; 0 if the
	// target does not report it.
	Born int64
	// ReceivedAt is the wall-clock time of the VM when the message arrived.
	// Start times are wall-clock times too.
	ReceivedAt time.Time
}

// Target is the immutable state of the target beside a node. In the zero value
// the target is absent.
type Target struct {
	Last  Announcement
	State State
	// FirstSeen is when the first message of the incarnation arrived, LastSeen
	// when the latest did.
	FirstSeen time.Time
	LastSeen  time.Time
	// left is the leave of an incarnation whose start time is not known.
	left Leave
}

// Slots is the number of requests that the target runs concurrently; 0 if it is
// not ready.
func (t Target) Slots() int {
	if t.State != Ready {
		return 0
	}
	return t.Last.Slots
}

// HasLeft reports whether the target has announced that it leaves.
func (t Target) HasLeft() bool { return t.State == Leaving || t.State == Gone }

// LeftUntil is the time of a leave without a start time, in Unix milliseconds, until the
// start time is known; 0 otherwise. Incarnations that started by then have left.
func (t Target) LeftUntil() int64 {
	if t.left.ID == "" {
		return 0
	}
	return t.left.ReceivedAt.UnixMilli()
}

// Is reports whether the target is this incarnation.
func (t Target) Is(id string, born int64) bool {
	return t.State != Absent && t.Last.ID == id && t.Last.Born == born
}

// WithAnnouncement returns the state after an announcement that arrived at now,
// and whether the incarnation, the state or the slots changed.
func (t Target) WithAnnouncement(now time.Time, a Announcement) (Target, bool) {
	if t.isLate(now, a) {
		// The start time of the incarnation that left is known now. The leave
		// is final for it.
		t.Last, t.left = a, Leave{}
		return t, false
	}
	same := t.Is(a.ID, a.Born)
	switch {
	case !same && t.State != Absent && a.Born <= t.Last.Born:
		return t, false
	case same && a.Sequence <= t.Last.Sequence:
		return t, false
	case !same:
		return Target{Last: a, State: stateOf(a), FirstSeen: now, LastSeen: now}, true
	}
	next := t
	next.LastSeen = now
	next.Last = a
	if t.State == Ready {
		next.State = stateOf(a)
	}
	return next, next.State != t.State || a.Slots != t.Last.Slots
}

func stateOf(a Announcement) State {
	if a.Leaving {
		return Leaving
	}
	return Ready
}

// isLate reports whether an announcement belongs to the incarnation that left
// before its start time was known.
func (t Target) isLate(now time.Time, a Announcement) bool {
	return t.left.ID != "" && t.left.ID == a.ID && a.Born <= t.left.ReceivedAt.UnixMilli() && now.Sub(t.FirstSeen) <= maxDelay
}

// WithLeaving returns the state after the target has said in an answer that this
// incarnation leaves, and whether it changed.
func (t Target) WithLeaving(now time.Time, id string, born int64) (Target, bool) {
	if t.State != Ready || !t.Is(id, born) {
		return t, false
	}
	t.State, t.LastSeen = Leaving, now
	return t, true
}

// WithLeave returns the state after a leave that arrived at now, and whether it
// changed.
func (t Target) WithLeave(now time.Time, l Leave) (Target, bool) {
	if t.State == Absent {
		gone := Target{Last: Announcement{ID: l.ID, Born: l.Born}, State: Gone, FirstSeen: now, LastSeen: now}
		if l.Born == 0 {
			gone.left = l
		}
		return gone, true
	}
	if t.Last.ID != l.ID || (l.Born != 0 && l.Born != t.Last.Born) || t.State == Gone {
		return t, false
	}
	t.State, t.LastSeen = Gone, now
	return t, true
}
