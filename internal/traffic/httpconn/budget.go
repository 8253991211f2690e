package httpconn

import "sync/atomic"

// freeBody is the size up to which a body takes nothing of a budget, in bytes: what
// ends soon must not fail beside what doesn't end.
const freeBody = 64 << 10

// Budget bounds the memory of the large bodies that are being read, over all pools
// that share it. A nil budget has no bound.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// take reports whether there was room for more bytes, which are then taken.
func (b *Budget) take(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.left.Add(-bytes) >= 0 {
		return true
	}
	b.left.Add(bytes)
	return false
}

// give returns bytes that were taken.
func (b *Budget) give(bytes int64) {
	if b != nil {
		b.left.Add(bytes)
	}
}
