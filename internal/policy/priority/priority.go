// Package priority orders requests by importance and rank, and defines the cut
// that a node admits requests up to.
//
// A score packs both into one number that all nodes compare alike: its whole
// part is the class, an importance and a grade within it, the greatest first, and
// its fraction the rank on a logarithmic scale. Because a root keeps its score on every hop, nodes
// that shed by score shed the same roots, and an admitted root finishes.
package priority

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
)

// Score is a request's place in the order; a smaller score goes first.
type Score float64

// octaves is the range of ranks that a score can hold, in doublings, and
// rankUnit the rank at which the scale turns from linear to logarithmic.
const (
	octaves  = 24
	rankUnit = 1.0 / 16
)

// innerSlack is how far past the cut calls of a started root are let in, in
// doublings of the rank: their work so far would be lost.
const innerSlack = 0.25

// reopening is how fast a cut that nothing was heard of is let rise, in doublings
// of the rank a second: a caller's requests are answered within a second or so,
// and bring news.
const reopening = 2.0

// Grades is the number of grades of an importance, and Classes that of both
// together.
const (
	Grades  = 3
	Classes = manifest.Importances * Grades
)

// New returns the score for an importance and a rank of at least 0.
func New(importance manifest.Importance, rank float64) Score { return NewGraded(importance, 0, rank) }

// NewGraded returns the score for an importance, a grade within it, 0 first, and a rank
// of at least 0.
func NewGraded(importance manifest.Importance, grade int, rank float64) Score {
	order := min(max(manifest.Importances-1-int(importance), 0), manifest.Importances-1)
	class := order*Grades + min(max(grade, 0), Grades-1)
	fraction := math.Log2(1+max(rank, 0)/rankUnit) / octaves
	return Score(float64(class) + min(fraction, 0.999999))
}

// Class is the place of the score's importance and grade among all, 0 first.
func (s Score) Class() int { return min(max(int(s), 0), Classes-1) }

// Importance is the importance that the score was made from.
func (s Score) Importance() manifest.Importance {
	return manifest.Importance(manifest.Importances - 1 - s.Class()/Grades)
}

// Cutoff is the greatest score admitted.
type Cutoff float64

// AdmitAll admits everything.
const AdmitAll Cutoff = Classes

// Closed admits only the most important requests of the lowest rank.
const Closed Cutoff = 0

// AdmitNone admits nothing.
const AdmitNone Cutoff = -1

// Admits reports whether a request with this score passes. Depth is the
// number of hops from the root's caller, 1 for the root itself.
func (c Cutoff) Admits(s Score, depth int) bool {
	if Cutoff(s) <= c {
		return true
	}
	if depth <= 1 {
		return false
	}
	lowered := math.Max(float64(s)-innerSlack/octaves, math.Floor(float64(s)))
	return Cutoff(lowered) <= c && c > Cutoff(math.Floor(float64(s)))
}

// Relaxed is the cut that is believed of a node that was not heard of for a while
// longer than its word holds: from the start of the score's importance on, ranks
// are let in again little by little.
func (c Cutoff) Relaxed(s Score, past time.Duration) Cutoff {
	return max(c, Cutoff(math.Floor(float64(s)))).WithStep(reopening * past.Seconds())
}

// WithStep returns the cut moved by a number of doublings of the rank, within
// Closed and Open.
func (c Cutoff) WithStep(doublings float64) Cutoff {
	return min(max(c+Cutoff(doublings/octaves), Closed), AdmitAll)
}
