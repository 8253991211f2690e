// Package httpconn speaks HTTP/1.1 on connections that it owns: a server that
// reads ahead on a connection and answers in order, and a pool of client
// connections that knows whether a request may have been sent.
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
)

// Request is a whole request.
type Request struct {
	Method string
	// Target is the request target as it was sent, path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the headers were read, in the clock of the server.
	Received time.Time
}

// Path is the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a whole response. A nil Response closes the connection.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close closes the connection after the response.
	Close bool
}

// errTooLarge marks a head or a body over its limit.
var errTooLarge = errors.New("the message is over its limit")

// firstPiece is the size of the first buffer for a body of unknown length, in bytes.
const firstPiece = 4 << 10

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHopHeaders removes the headers that concern one connection only.
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

// readBody reads a whole body of at most limit bytes, -1 for a length that is not
// known. What is over freeBody counts against the budget while it is read.
func readBody(body io.Reader, length, limit int64, budget *Budget) ([]byte, error) {
	switch {
	case length > limit:
		return nil, errTooLarge
	case length == 0:
		return nil, nil
	case length > 0 && length <= freeBody:
		data := make([]byte, length)
		if _, err := io.ReadFull(body, data); err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		return data, nil
	}
	return readPieces(body, length, limit, budget)
}

// readPieces reads a body that is large or may be. Its memory grows with what has
// come, whatever length was announced.
func readPieces(body io.Reader, length, limit int64, budget *Budget) ([]byte, error) {
	var pieces [][]byte
	taken, total := int64(0), int64(0)
	defer func() { budget.give(taken) }()
	for {
		size := min(max(total, firstPiece), freeBody, limit+1-total)
		if total >= freeBody {
			if !budget.take(size) {
				return nil, errTooLarge
			}
			taken += size
		}
		piece := make([]byte, size)
		n, err := fill(body, piece)
		pieces, total = append(pieces, piece[:n]), total+int64(n)
		switch {
		case total > limit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF) && (length < 0 || total == length):
			return bytes.Join(pieces, nil), nil
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// fill reads until a piece is full. Unlike io.ReadFull it leaves the end of the body
// apart from one that came too early.
func fill(body io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = body.Read(piece[n:])
		n += more
	}
	return n, err
}

// writeRequest writes a request with the length of its body.
func writeRequest(w *bufio.Writer, r *Request) error {
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	writeHeader(w, r.Header)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		writeLength(w, len(r.Body))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// writeResponse writes a response with the length of its body.
func writeResponse(w *bufio.Writer, method string, r *Response) error {
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(r.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(r.Status))
	_, _ = w.WriteString("\r\n")
	writeHeader(w, r.Header)
	bodiless := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	if !bodiless {
		writeLength(w, len(r.Body))
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

func writeLength(w *bufio.Writer, n int) {
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
