// Package broken is a stand-in for a server that answers with bytes of its own choice and
// ends the connection as it likes.
package broken

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// drainTimeout bounds how long an answer that ends in order waits for the peer to close.
const drainTimeout = 5 * time.Second

// End is how a connection ends after an answer.
type End string

const (
	// Reset resets the connection.
	Reset End = "reset"
	// Close closes it in order, and reads on until the peer closes it too.
	Close End = "close"
	// CloseThenReset closes it in order, and resets it after the same pause again.
	CloseThenReset End = "close-reset"
	// Keep reads on until the peer closes it.
	Keep End = "keep"
)

// placeholder in the text of an answer stands for the ID of the request.
const placeholder = "{id}"

// Answer is what a server sends in place of a response.
type Answer struct {
	// Text is sent as it is, but for "{id}".
	Text string `json:"text"`
	// Read is how many bytes of the request body are read before, at most.
	Read int64 `json:"read"`
	// Pause is the time before the end, in nanoseconds.
	Pause time.Duration `json:"pause"`
	End   End           `json:"end"`
}

// WithID returns a copy for a request.
func (a Answer) WithID(id string) Answer {
	a.Text = strings.ReplaceAll(a.Text, placeholder, id)
	return a
}

// Listen answers the first request on each connection once its headers were read, and returns
// the address. It stops listening when ctx ends.
func (a Answer) Listen(ctx context.Context) (string, error) {
	return Listen(ctx, func(conn *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			_ = conn.Close()
			return
		}
		a.Send(conn, req.Body)
	})
}

// Listen calls serve for each connection to the address that it returns. It stops listening
// when ctx ends.
func Listen(ctx context.Context, serve func(conn *net.TCPConn)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String(), nil
}

// Hijack answers a request to a server of net/http.
func (a Answer) Hijack(w http.ResponseWriter) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // a server of HTTP/1.1 can always do this
	}
	a.Send(conn.(*net.TCPConn), buffered)
}

// Send answers a request whose headers were read from a connection, and ends the connection.
func (a Answer) Send(conn *net.TCPConn, body io.Reader) {
	defer func() { _ = conn.Close() }()
	_, _ = io.CopyN(io.Discard, body, a.Read)
	if _, err := io.WriteString(conn, a.Text); err != nil {
		return
	}
	time.Sleep(a.Pause)
	switch a.End {
	case Reset:
		_ = conn.SetLinger(0)
		return
	case Close:
		_ = conn.CloseWrite()
	case CloseThenReset:
		_ = conn.CloseWrite()
		time.Sleep(a.Pause)
		_ = conn.SetLinger(0)
		return
	}
	// Unread bytes would reset the connection when it is closed.
	_ = conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, body)
	_, _ = io.Copy(io.Discard, conn)
}
