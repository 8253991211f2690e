// Package budget bounds sends beyond the first ones: by a budget that a root
// shares with all its inner calls, and by a ratio that a node keeps to.
//
// Extra sends are never created below the root, only divided: a call that
// makes an inner call lends part of what it holds and takes back what the
// inner call returns. What a lost answer held is gone. So all sends of a root
// are at most its distinct calls plus its budget, at any depth.
package budget

// Call holds the extra sends that one call may still use. It is not safe for
// concurrent use.
type Call struct{ left int }

// NewCall returns a call that holds extra sends.
func NewCall(extra int) *Call { return &Call{left: max(extra, 0)} }

// Left is the number of extra sends held.
func (c *Call) Left() int { return c.left }

// Spend uses one extra send. It reports false when none is held.
func (c *Call) Spend() bool {
	if c.left == 0 {
		return false
	}
	c.left--
	return true
}

// Lend takes out the extra sends that go with an inner call: all but one, so
// that one remains for a sibling or a repeat.
func (c *Call) Lend() int {
	lent := c.left
	if c.left > 1 {
		lent = c.left - 1
	}
	c.left -= lent
	return lent
}

// Return takes back what an inner call did not use, at most what was lent.
func (c *Call) Return(unused, lent int) {
	c.left += min(max(unused, 0), lent)
}

// burst is the number of extra sends that a ratio allows at once.
const burst = 10

// Ratio bounds a node's extra sends to a part of its first sends. It is not
// safe for concurrent use.
type Ratio struct {
	ratio  float64
	credit float64
}

// NewRatio returns a ratio with its full burst.
func NewRatio(ratio float64) *Ratio { return &Ratio{ratio: ratio, credit: burst} }

// SetRatio changes the ratio.
func (r *Ratio) SetRatio(ratio float64) { r.ratio = ratio }

// First counts a first send.
func (r *Ratio) First() { r.credit = min(r.credit+r.ratio, burst) }

// Extra reports whether one extra send is allowed now, and counts it.
func (r *Ratio) Extra() bool {
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
