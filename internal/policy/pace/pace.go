// Package pace keeps how long work takes on a target at this moment, as a multiple of
// the usual, from what the target says in its answers.
//
// Targets share their VMs with others, which slow them for parts of a second. A figure
// is therefore used less the older it is, and not at all after about a second.
package pace

import (
	"math"
	"time"
)

const (
	// fade is the time in which the difference from the usual counts for a third.
	fade = 300 * time.Millisecond
	// weight is the weight of the newest figure in the mean.
	weight = 0.05
	// Max is the highest pace that is used. A target at a higher one counts as that slow.
	Max = 20.0
	// Min is the lowest pace that is used.
	Min = 0.05
)

// Pace is the pace of one target. The zero value is that of a target that tells none.
type Pace struct {
	factor float64
	mean   float64
	at     time.Time
}

// WithReported returns a copy with the pace that the target told at now.
func (p Pace) WithReported(now time.Time, factor float64) Pace {
	factor = min(max(factor, Min), Max)
	if !p.Known() {
		p.mean = factor
	}
	p.factor, p.mean, p.at = factor, p.mean+(factor-p.mean)*weight, now
	return p
}

// Known reports whether the target has told its pace.
func (p Pace) Known() bool { return p.factor > 0 }

// At returns the expected pace at now, 1 if it is not known.
func (p Pace) At(now time.Time) float64 {
	if !p.Known() {
		return 1
	}
	age := max(0, now.Sub(p.at))
	return 1 + (p.factor-1)*math.Exp(-age.Seconds()/fade.Seconds())
}

// Mean returns the mean pace of the last answers, 1 if it is not known.
func (p Pace) Mean() float64 {
	if !p.Known() {
		return 1
	}
	return p.mean
}
