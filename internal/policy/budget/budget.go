// Package budget bounds sends beyond the first ones: by a budget that a root
// shares with all its inner calls, and by a ratio that a node keeps to.
//
// Extra sends are never created below the root, only divided: a call that
// makes an inner call lends part of what it holds and takes back what the
// inner call returns. What a lost answer held is gone. Sending a call again
// costs one extra send, and one more for each send that the earlier try led to
// further down and that now was in vain. So all sends of a root are at most its
// distinct calls plus its budget, at any depth. Only the sends below a lost
// answer can't be counted; what was lent with it is gone, so that they stay
// within the budget times the distinct calls.
package budget

// Budget holds the extra sends that one call may still use. It is not safe for
// concurrent use.
type Budget struct{ left int }

// New returns a call that holds extra sends.
func New(extra int) *Budget { return &Budget{left: max(extra, 0)} }

// Remaining is the number of extra sends held.
func (c *Budget) Remaining() int { return c.left }

// Spend uses extra sends. It reports false when fewer are held.
func (c *Budget) Spend(n int) bool {
	if c.left < n {
		return false
	}
	c.left -= n
	return true
}

// Cost is what sending a call again takes, when the earlier try led to sends
// further down and used some of the extra sends lent to it.
func Cost(sends, used int) int { return 1 + max(0, sends-used) }

// LendAll takes out all extra sends, for an inner call that ends before its
// caller goes on.
func (c *Budget) LendAll() int {
	lent := c.left
	c.left = 0
	return lent
}

// Lend takes out the extra sends that go with a send: all but one, which stays
// for sending again. The last one goes along, since those further down can use
// it more cheaply and return it.
func (c *Budget) Lend() int {
	lent := c.left
	if c.left > 1 {
		lent = c.left - 1
	}
	c.left -= lent
	return lent
}

// Return takes back what an inner call did not use, at most what was lent.
func (c *Budget) Return(unused, lent int) {
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

// RecordFirst counts a first send.
func (r *Ratio) RecordFirst() { r.credit = min(r.credit+r.ratio, burst) }

// AllowRetry reports whether one extra send is allowed now, and counts it.
func (r *Ratio) AllowRetry() bool {
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
