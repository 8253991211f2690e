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
	// Cold is how much longer the target stays cold. It is set only if ColdKnown is: if
	// the target says so, in a form that can be read.
	Cold      time.Duration
	ColdKnown bool
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

// maxLeaves bounds the leaves that a Target remembers. Only those of incarnations
// that may still be announced for the first time are remembered.
const maxLeaves = 64

// Leave is a target's message that it leaves or has ended.
type Leave struct {
	ID string
	// Born is the start time of the incarnation as in Announcement; 0 if the
	// target does not report it.
	Born int64
	// ReceivedAt is the wall-clock time of the VM when the message arrived.
	// Start times are wall-clock times too.
	ReceivedAt time.Time
}

// Covers reports whether an incarnation has left or ended, given this message. It covers
// all incarnations with its ID up to the one that sent it: earlier ones have ended.
// Without a start time these are the ones that had started when it arrived.
func (l Leave) Covers(id string, born int64) bool {
	latest := l.Born
	if latest == 0 {
		latest = l.ReceivedAt.UnixMilli()
	}
	return l.ID == id && born <= latest
}

// knownLeave is a leave that a Target remembers.
type knownLeave struct {
	Leave
	// expires is when the leave no longer covers announcements; zero for never.
	expires time.Time
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
	// until is the time of a leave without a start time, in Unix milliseconds, until
	// the start time is known.
	until int64
	// leaves are known leaves of incarnations other than older ones.
	leaves []knownLeave
	// awaitsHistory is set until the leaves are known that earlier processes of the
	// node acknowledged. Pending is the newest announcement of a target that accepts
	// work that arrived by then.
	awaitsHistory bool
	pending       *Announcement
}

// AwaitingHistory returns the state of a process that has just started. It holds back
// announcements of a target that accepts work until WithHistory: they may be older than
// a leave that an earlier process acknowledged.
func AwaitingHistory() Target { return Target{awaitsHistory: true} }

// AwaitsHistory reports whether the leaves that earlier processes acknowledged are not
// known yet.
func (t Target) AwaitsHistory() bool { return t.awaitsHistory }

// Pending returns the announcement that is held back, and false if there is none.
func (t Target) Pending() (Announcement, bool) {
	if t.pending == nil {
		return Announcement{}, false
	}
	return *t.pending, true
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
func (t Target) LeftUntil() int64 { return t.until }

// Is reports whether the target is this incarnation.
func (t Target) Is(id string, born int64) bool {
	return t.State != Absent && t.Last.ID == id && t.Last.Born == born
}

// WithHistory returns the state once the leaves are known that earlier processes of the
// node acknowledged, and whether it changed. It applies the announcement that was held
// back.
func (t Target) WithHistory(now time.Time, left []Leave) (Target, bool) {
	if !t.awaitsHistory {
		return t, false
	}
	for _, l := range left {
		t = t.remember(l, time.Time{})
	}
	pending := t.pending
	t.awaitsHistory, t.pending = false, nil
	changed := false
	if t.State == Ready && t.covers(now, t.Last.ID, t.Last.Born) {
		t.State, changed = Gone, true
	}
	if pending == nil {
		return t, changed
	}
	next, applied := t.WithAnnouncement(now, *pending)
	return next, applied || changed
}

// WithConfirmation returns the state after the target itself has confirmed that it does
// not leave, and whether it changed. ID is that of the target. It applies the announcement
// that was held back, if it is the target's; what else earlier processes acknowledged
// stays unknown.
func (t Target) WithConfirmation(now time.Time, id string) (Target, bool) {
	if t.pending == nil || t.pending.ID != id {
		return t, false
	}
	pending := *t.pending
	t.awaitsHistory, t.pending = false, nil
	next, changed := t.WithAnnouncement(now, pending)
	next.awaitsHistory = true
	return next, changed
}

// WithAnnouncement returns the state after an announcement that arrived at now,
// and whether the incarnation, the state or the slots changed.
func (t Target) WithAnnouncement(now time.Time, a Announcement) (Target, bool) {
	left := t.covers(now, a.ID, a.Born)
	confirmed := t.State == Ready && t.Is(a.ID, a.Born)
	if t.awaitsHistory && !left && !a.Leaving && !confirmed {
		if t.pending == nil || a.newerThan(*t.pending) {
			t.pending = &a
		}
		return t, false
	}
	if left || a.Leaving {
		// The start time is known now, so that the leave is final for it.
		t = t.remember(Leave{ID: a.ID, Born: a.Born}, time.Time{})
	}
	same := t.Is(a.ID, a.Born)
	switch {
	case !same && t.State != Absent && a.Born <= t.Last.Born:
		return t, false
	case same && a.Sequence <= t.Last.Sequence:
		return t, false
	case !same:
		return t.replaced(now, a, stateOf(a, left)), true
	}
	next := t
	next.LastSeen = now
	next.Last = a
	if t.State == Ready {
		next.State = stateOf(a, left)
	}
	return next, next.State != t.State || a.Slots != t.Last.Slots
}

// newerThan reports whether an announcement comes from a later incarnation than another
// one, or was sent later by the same.
func (a Announcement) newerThan(b Announcement) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.Sequence > b.Sequence
}

func stateOf(a Announcement, left bool) State {
	switch {
	case left:
		return Gone
	case a.Leaving:
		return Leaving
	}
	return Ready
}

// replaced returns the state of another incarnation.
func (t Target) replaced(now time.Time, a Announcement, state State) Target {
	t.Last, t.State, t.FirstSeen, t.LastSeen, t.until = a, state, now, now, 0
	return t
}

// covers reports whether an incarnation is known to have left.
func (t Target) covers(now time.Time, id string, born int64) bool {
	for _, l := range t.leaves {
		if l.Covers(id, born) && (l.expires.IsZero() || !now.After(l.expires)) {
			return true
		}
	}
	return false
}

// remember returns the state that knows a leave as well. Leaves of incarnations before
// the present one are dropped, since these never replace it.
func (t Target) remember(l Leave, expires time.Time) Target {
	kept := make([]knownLeave, 0, len(t.leaves)+1)
	for _, k := range t.leaves {
		older := t.State != Absent && k.Born != 0 && k.Born < t.Last.Born
		if !older && k.Leave != l {
			kept = append(kept, k)
		}
	}
	if len(kept) >= maxLeaves {
		kept = kept[1:]
	}
	t.leaves = append(kept, knownLeave{l, expires})
	return t
}

// WithLeaving returns the state after the target has said in an answer that this
// incarnation leaves, and whether it changed.
func (t Target) WithLeaving(now time.Time, id string, born int64) (Target, bool) {
	if t.State != Ready || !t.Is(id, born) {
		return t, false
	}
	t = t.remember(Leave{ID: id, Born: born}, time.Time{})
	t.State, t.LastSeen = Leaving, now
	return t, true
}

// WithLeave returns the state after a leave that arrived at now, and whether it
// changed. A leave may arrive before the first announcement of its incarnation.
func (t Target) WithLeave(now time.Time, l Leave) (Target, bool) {
	expires := time.Time{}
	if l.Born == 0 {
		expires = now.Add(maxDelay)
	}
	t = t.remember(l, expires)
	switch {
	case t.State == Absent, l.Born > t.Last.Born:
		t = t.replaced(now, Announcement{ID: l.ID, Born: l.Born}, Gone)
		if l.Born == 0 {
			t.until = l.ReceivedAt.UnixMilli()
		}
		return t, true
	case t.Last.ID != l.ID || (l.Born != 0 && l.Born != t.Last.Born) || t.State == Gone:
		return t, false
	}
	t.State, t.LastSeen = Gone, now
	return t.remember(Leave{ID: l.ID, Born: t.Last.Born}, time.Time{}), true
}
