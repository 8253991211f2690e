package strict

import (
	"sync"

	"github.com/gravitational/trace"
)

// headScanner looks for lines of a head that begin with a blank. net/http takes them for the
// rest of the line before, after which nothing tells them from it.
type headScanner struct {
	mu sync.Mutex
	// active is set until the end of the head, and folded once there was such a line.
	active, folded bool
	// line and column are the position in the head. Carriage returns count for nothing.
	line, column int
	// status is what is known of the status code.
	status string
}

// start begins a head with bytes that were read before.
func (s *headScanner) start(read []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.folded = false
	s.begin()
	s.scan(read)
}

func (s *headScanner) begin() { s.active, s.line, s.column, s.status = true, 0, 0, "" }

// read takes the bytes that were read next.
func (s *headScanner) read(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scan(p)
}

// scan takes the next bytes. The caller holds mu.
func (s *headScanner) scan(p []byte) {
	for _, c := range p {
		if !s.active {
			return
		}
		switch {
		case c == '\r':
		case c == '\n':
			s.endLine()
		default:
			s.folded = s.folded || s.line > 0 && s.column == 0 && isBlank(c)
			if s.line == 0 && s.column > len("HTTP/1.1") && !isBlank(c) && len(s.status) < len("200") {
				s.status += string(c)
			}
			s.column++
		}
	}
}

// endLine ends a line. An empty one ends the head; that of an interim response is followed by
// another.
func (s *headScanner) endLine() {
	switch {
	case s.column > 0 || s.line == 0:
		s.line, s.column = s.line+1, 0
	case s.status != "" && s.status[0] == '1' && s.status != "101":
		s.begin()
	default:
		s.active = false
	}
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// check returns trace.BadParameter if a line of the head began with a blank.
func (s *headScanner) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.folded {
		return trace.BadParameter("response has a field line that begins with a blank")
	}
	return nil
}
