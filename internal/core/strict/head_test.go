package strict_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"chestnutshed.example/chestnutshed/internal/core/strict"
	"github.com/matryer/is"
)

// script is a connection that reads a text in pieces.
type script struct {
	net.Conn
	in   io.Reader
	size int
}

func (s script) Read(p []byte) (int, error) { return s.in.Read(p[:min(s.size, len(p))]) }

// A line of a head that begins with a blank, and a transfer encoding before HTTP/1.1, are found
// wherever reads divide the head. Bodies are not looked at.
func TestCheckHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nA: b c\r\n"
	for _, test := range []struct {
		text      string
		malformed bool
	}{
		{ok + "\r\n", false},
		{ok + "\r\n body\r\n \r\n\tA: b", false},
		{"HTTP/1.1 200\nA: b\n\n body", false},
		{"HTTP/1.1  200 OK\r\n\r\n body", false},
		{"HTTP/1.1 101 Switching\r\n\r\n data", false},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + ok + "\r\n body", false},
		{"HTTP/1.0 200 OK\r\nA: b\r\n\r\nTransfer-Encoding: chunked\r\n", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"HTTP/1.0 103 Hints\r\n\r\nHTTP/1.0 200 OK\r\nA: b\r\ntransfer-encoding:gzip\r\n\r\n", true},
		{"HTTP/1.0 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{ok + " C: d\r\n\r\n", true},
		{ok + "\tC: d\r\n\r\n", true},
		{ok + " \r\n\r\n", true},
		{"HTTP/1.1 200 OK\n C: d\n\n", true},
		{"HTTP/1.1 200 OK\r\n C: d\r\n\r\n", true},
		{"HTTP/1.1 103 Hints\r\nA: b\r\n C: d\r\n\r\n" + ok + "\r\n", true},
		{"HTTP/1.1  103 Hints\r\nA: b\r\n\r\n" + ok + " C: d\r\n\r\n", true},
	} {
		for size := 1; size <= len(test.text); size++ {
			for read := range len(test.text) {
				is := is.New(t)
				c := strict.NewConn(script{in: strings.NewReader(test.text[read:]), size: size})
				c.StartHead([]byte(test.text[:read]))
				_, err := io.Copy(io.Discard, struct{ io.Reader }{io.LimitReader(c, int64(len(test.text)-read))})
				is.NoErr(err)
				if got := c.CheckHead() != nil; got != test.malformed {
					t.Fatal(fmt.Sprintf("%q, %d read before, then in pieces of %d: malformed is %t", test.text, read, size, got))
				}
			}
		}
	}
}
