// Package current keeps the configuration in force at one node.
//
// The platform holds a small head object, which names the version, and one
// object per version with the whole text. Nodes take a new version from the
// platform or from a peer, whichever comes first, and never go back.
package active

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// HeadKey is the object that names the version in force.
const HeadKey = "config/head"

// TextKey is the object with the whole text of one ship.
func TextKey(ship string) string { return "config/text/" + ship }

// maxDeltaBytes is the longest replaced text that is sent as a delta, in bytes.
const maxDeltaBytes = 16 << 10

// Head names one accepted configuration.
type Head struct {
	// Version grows by one with each ship.
	Version uint64 `json:"version"`
	// ShipID identifies the ship, so that its author recognizes it after a lost
	// answer.
	ShipID string    `json:"ship,omitempty"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at,omitzero"`
	// Digest is the SHA-256 of the text, in hex.
	Digest string `json:"digest,omitempty"`
	// Delta makes the text from that of the version before; nil when the
	// change is too large.
	Delta *Delta `json:"delta,omitempty"`
}

// Digest returns the digest of a text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// DecodeHead reads the value of the head object.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return h, trace.BadParameter("head object: %v", err)
	}
	if h.Version == 0 || h.ShipID == "" {
		return h, trace.BadParameter("head object: version and ship must be set")
	}
	return h, nil
}

// Delta replaces the middle of a text.
type Delta struct {
	// Prefix and Suffix are the lengths in bytes of what stays.
	Prefix int    `json:"prefix"`
	Suffix int    `json:"suffix"`
	Middle []byte `json:"middle"`
}

// NewDelta returns the delta from one text to another, or nil when it would be
// too large.
func NewDelta(from, to []byte) *Delta {
	short := min(len(from), len(to))
	prefix := 0
	for prefix < short && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < short-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	middle := to[prefix : len(to)-suffix]
	if len(middle) > maxDeltaBytes {
		return nil
	}
	return &Delta{Prefix: prefix, Suffix: suffix, Middle: middle}
}

// Apply returns the text that the delta makes of from. The digest tells
// whether from was the right text.
func (d Delta) Apply(from []byte, digest string) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(from) {
		return nil, trace.BadParameter("the delta is for another text")
	}
	text := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	text = append(text, from[:d.Prefix]...)
	text = append(text, d.Middle...)
	text = append(text, from[len(from)-d.Suffix:]...)
	if Digest(text) != digest {
		return nil, fmt.Errorf("apply delta: %w", trace.BadParameter("the digest is another"))
	}
	return text, nil
}
