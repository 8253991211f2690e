// Package connreuse decides which connections to a target are kept and which request may
// use one that has been idle.
//
// A new connection costs a target processor time and may hold a slot. A kept one is a risk
// for requests that must not run twice: the target may have dropped it without notice, and
// what is sent then is lost.
package connreuse

import "time"

const (
	// expiryFraction is the fraction of the server's keep-alive timeout after which an
	// idle connection is not used.
	expiryFraction = 0.6
	// unrepeatableIdle is the longest idle time of a connection that a request uses which
	// can't be repeated. The target may close an older one while the request is in
	// transit.
	unrepeatableIdle = 700 * time.Millisecond
	// finishTime is the longest time that a cancelled call may go on for the sake of its
	// connection. It is well below the time within which work for callers that have left
	// is to end.
	finishTime = 100 * time.Millisecond
	// minKept and spareFraction bound the idle connections that are kept: as many as there
	// are slots, and some for calls that end while others begin.
	minKept       = 32
	spareFraction = 8
	// attributionTime is how long the loss of a connection counts as the reason for a new
	// one.
	attributionTime = 10 * time.Second
	// maxAttributed bounds the losses that are remembered.
	maxAttributed = 1024
)

// Reason says why a connection was lost or opened.
type Reason string

// Reasons. Growth: more requests run at once than there were connections. Separate: each
// idle connection has carried a refused attempt of the same request. Idle: all were idle
// for too long for a request that can't be repeated. The others are losses of connections
// that new ones replace.
const (
	Growth    Reason = "growth"
	Separate  Reason = "separate"
	Idle      Reason = "idle"
	Cancelled Reason = "cancelled"
	Deadline  Reason = "deadline"
	Broken    Reason = "broken"
	Ended     Reason = "ended"
	Expired   Reason = "expired"
	Stale     Reason = "stale"
	Surplus   Reason = "surplus"
)

// Expiry is how long an idle connection is used, for a keep-alive timeout of the server.
func Expiry(keepAlive time.Duration) time.Duration {
	return time.Duration(float64(keepAlive) * expiryFraction)
}

// MaxIdle is the number of idle connections to keep for a target with this many slots.
func MaxIdle(slots int) int { return max(minKept, slots+slots/spareFraction) }

// MaxIdleTime is the longest idle time of a connection that a request uses, 0 for no limit.
func MaxIdleTime(repeatable bool) time.Duration {
	if repeatable {
		return 0
	}
	return unrepeatableIdle
}

// FinishTime is how long a cancelled call goes on, so that its connection is kept. Expected
// is the usual time of such calls, 0 if unknown, and took how long this one has run. A call
// that is not about to end is broken off at once, which frees the target's slot.
func FinishTime(expected, took time.Duration) time.Duration {
	if expected <= 0 || expected-took > finishTime {
		return 0
	}
	return finishTime
}

// Connection is an idle connection.
type Connection struct {
	// Idle is for how long it has been idle.
	Idle time.Duration
	// Expired is set once the server may close it.
	Expired bool
	// Refused is set if it has carried a refused attempt of the request, whose response
	// may follow once more.
	Refused bool
}

// Limits bound the idle time of connections. 0 is no limit.
type Limits struct {
	// Request is the limit of the request, and Server that of the server, after a
	// connection was found to be stale.
	Request, Server time.Duration
}

// Verdict is what to do with an idle connection.
type Verdict interface{ verdict() }

// Use means that the request takes the connection.
type Use struct{}

// Leave means that the request does not take it, but others may.
type Leave struct{ Reason Reason }

// Close means that no request takes it.
type Close struct{ Reason Reason }

func (Use) verdict()   {}
func (Leave) verdict() {}
func (Close) verdict() {}

// Decide returns whether a request takes an idle connection.
func Decide(c Connection, l Limits) Verdict {
	switch {
	case c.Expired:
		return Close{Expired}
	case l.Server > 0 && c.Idle >= l.Server:
		return Close{Stale}
	case l.Request > 0 && c.Idle >= l.Request:
		return Leave{Idle}
	case c.Refused:
		return Leave{Separate}
	}
	return Use{}
}

type loss struct {
	reason Reason
	at     time.Time
}

// Ledger attributes each new connection to a reason. Its zero value is empty. It is not
// safe for concurrent use.
type Ledger struct {
	losses []loss
	opened map[Reason]uint64
}

// Lost counts a connection that was closed.
func (l *Ledger) Lost(now time.Time, r Reason) {
	if len(l.losses) >= maxAttributed {
		l.losses = l.losses[1:]
	}
	l.losses = append(l.losses, loss{r, now})
}

// Opened counts a new connection and returns its reason: that for which the idle ones were
// left, else that of the oldest loss, else growth.
func (l *Ledger) Opened(now time.Time, left Reason) Reason {
	for len(l.losses) > 0 && now.Sub(l.losses[0].at) > attributionTime {
		l.losses = l.losses[1:]
	}
	reason := left
	if reason == "" {
		reason = Growth
		if len(l.losses) > 0 {
			reason, l.losses = l.losses[0].reason, l.losses[1:]
		}
	}
	if l.opened == nil {
		l.opened = map[Reason]uint64{}
	}
	l.opened[reason]++
	return reason
}

// Total returns the number of new connections.
func (l *Ledger) Total() uint64 {
	total := uint64(0)
	for _, n := range l.opened {
		total += n
	}
	return total
}

// Counts returns the new connections by reason.
func (l *Ledger) Counts() map[Reason]uint64 {
	counts := map[Reason]uint64{}
	for reason, n := range l.opened {
		counts[reason] = n
	}
	return counts
}
