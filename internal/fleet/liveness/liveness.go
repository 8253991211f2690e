// Package liveness decides from probes and their answers which members of the
// fleet a node doubts, and whether the node itself is cut off.
//
// It answers the loads of a fleet in which nodes die, freeze or lose their
// links: each node probes a constant number of members a second, whatever the
// size of the fleet, so that somebody probes each member several times a second.
package liveness

import (
	"math"
	"time"
)

const (
	// doubtAfter is how long a probed member may give no sign of life before it
	// is doubted: a slow VM or a full link answers within a second.
	doubtAfter = 1200 * time.Millisecond
	// doubtTrips is how many times as long as the slowest answer of late that is at
	// least, and doubtMost the most that it grows to: where this node or the whole
	// fleet lacks processor time, answers that are late prove nothing.
	doubtTrips = 2
	doubtMost  = 10 * time.Second
	// tripFade is the time constant with which the slowest answer is forgotten.
	tripFade = 10 * time.Second
	// doubtProbes is the least number of unanswered probes for a doubt, since
	// datagrams are lost one by one.
	doubtProbes = 3
	// aloneProbes is the number of probes in a row without a sign of life from
	// anybody after which the node takes itself to be cut off.
	aloneProbes = 5
	// recentFor is how long a sign of life counts while this node is cut off.
	recentFor = 2500 * time.Millisecond
)

// sign is what is known of one member at first hand.
type sign struct {
	heard time.Time
	// asked is when the first probe was sent that is unanswered, and probes the
	// number of them since.
	asked  time.Time
	probes int
	// doubted is set until the member is heard again, so that a path that is
	// broken for this node alone raises one doubt.
	doubted bool
}

// Watch remembers probes and signs of life. It is not safe for concurrent use.
type Watch struct {
	signs map[string]*sign
	heard time.Time
	sent  int
	// slowest is the time that the slowest answer took, as of tripAt.
	slowest time.Duration
	tripAt  time.Time
}

// New returns a watch that has heard of nobody.
func New(now time.Time) *Watch {
	return &Watch{signs: map[string]*sign{}, heard: now}
}

func (w *Watch) of(id string) *sign {
	g, ok := w.signs[id]
	if !ok {
		g = &sign{}
		w.signs[id] = g
	}
	return g
}

// Probed notes a probe that was sent to a member.
func (w *Watch) Probed(now time.Time, id string) {
	w.sent++
	g := w.of(id)
	if g.probes == 0 {
		g.asked = now
	}
	g.probes++
}

// Heard notes a datagram from a member. The first one after this node was cut
// off gives all members their time anew.
func (w *Watch) Heard(now time.Time, id string) {
	if w.Alone(now) {
		w.Stalled(now)
	}
	w.heard, w.sent = now, 0
	g := w.of(id)
	g.heard, g.probes, g.doubted = now, 0, false
}

// Answered notes how long the answer to a probe took.
func (w *Watch) Answered(now time.Time, took time.Duration) {
	w.slowest, w.tripAt = max(w.trip(now), took), now
}

// trip is the time of the slowest answer, less what is forgotten of it.
func (w *Watch) trip(now time.Time) time.Duration {
	past := max(0, now.Sub(w.tripAt))
	return time.Duration(float64(w.slowest) * math.Exp(-past.Seconds()/tripFade.Seconds()))
}

// patience is how long a member may give no sign of life.
func (w *Watch) patience(now time.Time) time.Duration {
	return min(max(doubtAfter, doubtTrips*w.trip(now)), doubtMost)
}

// Unanswered lists the members whose latest probe has no answer yet and which
// are not doubted; they are probed again before others.
func (w *Watch) Unanswered() []string {
	var ids []string
	for id, g := range w.signs {
		if g.probes > 0 && !g.doubted {
			ids = append(ids, id)
		}
	}
	return ids
}

// Doubts lists the members that are to be doubted now, each once. A node that
// is cut off doubts nobody: its own links are at fault.
func (w *Watch) Doubts(now time.Time) []string {
	if w.Alone(now) {
		return nil
	}
	var ids []string
	patience := w.patience(now)
	for id, g := range w.signs {
		if !g.doubted && g.probes >= doubtProbes && now.Sub(g.asked) >= patience {
			g.doubted = true
			ids = append(ids, id)
		}
	}
	return ids
}

// Alone reports whether this node seems to be cut off from everybody.
func (w *Watch) Alone(now time.Time) bool {
	return w.sent >= aloneProbes && now.Sub(w.heard) >= doubtAfter
}

// Recent reports whether a member gave a sign of life lately.
func (w *Watch) Recent(now time.Time, id string) bool {
	g, ok := w.signs[id]
	return ok && !g.heard.IsZero() && now.Sub(g.heard) <= recentFor
}

// Stalled gives all members their time anew after this node stood still: what
// they did not answer meanwhile proves nothing.
func (w *Watch) Stalled(now time.Time) {
	w.heard, w.sent = now, 0
	for _, g := range w.signs {
		g.probes = 0
	}
}

// Keep forgets members that are not known any more.
func (w *Watch) Keep(known func(id string) bool) {
	for id := range w.signs {
		if !known(id) {
			delete(w.signs, id)
		}
	}
}
