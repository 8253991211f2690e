package httpconn

import "sync"

const (
	// exemptBody is the number of bytes of each body that do not count against the
	// budget, so that small bodies succeed while endless ones exhaust it.
	exemptBody = 64 << 10
	// revokeFactor is how many times larger than another body one must be to lose its
	// share of the budget to it.
	revokeFactor = 2
)

// Budget bounds the memory of large bodies while they are read, summed over all
// pools that share it. A nil Budget is unlimited.
type Budget struct {
	mu     sync.Mutex
	free   int64
	shares map[*share]struct{}
}

// share is what one body has taken from a budget.
type share struct {
	budget *Budget
	held   int64
	// revoke ends the read of the body.
	revoke  func()
	revoked bool
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{free: bytes, shares: map[*share]struct{}{}}
}

// share returns an empty share for one body. The budget calls revoke at most once, when
// it gives the share to a smaller body.
func (b *Budget) share(revoke func()) *share { return &share{budget: b, revoke: revoke} }

// acquire takes bytes from the budget. If too few are free, much larger bodies lose
// theirs: an endless body must not keep others from being read. It takes none and reports
// false when that is not enough, or when the share was revoked.
func (s *share) acquire(bytes int64) bool {
	b := s.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.revoked {
		return false
	}
	for b.free < bytes {
		if !b.revokeLargest(revokeFactor * (s.held + bytes)) {
			return false
		}
	}
	b.free -= bytes
	s.held += bytes
	b.shares[s] = struct{}{}
	return true
}

// revokeLargest revokes the largest share if it exceeds a number of bytes. The mutex is
// held.
func (b *Budget) revokeLargest(above int64) bool {
	var largest *share
	for s := range b.shares {
		if s.held > above && (largest == nil || s.held > largest.held) {
			largest = s
		}
	}
	if largest == nil {
		return false
	}
	largest.revoked = true
	b.settle(largest)
	if largest.revoke != nil {
		largest.revoke()
	}
	return true
}

// settle gives the bytes of a share back. The mutex is held.
func (b *Budget) settle(s *share) {
	b.free += s.held
	s.held = 0
	delete(b.shares, s)
}

// release gives the acquired bytes back.
func (s *share) release() {
	if s.budget == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.settle(s)
}

// isRevoked reports whether the share was given to another body.
func (s *share) isRevoked() bool {
	if s.budget == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.revoked
}
