// Package status tells which HTTP statuses a complete response can have.
package status

const (
	// first and last are the bounds of the final statuses (RFC 9110, section 15). Lower ones
	// are interim, and no others are defined.
	first = 200
	last  = 599
)

// Final reports whether a complete response can have this status. One with another status
// says nothing of its request, which may have run.
func Final(code int) bool { return first <= code && code <= last }
