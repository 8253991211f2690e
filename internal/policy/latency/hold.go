// Package hold estimates how long calls of a route hold a slot of a target.
//
// It answers the load of a target that turns slow: the mean of the calls that
// ended says so only once they have ended, late and at a few a second. Those
// that still run say so at once.
package latency

import "time"

const (
	// weight is the weight of the newest call in the mean: that of about twenty,
	// since times vary by as much as their mean.
	weight = 0.05
	// ageTimes is how many times the mean age of running calls their whole time
	// is expected to be: they are seen halfway on average, or later where times
	// vary.
	ageTimes = 1.2
	// leastRunning is the number of running calls from which their age counts.
	leastRunning = 3
)

// route is what is known of the calls of one route.
type route struct {
	mean    float64
	known   bool
	running int
	// starts is the sum of the starts of the running calls, in seconds since
	// the origin.
	starts float64
}

// Estimator estimates times of one target. It is not safe for concurrent use.
type Estimator struct {
	origin time.Time
	routes map[string]*route
}

// New returns an estimate without history.
func New(now time.Time) *Estimator { return &Estimator{origin: now, routes: map[string]*route{}} }

func (t *Estimator) of(name string) *route {
	r, ok := t.routes[name]
	if !ok {
		r = &route{}
		t.routes[name] = r
	}
	return r
}

// Start notes a call that got a slot.
func (t *Estimator) Start(now time.Time, name string) {
	r := t.of(name)
	r.running++
	r.starts += now.Sub(t.origin).Seconds()
}

// End notes the end of a call. Counts is false for one that says nothing about
// the target's speed.
func (t *Estimator) End(began, now time.Time, name string, counts bool) {
	r := t.of(name)
	r.running--
	r.starts -= began.Sub(t.origin).Seconds()
	if !counts {
		return
	}
	held := now.Sub(began).Seconds()
	if !r.known {
		r.mean, r.known = held, true
	}
	r.mean += (held - r.mean) * weight
}

// Estimate is the expected time of a call in seconds; 0 if nothing is known.
func (t *Estimator) Estimate(now time.Time, name string) float64 {
	r, ok := t.routes[name]
	if !ok || !r.known {
		return 0
	}
	if r.running < leastRunning {
		return r.mean
	}
	age := now.Sub(t.origin).Seconds() - r.starts/float64(r.running)
	return max(r.mean, ageTimes*age)
}

// Reset forgets the calls that ended, for another target at the address.
func (t *Estimator) Reset() {
	for _, r := range t.routes {
		r.mean, r.known = 0, false
	}
}
