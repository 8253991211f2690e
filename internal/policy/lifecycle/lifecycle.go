// Package lifecycle follows the target beside a node from its announcements.
//
// An incarnation of a target is named by its ID and the time of its start.
// Announcements may come late, twice, or after the target has left: a leave is
// final for its incarnation, and an older incarnation never replaces a newer.
package lifecycle

import (
	"time"

	"github.com/gravitational/trace"
)

// State is what the target takes.
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

// Announcement is what a target says of itself.
type Announcement struct {
	ID string
	// Born is the start of the incarnation, in Unix milliseconds by the
	// target's clock.
	Born    int64
	Service string
	Address string
	Slots   int
	Leaving bool
	// Cold is how much longer the target is slow after its start.
	Cold time.Duration
	// Sequence rises with each announcement of an incarnation.
	Sequence int64
}

// Validate returns an error for an announcement that names no usable target.
func (a Announcement) Validate() error {
	switch {
	case a.ID == "":
		return trace.BadParameter("the announcement has no id")
	case a.Born <= 0:
		return trace.BadParameter("target %s: the start must be above 0, got %d", a.ID, a.Born)
	case a.Service == "":
		return trace.BadParameter("target %s: no service", a.ID)
	case a.Slots < 0:
		return trace.BadParameter("target %s: slots must not be negative, got %d", a.ID, a.Slots)
	}
	return nil
}

// lateFor is how long after a leave that names no start an announcement of an earlier
// start under the same ID is taken for a late one of the target that left: they come
// seconds late at most.
const lateFor = 30 * time.Second

// Leave is what a target says when it signs off.
type Leave struct {
	ID string
	// Born is the start of the incarnation; 0 if the target doesn't say.
	Born int64
	// ReceivedAt is when it was heard, by the VM's time of day, which starts are told in.
	ReceivedAt time.Time
}

// Target is the immutable state of the target beside a node. The zero value
// knows of none.
type Target struct {
	Last  Announcement
	State State
	// FirstSeen is when the incarnation was first heard, Heard the latest time.
	FirstSeen time.Time
	LastSeen  time.Time
	// left is the leave of an incarnation whose start isn't known.
	left Leave
}

// Slots is the number of requests that the target takes at once now.
func (t Target) Slots() int {
	if t.State != Ready {
		return 0
	}
	return t.Last.Slots
}

// Is reports whether the target is this incarnation.
func (t Target) Is(id string, born int64) bool {
	return t.State != Absent && t.Last.ID == id && t.Last.Born == born
}

// WithAnnouncement returns the state after an announcement heard at now, and
// whether anything but its age changed.
func (t Target) WithAnnouncement(now time.Time, a Announcement) (Target, bool) {
	if t.isLate(now, a) {
		// Its start is known now, and the leave is final for it.
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

// isLate reports whether an announcement is of the incarnation that left before its
// start was known.
func (t Target) isLate(now time.Time, a Announcement) bool {
	return t.left.ID != "" && t.left.ID == a.ID && a.Born <= t.left.ReceivedAt.UnixMilli() && now.Sub(t.FirstSeen) <= lateFor
}

// WithLeave returns the state after a target signed off at now.
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
