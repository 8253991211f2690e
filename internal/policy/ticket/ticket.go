// Package ticket makes non-idempotent requests run at most once.
//
// A caller draws a ticket before its request. The ticket names its home: one
// incarnation of one node, which alone may run the request. The home's memory
// is a bitmap per issue period and the answers it keeps for repeats. When the
// home is gone, the outcome is unknown; nobody else runs the request.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// version is the first byte of each ticket.
const version = 1

// Sizes of the parts of a ticket, in bytes.
const (
	idSize   = 16
	macSize  = 16
	bodySize = 1 + idSize + 4 + 4
)

// Ticket is the right to run one request once.
type Ticket struct {
	// Home is the incarnation that issued it.
	Home uuid.UUID
	// Period is the issue period, Serial the number within it.
	Period uint32
	Serial uint32

	mac [macSize]byte
}

// Seal returns the ticket bound to an organisation by the home's secret.
func (t Ticket) Seal(secret []byte, organisation string) Ticket {
	copy(t.mac[:], t.sum(secret, organisation))
	return t
}

// Sealed reports whether the home's secret sealed the ticket for the
// organisation.
func (t Ticket) Sealed(secret []byte, organisation string) bool {
	return hmac.Equal(t.mac[:], t.sum(secret, organisation))
}

func (t Ticket) sum(secret []byte, organisation string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(t.body())
	h.Write([]byte(organisation))
	return h.Sum(nil)[:macSize]
}

func (t Ticket) body() []byte {
	b := make([]byte, 0, bodySize+macSize)
	b = append(b, version)
	b = append(b, t.Home[:]...)
	b = binary.BigEndian.AppendUint32(b, t.Period)
	return binary.BigEndian.AppendUint32(b, t.Serial)
}

// String is the text that callers send.
func (t Ticket) String() string {
	return base64.RawURLEncoding.EncodeToString(append(t.body(), t.mac[:]...))
}

// Parse reads the text of a ticket. It returns trace.BadParameter for anything
// that String does not make. The seal is not checked.
func Parse(text string) (Ticket, error) {
	var t Ticket
	if len(text) != base64.RawURLEncoding.EncodedLen(bodySize+macSize) {
		return t, trace.BadParameter("a ticket has another length")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, trace.BadParameter("a ticket is base64url text")
	}
	if raw[0] != version {
		return t, trace.BadParameter("unknown ticket version %d", raw[0])
	}
	copy(t.Home[:], raw[1:])
	t.Period = binary.BigEndian.Uint32(raw[1+idSize:])
	t.Serial = binary.BigEndian.Uint32(raw[1+idSize+4:])
	copy(t.mac[:], raw[bodySize:])
	return t, nil
}
