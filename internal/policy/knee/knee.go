// Package knee finds the number of concurrent calls above which a target does less work,
// since each takes longer.
//
// It compares the service times of calls by how full the target was while they ran, each
// relative to that of its route on a target with room. Only calls that make no calls of their
// own tell anything, since others wait for other services.
package knee

import "time"

const (
	// roomy is the occupancy below which a call counts for the usual time of its route.
	roomy = 0.8
	// usualWeight and bandWeight are the weights of the newest call in the means.
	usualWeight = 0.005
	bandWeight  = 0.005
	// minCalls is the number of calls from which a mean is used. Service times vary by as
	// much as their mean.
	minCalls = 400
	// minGain is the least gain of work for which slots are left free.
	minGain = 1.08
	// hold is how long slots are left free before all are tried again.
	hold = 20 * time.Second
)

// edges are the upper ends of the bands of occupancy that are compared.
var edges = [...]float64{0.85, 0.9, 0.94, 1}

// mean is the mean of some calls.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x, weight float64) {
	m.n++
	m.value += (x - m.value) * max(weight, 1/float64(m.n))
}

// Finder measures one target. It is not safe for concurrent use.
type Finder struct {
	usual map[string]*mean
	bands [len(edges)]mean
	bound float64
	until time.Time
}

// New returns a finder without measurements.
func New() *Finder { return &Finder{usual: map[string]*mean{}, bound: 1} }

// Record records a call that has ended: the mean fraction of the slots that were in use while
// it ran, and its time at the usual pace.
func (f *Finder) Record(route string, occupancy float64, took time.Duration) {
	usual, ok := f.usual[route]
	if !ok {
		usual = &mean{}
		f.usual[route] = usual
	}
	if occupancy < roomy {
		usual.add(took.Seconds(), usualWeight)
		return
	}
	if usual.n < minCalls || usual.value <= 0 {
		return
	}
	for i, edge := range edges {
		if occupancy <= edge || i == len(edges)-1 {
			f.bands[i].add(took.Seconds()/usual.value, bandWeight)
			return
		}
	}
}

// Bound returns the fraction of the slots to use at now.
func (f *Finder) Bound(now time.Time) float64 {
	if now.Before(f.until) {
		return f.bound
	}
	full := len(edges) - 1
	if f.bound < 1 {
		f.bound, f.bands[full] = 1, mean{}
	}
	if f.bands[full].n < minCalls {
		return 1
	}
	for i := full - 1; i >= 0; i-- {
		if f.bands[i].n >= minCalls && f.work(i) > f.work(full)*minGain {
			f.bound, f.until = edges[i], now.Add(hold)
			return f.bound
		}
	}
	return 1
}

// work is what a target does at the upper end of a band, in usual service times.
func (f *Finder) work(band int) float64 { return edges[band] / f.bands[band].value }
