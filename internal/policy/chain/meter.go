package chain

import (
	"maps"
	"math"
	"time"
)

const (
	// meterWindow is the time constant of the mean calls per run.
	meterWindow = 10 * time.Second
	// minRuns is the decayed number of runs below which a route is removed.
	minRuns = 0.01
)

// Meter measures the calls per run of the routes that a node serves. Only completed runs
// count: one that fails halfway makes fewer calls than it needs. It is not safe for
// concurrent use.
type Meter struct {
	running map[uint64]map[Child]float64
	routes  map[string]measured
}

type measured struct {
	runs  float64
	calls map[Child]float64
	at    time.Time
}

// NewMeter returns a meter without runs.
func NewMeter() *Meter {
	return &Meter{running: map[uint64]map[Child]float64{}, routes: map[string]measured{}}
}

// Start records the start of a run.
func (m *Meter) Start(run uint64) { m.running[run] = nil }

// Call records a call made by a run. Unknown runs are ignored.
func (m *Meter) Call(run uint64, child Child) {
	calls, ok := m.running[run]
	if !ok {
		return
	}
	if calls == nil {
		calls = map[Child]float64{}
		m.running[run] = calls
	}
	calls[child]++
}

// End records the end of a run of a route. It returns the profile of the route if the run
// was completed and runs of the route make calls.
func (m *Meter) End(now time.Time, run uint64, route string, completed bool) (Profile, bool) {
	calls := m.running[run]
	delete(m.running, run)
	r, known := m.routes[route]
	if !completed || (!known && len(calls) == 0) {
		return Profile{}, false
	}
	if !known {
		r.calls = map[Child]float64{}
	}
	keep := math.Exp(-now.Sub(r.at).Seconds() / meterWindow.Seconds())
	r.runs, r.at = r.runs*keep+1, now
	for child := range r.calls {
		r.calls[child] *= keep
	}
	for child, n := range calls {
		r.calls[child] += n
	}
	maps.DeleteFunc(r.calls, func(_ Child, n float64) bool { return n < minRuns })
	if len(r.calls) == 0 {
		delete(m.routes, route)
		return Profile{}, false
	}
	m.routes[route] = r
	p := Profile{Calls: make(map[Child]float64, len(r.calls)), At: now}
	for child, n := range r.calls {
		p.Calls[child] = n / r.runs
	}
	return p, true
}
