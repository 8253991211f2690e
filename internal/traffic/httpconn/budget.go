package httpconn

import "sync/atomic"

// exemptBody is the number of bytes of each body that do not count against the
// budget, so that small bodies succeed while endless ones exhaust it.
const exemptBody = 64 << 10

// Budget bounds the memory of large bodies while they are read, summed over all
// pools that share it. A nil Budget is unlimited.
type Budget struct{ free atomic.Int64 }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.free.Store(bytes)
	return b
}

// acquire takes bytes from the budget. It takes none and reports false when too
// few are free.
func (b *Budget) acquire(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.free.Add(-bytes) >= 0 {
		return true
	}
	b.free.Add(bytes)
	return false
}

// release gives acquired bytes back.
func (b *Budget) release(bytes int64) {
	if b != nil {
		b.free.Add(bytes)
	}
}
