// Package retrybudget limits the retries sent to each service, so that all nodes
// together stay below a ratio of the first attempts plus a fixed number.
//
// The node that serves a target counts the requests that reach it, because the
// first attempts of all callers' nodes meet there, and so do the retries. If
// callers' nodes counted, the credit would stay where most first attempts are
// made, and a node with few requests would have none when it needs to retry.
package retrybudget

// Limits bound the retries to one service within a window, across the fleet.
type Limits struct {
	// Ratio is the fraction of first attempts that may be retried.
	Ratio float64
	// Slack is the number of retries allowed in addition to the ratio.
	Slack float64
}

const (
	// ratioFraction is the fraction of the ratio that is granted, including
	// inherited retries. The rest covers those that nodes learn of late.
	ratioFraction = 0.7
	// slackFraction is the fraction of the slack that is granted. The rest covers
	// retried requests, which make several calls of their own again.
	slackFraction = 0.25
	// callerReserve is the number of retries that inner calls leave to callers'
	// requests. One retry can save a whole caller's request. A retried inner call
	// saves it only if all other calls made for it succeed too.
	callerReserve = 1
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

// Budget counts the attempts sent to one target, by service. It is not safe for
// concurrent use.
type Budget struct {
	limits Limits
	// credit is the number of retries that are allowed now, by service. Inherited
	// retries can make it negative.
	credit map[string]float64
}

// New returns a budget without history.
func New(l Limits) *Budget { return &Budget{limits: l, credit: map[string]float64{}} }

// slackPerTarget is one target's part of the slack, in retries.
func (b *Budget) slackPerTarget(targets int) float64 {
	return b.limits.Slack * slackFraction / float64(max(targets, 1))
}

// balance is the credit of a service. A new service starts with one target's part
// of the slack.
func (b *Budget) balance(service string, targets int) float64 {
	if _, ok := b.credit[service]; !ok {
		b.credit[service] = b.slackPerTarget(targets)
	}
	return b.credit[service]
}

// RecordFirst counts a first attempt to a service. Targets is the service's
// number of targets. Inherited is the fraction of the attempt that is a retry
// already, because the request that makes the call is one. It is charged, so that
// the retries along a chain of services together stay within the ratio.
func (b *Budget) RecordFirst(service string, targets int, inherited float64) {
	limit := max(1, b.slackPerTarget(targets)) + callerReserve
	credit := b.balance(service, targets) + b.limits.Ratio*ratioFraction - inherited
	b.credit[service] = max(-limit, min(limit, credit))
}

// AllowRetry reports whether a retry to a service is allowed, and counts it if it
// is.
func (b *Budget) AllowRetry(service string, targets int, from Origin) bool {
	need := 1.0
	if from == Target {
		need += callerReserve
	}
	if b.balance(service, targets) < need {
		return false
	}
	b.credit[service]--
	return true
}

// CancelRetry returns the credit of a retry that was allowed but not sent.
func (b *Budget) CancelRetry(service string) { b.credit[service]++ }
