package httpconn

import "sync"

// exemptBody is the number of bytes of each response body that do not count against the
// budget, so that small bodies succeed while endless ones exhaust it.
const exemptBody = 64 << 10

// Budget bounds the memory of large response bodies while they are read, summed over all
// pools that share it. A nil Budget is unlimited.
type Budget struct {
	mu    sync.Mutex
	bytes int64
	free  int64
	// revoking is the number of bytes of shares that were revoked and not released yet.
	revoking int64
	// released is signalled when bytes become free and when a share is revoked.
	released *sync.Cond
	shares   map[*share]struct{}
}

// share is what one body has taken from a budget.
type share struct {
	budget *Budget
	// bounded reports whether the length of the body is known in advance.
	bounded bool
	held    int64
	// revoke ends the read of the body. A share without it can't be revoked.
	revoke  func()
	revoked bool
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{bytes: bytes, free: bytes, shares: map[*share]struct{}{}}
	b.released = sync.NewCond(&b.mu)
	return b
}

// share returns an empty share for one body of a length, -1 if unknown. The budget calls
// revoke at most once, when it gives the share to another body.
func (b *Budget) share(length int64, revoke func()) *share {
	return &share{budget: b, bounded: length >= 0, revoke: revoke}
}

// acquire takes bytes from the budget. If too few are free, other bodies lose theirs, so
// that an endless body does not keep others from being read. It waits until their memory
// is released. It takes none and reports false when that is not enough, or when the share
// was revoked.
func (s *share) acquire(bytes int64) bool {
	b := s.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for !s.revoked && b.free < bytes {
		if b.free+b.revoking >= bytes {
			b.released.Wait()
		} else if !b.revokeFor(s, s.held+bytes) {
			return false
		}
	}
	if s.revoked {
		return false
	}
	b.free -= bytes
	s.held += bytes
	b.shares[s] = struct{}{}
	return true
}

// revokeFor revokes the largest share that loses to s, which is to hold size bytes. The
// mutex is held.
func (b *Budget) revokeFor(s *share, size int64) bool {
	var largest *share
	for other := range b.shares {
		if other != s && other.losesTo(s, size) && (largest == nil || other.held > largest.held) {
			largest = other
		}
	}
	if largest == nil {
		return false
	}
	largest.revoked = true
	b.revoking += largest.held
	delete(b.shares, largest)
	b.released.Broadcast()
	largest.revoke()
	return true
}

// losesTo reports whether other, which is to hold size bytes, may take the bytes of s. A
// body of known length goes before one of unknown length, which may be endless, and a
// smaller one before a larger one.
func (s *share) losesTo(other *share, size int64) bool {
	switch {
	case s.revoke == nil:
		return false
	case s.bounded != other.bounded:
		return other.bounded
	}
	return s.held > size
}

// release gives the acquired bytes back. A nil share has none.
func (s *share) release() {
	if s == nil || s.budget == nil {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.revoked {
		b.revoking -= s.held
	}
	b.free += s.held
	s.held = 0
	delete(b.shares, s)
	b.released.Broadcast()
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
