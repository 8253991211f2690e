// Package retrybudget limits the retries sent to each service, so that all nodes
// together stay below a ratio of the first attempts plus a fixed number.
//
// The node that serves a target counts the requests that reach it, because the
// first attempts of all callers' nodes meet there, and so do the retries. If
// callers' nodes counted, the credit would stay where most first attempts are
// made, and a node with few requests would have none when it needs to retry.
//
// The bound holds for each window of time, wherever it begins: the retries in it are
// compared with the first attempts in it, in the window before it, or in that half a
// window earlier, whichever has most. So what a service did not use while it was well is
// there when it fails, also if most requests are shed then.
package retrybudget

import (
	"math"
	"time"
)

// Limits bound the retries to one service within a window, across the fleet.
type Limits struct {
	// Ratio is the fraction of first attempts that may be retried.
	Ratio float64
	// Slack is the number of retries allowed in addition to the ratio.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
}

const (
	// ratioFraction is the fraction of the ratio that is granted, including
	// inherited retries. The rest covers those that nodes learn of late.
	ratioFraction = 0.8
	// slackFraction is the fraction of the slack that is granted. The rest covers
	// retried requests, which make several calls of their own again.
	slackFraction = 0.25
	// callerReserve is the number of retries that inner calls leave to callers'
	// requests. One retry can save a whole caller's request. A retried inner call
	// saves it only if all other calls made for it succeed too.
	callerReserve = 1
	// slotsPerWindow is the resolution of the window.
	slotsPerWindow = 20
	// historySlots is the number of slots kept: those of two windows and the newest.
	historySlots = 2*slotsPerWindow + 1
)

// Origin is the kind of sender of a request.
type Origin int

// The origins of requests.
const (
	// Caller is the origin of requests that are useful on their own.
	Caller Origin = iota
	// Target is the origin of inner calls, made for a request that it serves.
	Target
)

// account counts the attempts of one service in slots of time. Slot i holds the time
// slots whose number is i modulo historySlots.
type account struct {
	firsts, retries [historySlots]float64
	// newest is the number of the newest time slot.
	newest int64
}

// advance clears the slots that have left the history.
func (a *account) advance(slot int64) {
	if slot-a.newest >= historySlots {
		*a = account{newest: slot}
	}
	for a.newest < slot {
		a.newest++
		i := a.newest % historySlots
		a.firsts[i], a.retries[i] = 0, 0
	}
}

// cumulative returns the sums of the slots from the oldest on: sums[i] is that of the
// oldest i slots.
func (a *account) cumulative(counts *[historySlots]float64) (sums [historySlots + 1]float64) {
	for i := range historySlots {
		slot := a.newest - historySlots + 1 + int64(i)
		sums[i+1] = sums[i]
		if slot >= 0 {
			sums[i+1] += counts[slot%historySlots]
		}
	}
	return sums
}

// Budget counts the attempts sent to one target, by service. It is not safe for
// concurrent use.
type Budget struct {
	limits   Limits
	accounts map[string]*account
}

// New returns a budget without history.
func New(l Limits) *Budget { return &Budget{limits: l, accounts: map[string]*account{}} }

func (b *Budget) account(now time.Time, service string) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{}
		b.accounts[service] = a
	}
	a.advance(now.UnixNano() / int64(max(b.limits.Window/slotsPerWindow, 1)))
	return a
}

// RecordFirst counts a first attempt to a service. Inherited is the fraction of the
// attempt that is a retry already, because the request that makes the call is one. It
// is charged, so that the retries along a chain of services together stay within the
// ratio.
func (b *Budget) RecordFirst(now time.Time, service string, inherited float64) {
	a := b.account(now, service)
	i := a.newest % historySlots
	a.firsts[i]++
	a.retries[i] += inherited
}

// Available is the number of retries to a service that are allowed at once, and limit the
// number that would be if none had been sent. Targets is the service's number of targets.
// Inherited retries can make the first number negative.
func (b *Budget) Available(now time.Time, service string, targets int) (available, limit float64) {
	a := b.account(now, service)
	firsts, retries := a.cumulative(&a.firsts), a.cumulative(&a.retries)
	slack := b.limits.Slack * slackFraction / float64(max(targets, 1))
	available, limit = math.Inf(1), math.Inf(1)
	// The windows that hold the present begin in one of the newest slotsPerWindow slots.
	for begin := historySlots - slotsPerWindow; begin < historySlots; begin++ {
		most := 0.0
		for _, earlier := range [...]int{0, slotsPerWindow / 2, slotsPerWindow} {
			from, to := begin-earlier, min(begin-earlier+slotsPerWindow, historySlots)
			most = max(most, firsts[to]-firsts[from])
		}
		allowed := b.limits.Ratio*ratioFraction*most + slack
		available = min(available, allowed-(retries[historySlots]-retries[begin]))
		limit = min(limit, allowed)
	}
	return available, limit
}

// AllowRetry reports whether a retry to a service is allowed, and counts it if it
// is.
func (b *Budget) AllowRetry(now time.Time, service string, targets int, from Origin) bool {
	need := 1.0
	if from == Target {
		need += callerReserve
	}
	if available, _ := b.Available(now, service, targets); available < need {
		return false
	}
	a := b.account(now, service)
	a.retries[a.newest%historySlots]++
	return true
}

// CancelRetry returns the credit of a retry that was allowed but not sent.
func (b *Budget) CancelRetry(now time.Time, service string) {
	a := b.account(now, service)
	a.retries[a.newest%historySlots]--
}
