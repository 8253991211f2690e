// Package limit decides how many requests a target runs at once.
//
// The slots that the target announced are the ceiling. Refusals by the target
// lower the limit by a tenth, each limit's worth of successes raises it by one.
// Latency doesn't move it: a target's time includes the calls it makes, and a
// gradient on it would shrink healthy services when a deeper one slows.
package limit

const (
	// decrease is the factor applied on a refusal by the target.
	decrease = 0.9
	// minLimit keeps probing a target that refuses everything.
	minLimit = 1
)

// Limit is an immutable concurrency limit.
type Limit struct {
	ceiling int
	value   float64
	// skip ignores refusals of requests that started before the last decrease.
	skip int
}

// New returns a limit at its ceiling.
func New(slots int) Limit {
	return Limit{ceiling: slots, value: float64(slots)}
}

// Value is the present limit.
func (l Limit) Value() int { return int(l.value) }

// Ceiling is the number of announced slots.
func (l Limit) Ceiling() int { return l.ceiling }

// WithCeiling returns the limit for another number of announced slots.
func (l Limit) WithCeiling(slots int) Limit {
	if l.value >= float64(l.ceiling) {
		l.value = float64(slots)
	}
	l.ceiling = slots
	l.value = min(l.value, float64(slots))
	return l
}

// WithSuccess returns the limit after an answer.
func (l Limit) WithSuccess() Limit {
	l.skip = max(0, l.skip-1)
	l.value = min(l.value+1/max(l.value, 1), float64(l.ceiling))
	return l
}

// WithRefusal returns the limit after the target refused a request for
// overload, while running requests were in flight.
func (l Limit) WithRefusal(running int) Limit {
	if l.skip > 0 {
		l.skip--
		return l
	}
	l.value = max(minLimit, l.value*decrease)
	l.value = min(l.value, float64(l.ceiling))
	l.skip = running
	return l
}
