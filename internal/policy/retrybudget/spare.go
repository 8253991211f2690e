// Package spare bounds the second sends to each service, so that all nodes
// together stay below a part of the first sends plus a fixed number.
//
// A serving node counts what reaches its target: there the first sends of all
// callers' nodes meet, and so do the second ones. Counted at callers' nodes, the
// credit stays where most first sends are made, and a node with few requests has
// none when it needs it.
package retrybudget

// Limits bound the extra sends to one service over a window, fleet-wide.
type Limits struct {
	// Ratio is the part of first sends that may be sent again.
	Ratio float64
	// Slack is the number of extra sends beside the ratio.
	Slack float64
}

const (
	// ratioPart is the part of the ratio that is used, inherited repeats
	// included; the rest is for what nodes learn late.
	ratioPart = 0.7
	// slackPart is the part of the slack that is used: a repeated run repeats
	// several calls of its own.
	slackPart = 0.25
	// reserve is the number of extra sends that calls of targets leave to
	// callers' requests. One more send can save a whole request of a caller,
	// while each of the calls that a target makes saves it only if all succeed.
	reserve = 1
)

// Origin tells who made a request.
type Origin int

// The origins of requests.
const (
	// Caller made a request that is worth something by itself.
	Caller Origin = iota
	// Target made a call for a request that it runs.
	Target
)

// Budget counts sends to one of a service's targets. It is not safe for concurrent use.
type Budget struct {
	terms  Limits
	credit map[string]float64
}

// New returns a budget without history.
func New(t Limits) *Budget { return &Budget{terms: t, credit: map[string]float64{}} }

// part is one target's part of the slack, in extra sends.
func (b *Budget) part(targets int) float64 {
	return b.terms.Slack * slackPart / float64(max(targets, 1))
}

// balance is the credit for a service; a new one starts with a part of the slack.
func (b *Budget) balance(service string, targets int) float64 {
	if _, ok := b.credit[service]; !ok {
		b.credit[service] = b.part(targets)
	}
	return b.credit[service]
}

// RecordFirst counts a first send to a service. Inherited is the part of it that is a
// repeat already, since the run that makes the call is one: it is charged, so
// that along a chain of services repeats add up to the ratio and no more.
func (b *Budget) RecordFirst(service string, targets int, inherited float64) {
	most := max(1, b.part(targets)) + reserve
	credit := b.balance(service, targets) + b.terms.Ratio*ratioPart - inherited
	b.credit[service] = max(-most, min(most, credit))
}

// AllowRetry reports whether one more send to a service is allowed, and counts it.
func (b *Budget) AllowRetry(service string, targets int, from Origin) bool {
	need := 1.0
	if from == Target {
		need += reserve
	}
	if b.balance(service, targets) < need {
		return false
	}
	b.credit[service]--
	return true
}

// CancelRetry takes back an extra send that was not made.
func (b *Budget) CancelRetry(service string) { b.credit[service]++ }
