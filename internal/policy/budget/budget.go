// Package budget limits retries in two ways: a budget that a root request shares
// with all its inner calls, and a ratio of retries to first attempts per node.
//
// Retries are never added below the root, only divided: a call that makes an
// inner call lends it a part of its budget and takes back what the inner call
// returns. The part lent with a lost answer is not returned. A retry costs one,
// plus one for each send further downstream that the failed attempt caused and
// that was wasted. So all sends of a root are at most its distinct calls plus
// its budget, at any depth. Only sends below a lost answer are unknown. Since
// the retries lent with it are not returned, those sends stay within the budget
// times the distinct calls.
package budget

// Budget is the number of retries that one call may still use. It is not safe
// for concurrent use.
type Budget struct{ remaining int }

// New returns a budget of retries.
func New(retries int) *Budget { return &Budget{remaining: max(retries, 0)} }

// Remaining is the number of retries left.
func (b *Budget) Remaining() int { return b.remaining }

// Spend uses n retries. It returns false and uses none when fewer are left.
func (b *Budget) Spend(n int) bool {
	if b.remaining < n {
		return false
	}
	b.remaining -= n
	return true
}

// Cost is the number of retries that another attempt costs, after an attempt
// that caused sends further downstream and used some of the retries lent to it.
func Cost(sends, used int) int { return 1 + max(0, sends-used) }

// LendAll takes all retries out of the budget, for an inner call that ends
// before its caller continues.
func (b *Budget) LendAll() int {
	lent := b.remaining
	b.remaining = 0
	return lent
}

// Lend takes out the retries that go with an attempt: all but one, which stays
// for a retry of the call itself. If only one is left it is lent too, since a
// retry further downstream costs less, and the retry comes back if unused.
func (b *Budget) Lend() int {
	lent := b.remaining
	if b.remaining > 1 {
		lent = b.remaining - 1
	}
	b.remaining -= lent
	return lent
}

// Return puts back the retries that an inner call did not use, at most lent.
func (b *Budget) Return(unused, lent int) {
	b.remaining += min(max(unused, 0), lent)
}

// burst is the number of retries that a ratio allows at once.
const burst = 10

// Ratio limits a node's retries to a ratio of its first attempts, as a token
// bucket. It is not safe for concurrent use.
type Ratio struct {
	ratio  float64
	tokens float64
}

// NewRatio returns a ratio with a full bucket.
func NewRatio(ratio float64) *Ratio { return &Ratio{ratio: ratio, tokens: burst} }

// SetRatio sets the number of retries allowed per first attempt.
func (r *Ratio) SetRatio(ratio float64) { r.ratio = ratio }

// RecordFirst records a first attempt.
func (r *Ratio) RecordFirst() { r.tokens = min(r.tokens+r.ratio, burst) }

// AllowRetry reports whether one retry is allowed now, and takes a token for it.
func (r *Ratio) AllowRetry() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
