// Package httpconn implements HTTP/1.1 on connections that it owns: a server with
// pipelining, and a pool of client connections whose errors say whether a request
// may have been sent.
package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/status"
)

// Request is a request with its whole body.
type Request struct {
	Method string
	// Target is the HTTP request target as received: path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the server had read the headers, by clock.Now.
	Received time.Time
	// NoRoom is set when the server had no room for the body, which was not read then.
	NoRoom *NoRoom

	// room is the memory for the body.
	room Room
}

// Path is the request target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// release gives the memory of the body back. A nil request has none.
func (r *Request) release() {
	if r != nil && r.room != nil {
		r.room.Release()
	}
}

// Response is a response with its whole body. A handler returns nil to close the
// connection.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close closes the connection after the response.
	Close bool
}

// errTooLarge is returned for a header or body that exceeds its limit, and for a
// response body that exceeds the budget.
var errTooLarge = errors.New("message exceeds its size limit")

// errNoRoom is returned for a request body that can't grow any more.
var errNoRoom = errors.New("no room for the body")

const (
	// FirstBuffer is the size of the first buffer for a body of unknown length, in bytes.
	FirstBuffer = 4 << 10
	// The buffer of a large request body of unknown length grows by growthFactor. From
	// largestStep, in bytes, it grows to the limit.
	growthFactor = 4
	largestStep  = 4 << 20
)

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHopHeaders removes the hop-by-hop headers, including those that Connection
// lists.
func StripHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// readResponseBody reads the whole body of a response, of at most limit bytes. The length
// is -1 if unknown. Bytes beyond exemptBody count against the budget while the body is
// read. The error is errTooLarge when the limit or the budget is exceeded.
func readResponseBody(body io.Reader, length, limit int64, taken *share) ([]byte, error) {
	switch {
	case length > limit:
		return nil, errTooLarge
	case length == 0:
		return nil, nil
	case length > 0 && length <= exemptBody:
		data := make([]byte, length)
		if _, err := io.ReadFull(body, data); err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		return data, nil
	}
	defer taken.release()
	data, err := readGrowing(body, length, limit, taken)
	if err != nil && taken.isRevoked() {
		return nil, errTooLarge
	}
	return data, err
}

// readGrowing reads a body that is large or of unknown length. Its buffers grow with
// the bytes received, so that a large Content-Length alone allocates nothing.
func readGrowing(body io.Reader, length, limit int64, taken *share) ([]byte, error) {
	var bufs [][]byte
	total := int64(0)
	for {
		size := min(max(total, FirstBuffer), exemptBody, limit+1-total)
		if total >= exemptBody && !taken.acquire(size) {
			return nil, errTooLarge
		}
		buf := make([]byte, size)
		n, err := fill(body, buf)
		bufs, total = append(bufs, buf[:n]), total+int64(n)
		switch {
		case total > limit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF) && (length < 0 || total == length):
			return bytes.Join(bufs, nil), nil
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// readRequestBody reads the whole body of a request, of at most limit bytes, into one
// buffer. The length is -1 if unknown; the room then grows with the buffer, and the error is
// errNoRoom when it can't.
func readRequestBody(body io.Reader, length, limit int64, room Room) ([]byte, error) {
	size := int64(FirstBuffer)
	if length >= 0 {
		size = min(length, exemptBody)
		room = nil // it was admitted with its length
	}
	data := make([]byte, 0, size)
	for {
		n, err := fill(body, data[len(data):cap(data)])
		data = data[:len(data)+n]
		total := int64(len(data))
		switch {
		case total > limit:
			return nil, errTooLarge
		case total == length, errors.Is(err, io.EOF) && length < 0:
			return shrink(data, room), nil
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		}
		if data, err = grow(data, nextSize(total, length, limit), room); err != nil {
			return nil, err
		}
	}
}

// discard reads and drops the rest of a body, of at most limit bytes.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	switch {
	case err != nil:
		return fmt.Errorf("discard body: %w", err)
	case n > limit:
		return errTooLarge
	}
	return nil
}

// nextSize is the size of the buffer for a body of which more than size bytes follow.
func nextSize(size, length, limit int64) int64 {
	switch {
	case length >= 0:
		return length
	case size >= largestStep:
		return limit + 1 // one more byte shows that the body is too large
	}
	return min(size*growthFactor, limit+1)
}

// grow moves data to a buffer of another size. Large ones both need room meanwhile.
func grow(data []byte, size int64, room Room) ([]byte, error) {
	needed := size
	if size > exemptBody {
		needed += int64(cap(data))
	}
	if room != nil && !room.Resize(needed) {
		return nil, errNoRoom
	}
	moved := make([]byte, len(data), size)
	copy(moved, data)
	if room != nil && needed > size {
		room.Resize(size)
	}
	return moved, nil
}

// shrink moves data to a smaller buffer if most of its buffer is empty.
func shrink(data []byte, room Room) []byte {
	if cap(data) <= exemptBody || len(data) > cap(data)/2 {
		return data
	}
	moved, err := grow(data, int64(len(data)), room)
	if err != nil {
		return data
	}
	return moved
}

// fill reads until buf is full. Unlike io.ReadFull it passes the error of
// the body on unchanged: io.EOF at the regular end, io.ErrUnexpectedEOF if truncated.
func fill(body io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var more int
		more, err = body.Read(buf[n:])
		n += more
	}
	return n, err
}

// writeRequest writes a request and sets its Content-Length.
func writeRequest(w *bufio.Writer, r *Request) error {
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	writeHeader(w, r.Header)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		writeContentLength(w, len(r.Body))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// writeResponse writes a response and sets its Content-Length. The body is left out
// for HEAD and for the statuses 204 and 304. A response whose status is no final one is
// replaced by 502, since its request may have run.
func writeResponse(w *bufio.Writer, method string, r *Response) error {
	if !status.Final(r.Status) {
		r = &Response{Status: http.StatusBadGateway, Close: true}
	}
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(r.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(r.Status))
	_, _ = w.WriteString("\r\n")
	writeHeader(w, r.Header)
	bodiless := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	// The length of a body that is not at hand for HEAD is unknown.
	if !bodiless && (method != http.MethodHead || len(r.Body) > 0) {
		writeContentLength(w, len(r.Body))
	}
	if r.Close {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if method != http.MethodHead && !bodiless {
		_, _ = w.Write(r.Body)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

func writeContentLength(w *bufio.Writer, n int) {
	_, _ = w.WriteString("Content-Length: ")
	_, _ = w.WriteString(strconv.Itoa(n))
	_, _ = w.WriteString("\r\n")
}

func writeHeader(w *bufio.Writer, h http.Header) {
	for name, values := range h {
		for _, v := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(v)
			_, _ = w.WriteString("\r\n")
		}
	}
}
