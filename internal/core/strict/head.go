package strict

import (
	"bytes"
	"sync"

	"github.com/gravitational/trace"
)

// headScanner looks at the lines of a head for what does not show in the header that net/http
// makes of them.
type headScanner struct {
	mu sync.Mutex
	// active is set until the end of the head.
	active bool
	// number is that of the current line. Of its length without carriage returns, line holds
	// the first bytes.
	number, length int
	line           [32]byte
	// interim is set in the head of an interim response, and old before HTTP/1.1.
	interim, old bool
	// malformed is the error for the first malformed line.
	malformed error
}

// start begins a head with bytes that were read before.
func (s *headScanner) start(read []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.number, s.length, s.malformed = true, 0, 0, nil
	s.scan(read)
}

// read takes the bytes that were read next.
func (s *headScanner) read(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scan(p)
}

// check returns trace.BadParameter if the head has a malformed line.
func (s *headScanner) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.malformed
}

// scan takes the next bytes. The caller holds mu.
func (s *headScanner) scan(p []byte) {
	for _, c := range p {
		switch {
		case !s.active:
			return
		case c == '\r':
		case c != '\n':
			if s.length < len(s.line) {
				s.line[s.length] = c
			}
			s.length++
		default:
			s.endLine(s.line[:min(s.length, len(s.line))])
			s.length = 0
		}
	}
}

// endLine takes the first bytes of a line. An empty line ends the head; that of an interim
// response is followed by another.
func (s *headScanner) endLine(line []byte) {
	s.number++
	switch {
	case s.number == 1:
		version, status, _ := bytes.Cut(line, []byte(" "))
		status = bytes.TrimLeft(status, " ")
		s.old = string(version) < "HTTP/1.1"
		s.interim = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
	case len(line) == 0:
		s.active, s.number = s.interim, 0
	case s.malformed != nil:
	case line[0] == ' ' || line[0] == '\t':
		// net/http adds it to the line before, after which nothing tells them apart.
		s.malformed = trace.BadParameter("response has a field line that begins with a blank")
	case s.old && isTransferEncoding(line):
		// net/http ignores it, and takes what encodes the body for a part of it.
		s.malformed = trace.BadParameter("response before HTTP/1.1 has a transfer encoding")
	}
}

func isTransferEncoding(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(name, []byte("Transfer-Encoding"))
}
