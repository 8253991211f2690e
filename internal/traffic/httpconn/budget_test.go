package httpconn

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The memory of a body that lost its share counted as free while its reader still held it,
// so that bodies together exceeded the budget.
func TestRevokedShareCountsUntilReleased(t *testing.T) {
	is := is.New(t)
	b := NewBudget(8)
	revoked := make(chan struct{})
	endless := b.share(-1, func() { close(revoked) })
	is.True(endless.acquire(8))
	sound := b.share(4, func() {})
	acquired := make(chan bool)
	go func() { acquired <- sound.acquire(4) }()
	<-revoked
	select {
	case <-acquired:
		is.Fail() // before the memory was released
	case <-time.After(50 * time.Millisecond):
	}
	is.True(!endless.acquire(1))
	endless.release()
	is.True(<-acquired)
	is.Equal(b.Used(), int64(4))
	sound.release()
	is.Equal(b.Used(), int64(0))
}

// A body that waits for the memory of another one loses its own share meanwhile.
func TestRevokedWhileWaiting(t *testing.T) {
	is := is.New(t)
	b := NewBudget(8)
	large, small := b.share(-1, func() {}), b.share(-1, func() {})
	is.True(large.acquire(6))
	is.True(small.acquire(2))
	waits := make(chan bool)
	go func() { waits <- small.acquire(3) }()
	for !large.isRevoked() {
		time.Sleep(time.Millisecond)
	}
	sound := b.share(8, func() {})
	acquired := make(chan bool)
	go func() { acquired <- sound.acquire(8) }()
	is.True(!<-waits)
	small.release()
	large.release()
	is.True(<-acquired)
}
