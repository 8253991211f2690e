// Package latency estimates the service time of calls: how long a call of a
// route occupies a slot of the target.
//
// The mean of completed calls shows late that a target has become slow: slow
// calls complete late, and only a few per second. The estimate therefore also
// uses the age of the calls that are still running.
package latency

import "time"

const (
	// weight is the weight of the newest call in the mean, which thus covers
	// about 20 calls: service times vary by as much as their mean.
	weight = 0.05
	// ageFactor is the expected ratio of the service time of running calls to
	// their mean age. Calls are seen halfway on average, or later where service
	// times vary.
	ageFactor = 1.2
	// minRunning is the number of running calls from which their age is used.
	minRunning = 3
)

// route holds the statistics of the calls of one route.
type route struct {
	mean    float64
	known   bool
	running int
	// startSum is the sum of the start times of the running calls, in seconds
	// since the origin.
	startSum float64
}

// Estimator estimates the service times of one target by route. It is not safe
// for concurrent use.
type Estimator struct {
	origin time.Time
	routes map[string]*route
}

// New returns an estimator without samples.
func New(now time.Time) *Estimator { return &Estimator{origin: now, routes: map[string]*route{}} }

func (e *Estimator) get(name string) *route {
	r, ok := e.routes[name]
	if !ok {
		r = &route{}
		e.routes[name] = r
	}
	return r
}

// Start records a call that got a slot.
func (e *Estimator) Start(now time.Time, name string) {
	r := e.get(name)
	r.running++
	r.startSum += now.Sub(e.origin).Seconds()
}

// End records the end of a call that started at began. Counts is false for a
// call whose time says nothing about the target's speed; it is not added to the
// mean.
func (e *Estimator) End(began, now time.Time, name string, counts bool) {
	r := e.get(name)
	r.running--
	r.startSum -= began.Sub(e.origin).Seconds()
	if !counts {
		return
	}
	took := now.Sub(began).Seconds()
	if !r.known {
		r.mean, r.known = took, true
	}
	r.mean += (took - r.mean) * weight
}

// Estimate returns the expected service time of a call in seconds; 0 while no
// call of the route has completed.
func (e *Estimator) Estimate(now time.Time, name string) float64 {
	r, ok := e.routes[name]
	if !ok || !r.known {
		return 0
	}
	if r.running < minRunning {
		return r.mean
	}
	age := now.Sub(e.origin).Seconds() - r.startSum/float64(r.running)
	return max(r.mean, ageFactor*age)
}

// Reset discards the means of completed calls, for a new target at the address.
// Running calls stay, since their ends are still recorded.
func (e *Estimator) Reset() {
	for _, r := range e.routes {
		r.mean, r.known = 0, false
	}
}
