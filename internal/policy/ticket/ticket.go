// Package ticket makes non-idempotent requests run at most once.
//
// A caller draws a ticket before it sends its request. The ticket names its
// issuer, one incarnation of one node. Only the node that owns the issuer's
// registry may run the request: the issuer itself, or the node that took the
// registry over at a planned stop. The registry is kept in memory: a bitmap of
// used tickets per issue period, and the answers cached for retries. If the
// owner fails, the outcome is unknown and no other node runs the request.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// version is the first byte of an encoded ticket.
const version = 1

// Sizes of the parts of an encoded ticket, in bytes.
const (
	idSize      = 16
	macSize     = 16
	payloadSize = 1 + idSize + 4 + 4
)

// Ticket allows one request to run once.
type Ticket struct {
	// Issuer is the incarnation that issued the ticket.
	Issuer uuid.UUID
	// Period is the number of the issue period, from 0 at the issuer's start.
	Period uint32
	// Serial is the number of the ticket within its period, from 0.
	Serial uint32

	mac [macSize]byte
}

// Sign returns the ticket with a MAC that binds it to an organisation.
func (t Ticket) Sign(secret []byte, organisation string) Ticket {
	copy(t.mac[:], t.signature(secret, organisation))
	return t
}

// Verify reports whether the ticket was signed with this secret for the
// organisation.
func (t Ticket) Verify(secret []byte, organisation string) bool {
	return hmac.Equal(t.mac[:], t.signature(secret, organisation))
}

func (t Ticket) signature(secret []byte, organisation string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(t.payload())
	h.Write([]byte(organisation))
	return h.Sum(nil)[:macSize]
}

func (t Ticket) payload() []byte {
	b := make([]byte, 0, payloadSize+macSize)
	b = append(b, version)
	b = append(b, t.Issuer[:]...)
	b = binary.BigEndian.AppendUint32(b, t.Period)
	return binary.BigEndian.AppendUint32(b, t.Serial)
}

// String returns the encoded ticket, as callers send it.
func (t Ticket) String() string {
	return base64.RawURLEncoding.EncodeToString(append(t.payload(), t.mac[:]...))
}

// Parse decodes a ticket. It returns trace.BadParameter for any text that String
// does not return. It does not check the MAC.
func Parse(text string) (Ticket, error) {
	var t Ticket
	if len(text) != base64.RawURLEncoding.EncodedLen(payloadSize+macSize) {
		return t, trace.BadParameter("ticket has the wrong length")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, trace.BadParameter("ticket is not valid base64url")
	}
	if raw[0] != version {
		return t, trace.BadParameter("unknown ticket version %d", raw[0])
	}
	copy(t.Issuer[:], raw[1:])
	t.Period = binary.BigEndian.Uint32(raw[1+idSize:])
	t.Serial = binary.BigEndian.Uint32(raw[1+idSize+4:])
	copy(t.mac[:], raw[payloadSize:])
	return t, nil
}
