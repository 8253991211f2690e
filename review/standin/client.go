package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// requestTimeout is the deadline of a client.
const requestTimeout = 6 * time.Second

var lastRequest atomic.Int64

// answer is what a client got for a request.
type answer struct {
	id     string
	sentAt time.Duration
	// status is 0 without an answer. whole is set if the answer is complete.
	status    int
	signature string
	size      int
	whole     bool
	close     bool
	err       error
}

// client is a client with one connection to the node of its machine.
type client struct {
	fleet *fleet
	conn  net.Conn
	in    *bufio.Reader
}

// dial opens a connection. receiveBuffer is the size of its receive buffer; 0 is the
// default of the system.
func (f *fleet) dial(m *machine, receiveBuffer int) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := d.Dial("tcp", m.outbound)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", m.name, err)
	}
	return &client{fleet: f, conn: conn, in: bufio.NewReaderSize(conn, 16)}, nil
}

// send sends a request with a body of zeros and returns its ID.
func (c *client) send(method, path string, bodySize int, timeout time.Duration) (string, error) {
	return c.sendWithKey(apiKey, method, path, bodySize, timeout)
}

func (c *client) sendWithKey(key, method, path string, bodySize int, timeout time.Duration) (string, error) {
	id := fmt.Sprintf("%016x", lastRequest.Add(1))
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id +
		"\r\nDeadline-Ms: " + strconv.FormatInt(timeout.Milliseconds(), 10) + "\r\nAuthorization: Bearer " + key + "\r\n"
	if method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(bodySize) + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	c.fleet.record.line("send %s: %s %s, %d bytes", id, method, path, bodySize)
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return id, fmt.Errorf("send request: %w", err)
	}
	chunk := make([]byte, 64<<10)
	for left := bodySize; left > 0; left -= min(left, len(chunk)) {
		if _, err := c.conn.Write(chunk[:min(left, len(chunk))]); err != nil {
			return id, fmt.Errorf("send body: %w", err)
		}
	}
	return id, nil
}

// receive reads the answer to a request. It waits for pause after its first bytes.
func (c *client) receive(id, method string, pause time.Duration) answer {
	a := answer{id: id}
	defer func() {
		c.fleet.record.line("answer %s: status %d, %d bytes, whole %t, error %v", id, a.status, a.size, a.whole, a.err)
	}()
	if _, a.err = c.in.Peek(1); a.err != nil {
		return a
	}
	time.Sleep(pause)
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signature, a.close = resp.StatusCode, resp.Header.Get("Response-Signature"), resp.Close
	n, err := io.Copy(io.Discard, resp.Body)
	a.size, a.err, a.whole = int(n), err, err == nil
	return a
}

func (c *client) close() { _ = c.conn.Close() }

// get makes a request on a new connection.
func (f *fleet) get(m *machine, method, path string, body []byte, timeout time.Duration) answer {
	c, err := f.dial(m, 0)
	if err != nil {
		f.record.line("no connection to %s", m.name)
		return answer{err: err}
	}
	defer c.close()
	sent := f.record.since()
	id, err := c.send(method, path, len(body), timeout)
	if err != nil {
		return answer{id: id, sentAt: sent, err: err}
	}
	a := c.receive(id, method, 0)
	a.sentAt = sent
	return a
}
