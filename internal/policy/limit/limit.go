// Package limit computes the concurrency limit of a target.
//
// It is additive increase, multiplicative decrease (AIMD): a refusal by the
// target lowers the limit by a tenth, and as many successes as the limit raise it
// by one. The number of slots that the target announced is the ceiling. Latency
// plays no part: a target's response time includes the calls it makes, so a limit
// based on its gradient would shrink for healthy services when a downstream
// service slows.
package limit

const (
	// decrease is the factor on the limit for a refusal by the target.
	decrease = 0.9
	// minLimit is 1, so that a target that refuses everything is still probed.
	minLimit = 1
)

// Limit is an immutable concurrency limit, in requests.
type Limit struct {
	ceiling int
	value   float64
	// ignore is the number of results whose refusals don't lower the limit: their
	// requests started before the last decrease.
	ignore int
}

// New returns a limit at its ceiling.
func New(slots int) Limit {
	return Limit{ceiling: slots, value: float64(slots)}
}

// Value is the present limit.
func (l Limit) Value() int { return int(l.value) }

// Ceiling is the number of announced slots.
func (l Limit) Ceiling() int { return l.ceiling }

// WithCeiling returns the limit for another number of announced slots. A limit at
// its ceiling follows it.
func (l Limit) WithCeiling(slots int) Limit {
	if l.value >= float64(l.ceiling) {
		l.value = float64(slots)
	}
	l.ceiling = slots
	l.value = min(l.value, float64(slots))
	return l
}

// WithSuccess returns the limit after a request was answered.
func (l Limit) WithSuccess() Limit {
	l.ignore = max(0, l.ignore-1)
	l.value = min(l.value+1/max(l.value, 1), float64(l.ceiling))
	return l
}

// WithRefusal returns the limit after the target refused a request because of
// overload. Running is the number of requests in flight, including that one.
func (l Limit) WithRefusal(running int) Limit {
	if l.ignore > 0 {
		l.ignore--
		return l
	}
	l.value = max(minLimit, l.value*decrease)
	l.value = min(l.value, float64(l.ceiling))
	l.ignore = running
	return l
}
