// Package strict rejects HTTP responses that are not whole or not well-formed and that
// net/http accepts.
package strict

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read tells a reset from a regular end. The system reports a
// reset once, to whatever comes first: if that is a write, the read beside it gets io.EOF.
type Conn struct {
	net.Conn

	head headScanner
	// writing is held by a write. It guards broken, the first error of a write that shows
	// that the connection broke before its regular end.
	writing sync.Mutex
	broken  error
}

// NewConn returns a connection with the strict Read. No more than one goroutine writes to
// it.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// StartHead says that a head of a response follows, of which some bytes may have been read.
func (c *Conn) StartHead(read []byte) { c.head.start(read) }

// CheckHead returns trace.BadParameter if the head that was started, or an interim one before
// it, has a line that begins with a blank, or a transfer encoding before HTTP/1.1 (RFC 9112,
// sections 5.2 and 6.1).
func (c *Conn) CheckHead() error { return c.head.check() }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.broken == nil && breaks(err) {
		c.broken = err
	}
	return n, err
}

// breaks reports whether an error of a write shows that the connection broke before the peer
// had closed it. If it broke afterwards, the error is EPIPE.
func breaks(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read reads from the connection. The error is io.EOF only if the peer has closed the
// connection in order. A write that is under way then ends.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.head.read(p[:n])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write that waits for the peer to read has no error yet, and needs none.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return n, fmt.Errorf("connection broke while it was written: %w", c.broken)
	}
	return n, io.EOF
}
