// Package priority orders requests by importance and rank, and defines the
// cutoff up to which a node admits requests.
//
// A score packs both into one number that compares the same on all nodes. Its
// integer part is the class: an importance and a grade within it, the highest
// importance first. Its fraction is the rank on a logarithmic scale. A root
// request keeps its score on every hop, so nodes that shed by score shed the same
// roots, and an admitted root can finish.
package priority

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
)

// Score is a request's place in the order. A lower score goes first.
type Score float64

// octaves is the range of ranks that a score can hold, in doublings. rankUnit is
// the rank at which the scale turns from linear to logarithmic.
const (
	octaves  = 24
	rankUnit = 1.0 / 16
)

// innerTolerance is how far above the cutoff inner calls of a running root are
// still admitted, in doublings of the rank. Refusing them would waste the work
// already done for the root.
const innerTolerance = 0.25

// relaxRate is how fast the cutoff assumed for a node rises once its last report
// has expired, in doublings of the rank per second. A caller's request is
// answered within about a second, and the answer carries a new report.
const relaxRate = 2.0

// Grades is the number of grades of an importance, and Classes the number of
// classes, one for each importance and grade.
const (
	Grades  = 3
	Classes = manifest.NumImportances * Grades
)

// New returns the score for an importance and a rank of at least 0.
func New(importance manifest.Importance, rank float64) Score { return NewGraded(importance, 0, rank) }

// NewGraded returns the score for an importance, a grade within it and a rank of
// at least 0. Grade 0 goes first.
func NewGraded(importance manifest.Importance, grade int, rank float64) Score {
	order := min(max(manifest.NumImportances-1-int(importance), 0), manifest.NumImportances-1)
	class := order*Grades + min(max(grade, 0), Grades-1)
	fraction := math.Log2(1+max(rank, 0)/rankUnit) / octaves
	return Score(float64(class) + min(fraction, 0.999999))
}

// Class is the index of the score's importance and grade; 0 is the most
// important.
func (s Score) Class() int { return min(max(int(s), 0), Classes-1) }

// Importance is the importance that the score was made from.
func (s Score) Importance() manifest.Importance {
	return manifest.Importance(manifest.NumImportances - 1 - s.Class()/Grades)
}

// Cutoff is the highest score that is admitted.
type Cutoff float64

// AdmitAll admits everything.
const AdmitAll Cutoff = Classes

// MinCutoff admits only the most important requests of the lowest rank.
const MinCutoff Cutoff = 0

// AdmitNone admits nothing.
const AdmitNone Cutoff = -1

// Admits reports whether a request with this score is admitted. Depth is the
// number of hops from the root's caller, 1 for the root itself.
func (c Cutoff) Admits(s Score, depth int) bool {
	if Cutoff(s) <= c {
		return true
	}
	if depth <= 1 {
		return false
	}
	lowered := math.Max(float64(s)-innerTolerance/octaves, math.Floor(float64(s)))
	return Cutoff(lowered) <= c && c > Cutoff(math.Floor(float64(s)))
}

// Relaxed returns the cutoff to assume for a node whose last report expired a
// while ago. It starts at the lowest score of the class and rises with time, so
// that higher ranks are admitted again step by step.
func (c Cutoff) Relaxed(s Score, sinceExpiry time.Duration) Cutoff {
	return max(c, Cutoff(math.Floor(float64(s)))).WithStep(relaxRate * sinceExpiry.Seconds())
}

// WithStep returns the cutoff moved by a number of doublings of the rank, within
// MinCutoff and AdmitAll.
func (c Cutoff) WithStep(doublings float64) Cutoff {
	return min(max(c+Cutoff(doublings/octaves), MinCutoff), AdmitAll)
}
