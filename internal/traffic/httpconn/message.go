// Package httpconn speaks HTTP/1.1 on connections that it owns: a server that
// reads ahead on a connection and answers in order, and a pool of client
// connections that knows whether a request may have been sent.
package httpconn

import (
	"bufio"
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

// errTooLarge marks a body over its limit.
var errTooLarge = errors.New("the body is over its limit")

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHop removes the headers that concern one connection only.
func StripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// readBody reads a whole body of at most limit bytes.
func readBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		data := make([]byte, length)
		if _, err := io.ReadFull(body, data); err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		return data, nil
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, errTooLarge
	}
	return data, nil
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
