package roster

import "time"

const (
	// syncDelay is how long after the first datagram a node waits at least for what peers
	// know: a round trip between regions. It waits for syncTimeout at most, from that
	// datagram or from its start if none arrives.
	syncDelay   = 50 * time.Millisecond
	syncTimeout = time.Second
	// informedAfter is how long a process runs before what it doesn't know of the time
	// before its start is evidence.
	informedAfter = 3 * time.Second
	// aloneDelay is how long after its start a node reads a directory without other nodes
	// before it believes that there are none: nodes that lost their entries with an older
	// copy of the store write them again within that time. Without such a read it waits
	// for aloneTimeout.
	aloneDelay   = 600 * time.Millisecond
	aloneTimeout = 5 * time.Second
)

// introductions tracks what a process that has just started has learned from its peers:
// which of its node's targets left while earlier processes ran. The store tells that as
// well, unless it has lost it with an older copy.
type introductions struct {
	started time.Time
	// contacted is when the first datagram arrived; zero for not yet.
	contacted time.Time
	// unanswered has the numbers of the introductions that wait for an answer.
	unanswered map[int64]bool
	// informed is set once a peer has answered that has run for informedAfter, and alone
	// once a read of the directory after aloneDelay named no other nodes.
	informed, alone bool
}

func newIntroductions(now time.Time) introductions {
	return introductions{started: now, unanswered: map[int64]bool{}}
}

// number returns the number of an introduction to one more peer, which its answer names.
func (i *introductions) number(now time.Time) int64 {
	n := now.UnixNano()
	for i.unanswered[n] {
		n++
	}
	i.unanswered[n] = true
	return n
}

// received records a packet of a peer.
func (i *introductions) received(now time.Time, p packet) {
	if i.contacted.IsZero() {
		i.contacted = now
	}
	if i.unanswered[p.Echo] {
		delete(i.unanswered, p.Echo)
		i.informed = i.informed || p.Informed
	}
}

// listed records a read of the directory that began at a time and named so many other
// nodes.
func (i *introductions) listed(began time.Time, others int) {
	i.alone = others == 0 && began.Sub(i.started) >= aloneDelay
}

// done reports whether this process has learned what its peers know, or has waited for it
// long enough. Complete is set if the store has lost nothing: then it is enough to hear of
// leaves that the store was not told.
func (i *introductions) done(now time.Time, complete bool) bool {
	running, waited := now.Sub(i.started), now.Sub(i.contacted)
	switch {
	case i.contacted.IsZero() && (complete || i.alone):
		return running >= syncTimeout
	case i.contacted.IsZero():
		return running >= aloneTimeout
	case complete || i.informed && len(i.unanswered) == 0:
		return waited >= syncDelay
	}
	return waited >= syncTimeout
}
