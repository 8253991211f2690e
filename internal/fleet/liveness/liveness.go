// Package liveness is the failure detector of a node. From probes and their
// answers it decides which members the node suspects, and whether the node
// itself is cut off.
//
// Nodes may crash, freeze or lose their links. Each node probes a constant
// number of members per second, whatever the size of the fleet, so that each
// member is probed by some node several times per second.
package liveness

import (
	"math"
	"time"
)

const (
	// minTimeout is the shortest time without a message after which a probed
	// member is suspected. A slow VM or a full link answers within a second.
	minTimeout = 1200 * time.Millisecond
	// The timeout is timeoutRTTs times the slowest recent round trip, between
	// minTimeout and maxTimeout. When this node or the whole fleet is short of
	// processor time, late answers are no sign of a failure.
	timeoutRTTs = 2
	maxTimeout  = 10 * time.Second
	// rttDecay is the time constant with which the slowest round trip decays.
	rttDecay = 10 * time.Second
	// minProbes is the number of unanswered probes needed for a suspicion,
	// since single datagrams get lost.
	minProbes = 3
	// isolatedProbes is the number of consecutive probes without a message from
	// any member after which the node considers itself cut off.
	isolatedProbes = 5
	// activeWindow is how long after its last message a member counts as active
	// while this node is cut off.
	activeWindow = 2500 * time.Millisecond
)

// memberState is what this node observed of a member itself.
type memberState struct {
	lastReceived time.Time
	// firstProbe is when the first unanswered probe was sent; unanswered counts
	// the probes since then.
	firstProbe time.Time
	unanswered int
	// suspected is set until the next message from the member, so that a path
	// broken for this node only raises one suspicion.
	suspected bool
}

// Detector records probes and received messages. It is not safe for concurrent
// use.
type Detector struct {
	members map[string]*memberState
	// lastReceived is when a message arrived from any member; probesSent counts
	// the probes since then.
	lastReceived time.Time
	probesSent   int
	// maxRTT is the slowest round trip, decayed to the time maxRTTAt.
	maxRTT   time.Duration
	maxRTTAt time.Time
}

// New returns a detector that knows no members.
func New(now time.Time) *Detector {
	return &Detector{members: map[string]*memberState{}, lastReceived: now}
}

// member returns the state of a member and adds it if it is new.
func (d *Detector) member(id string) *memberState {
	m, ok := d.members[id]
	if !ok {
		m = &memberState{}
		d.members[id] = m
	}
	return m
}

// ProbeSent records a probe sent to a member.
func (d *Detector) ProbeSent(now time.Time, id string) {
	d.probesSent++
	m := d.member(id)
	if m.unanswered == 0 {
		m.firstProbe = now
	}
	m.unanswered++
}

// MessageReceived records a datagram from a member. The first one after this
// node was cut off restarts the timeouts of all members.
func (d *Detector) MessageReceived(now time.Time, id string) {
	if d.Isolated(now) {
		d.ResetTimeouts(now)
	}
	d.lastReceived, d.probesSent = now, 0
	m := d.member(id)
	m.lastReceived, m.unanswered, m.suspected = now, 0, false
}

// RoundTrip records the time between a probe and its answer.
func (d *Detector) RoundTrip(now time.Time, took time.Duration) {
	d.maxRTT, d.maxRTTAt = max(d.decayedRTT(now), took), now
}

// decayedRTT returns the slowest round trip, decayed to now.
func (d *Detector) decayedRTT(now time.Time) time.Duration {
	elapsed := max(0, now.Sub(d.maxRTTAt))
	return time.Duration(float64(d.maxRTT) * math.Exp(-elapsed.Seconds()/rttDecay.Seconds()))
}

// timeout returns how long a probed member may stay silent before it is
// suspected.
func (d *Detector) timeout(now time.Time) time.Duration {
	return min(max(minTimeout, timeoutRTTs*d.decayedRTT(now)), maxTimeout)
}

// Unanswered returns the members with an unanswered probe that are not
// suspected yet. They are probed again before others.
func (d *Detector) Unanswered() []string {
	var ids []string
	for id, m := range d.members {
		if m.unanswered > 0 && !m.suspected {
			ids = append(ids, id)
		}
	}
	return ids
}

// NewSuspects returns the members to suspect now, each once until its next
// message. It returns none while this node is cut off: then its own links are
// at fault.
func (d *Detector) NewSuspects(now time.Time) []string {
	if d.Isolated(now) {
		return nil
	}
	var ids []string
	timeout := d.timeout(now)
	for id, m := range d.members {
		if !m.suspected && m.unanswered >= minProbes && now.Sub(m.firstProbe) >= timeout {
			m.suspected = true
			ids = append(ids, id)
		}
	}
	return ids
}

// Isolated reports whether this node appears to be cut off from all members.
func (d *Detector) Isolated(now time.Time) bool {
	return d.probesSent >= isolatedProbes && now.Sub(d.lastReceived) >= minTimeout
}

// RecentlyActive reports whether a message from the member arrived within
// activeWindow.
func (d *Detector) RecentlyActive(now time.Time, id string) bool {
	m, ok := d.members[id]
	return ok && !m.lastReceived.IsZero() && now.Sub(m.lastReceived) <= activeWindow
}

// ResetTimeouts restarts the timeouts of all members after this process was
// paused or cut off. Answers missing from that time are no sign of a failure.
func (d *Detector) ResetTimeouts(now time.Time) {
	d.lastReceived, d.probesSent = now, 0
	for _, m := range d.members {
		m.unanswered = 0
	}
}

// Retain removes the members for which known returns false.
func (d *Detector) Retain(known func(id string) bool) {
	for id := range d.members {
		if !known(id) {
			delete(d.members, id)
		}
	}
}
