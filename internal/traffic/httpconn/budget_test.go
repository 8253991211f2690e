package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/strict"
	"github.com/matryer/is"
)

// used is the number of bytes taken.
func (b *Budget) used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes - b.free
}

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
	is.Equal(b.used(), int64(4))
	sound.release()
	is.Equal(b.used(), int64(0))
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

// revokingConn revokes all shares of a budget when the last byte of a response is read.
type revokingConn struct {
	net.Conn
	budget *Budget
	left   int
}

func (c *revokingConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), c.left)
	c.left -= n
	if c.left == 0 {
		c.budget.mu.Lock()
		defer c.budget.mu.Unlock()
		for c.budget.revokeFor(c.budget.share(1, nil), 0) {
		}
	}
	return n, nil
}

func (c *revokingConn) SetDeadline(time.Time) error { return nil }

// A connection whose body lost its share with the last byte was kept, although its deadline
// had been set to the past, and the next request on it failed.
func TestRevokedConnectionNotReused(t *testing.T) {
	is := is.New(t)
	const size = 200 << 10
	b := NewBudget(1 << 20)
	conn := &revokingConn{budget: b, left: size}
	limit := &io.LimitedReader{R: conn}
	head := []byte("HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n")
	c := &clientConn{conn: conn, stream: strict.NewConn(conn), limit: limit, in: bufio.NewReaderSize(io.MultiReader(bytes.NewReader(head), limit), bufferSize)}
	resp, keep, err := c.readResponse(http.MethodGet, Options{MaxBody: size, Budget: b})
	is.NoErr(err)
	is.Equal(len(resp.Body), size)
	is.True(!keep)
}
