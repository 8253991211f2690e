// Package active keeps the active configuration of a node up to date.
//
// The platform holds a small head object with the current version, and one
// object per version with the full text. A node applies a new version from the
// platform or from a peer, whichever comes first. Versions never decrease.
package active

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// HeadKey is the key of the head object on the platform.
const HeadKey = "config/head"

// TextKey returns the key of the object with the full text of one ship, that is,
// of one deployment of a configuration.
func TextKey(ship string) string { return "config/text/" + ship }

// maxDeltaBytes is the maximum size of the replacement text in a delta. Larger
// changes are sent as full text.
const maxDeltaBytes = 16 << 10

// Head is the metadata of one version of the configuration.
type Head struct {
	// Version increases by one with each ship.
	Version uint64 `json:"version"`
	// ShipID is unique for each ship. If the response to its write is lost, the
	// client finds out by the ID whether the write succeeded.
	ShipID string    `json:"ship,omitempty"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at,omitzero"`
	// Digest is the SHA-256 of the text, in hex.
	Digest string `json:"digest,omitempty"`
	// Delta is the change from the text of the previous version, nil if it is
	// over maxDeltaBytes.
	Delta *Delta `json:"delta,omitempty"`
}

// Digest returns the SHA-256 of a text, in hex.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// DecodeHead decodes the value of the head object. It returns trace.BadParameter
// if the value is not valid.
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

// Delta replaces the middle of a text. It keeps a prefix and a suffix.
type Delta struct {
	// Prefix and Suffix are the lengths of the kept parts, in bytes.
	Prefix int    `json:"prefix"`
	Suffix int    `json:"suffix"`
	Middle []byte `json:"middle"`
}

// NewDelta returns the delta from one text to another, or nil if it is over
// maxDeltaBytes.
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

// Apply applies the delta to the base text from. It returns an error if the
// result does not have the given digest, which means that from is not the base
// of this delta.
func (d Delta) Apply(from []byte, digest string) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(from) {
		return nil, trace.BadParameter("delta does not match the length of the base text")
	}
	text := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	text = append(text, from[:d.Prefix]...)
	text = append(text, d.Middle...)
	text = append(text, from[len(from)-d.Suffix:]...)
	if Digest(text) != digest {
		return nil, fmt.Errorf("apply delta: %w", trace.BadParameter("digest mismatch"))
	}
	return text, nil
}
