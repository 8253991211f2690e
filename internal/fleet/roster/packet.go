package roster

import (
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/goccy/go-json"
)

const (
	// maxBeats bounds the members named in one datagram.
	maxBeats = 24
	// maxRecords bounds the whole records in one datagram.
	maxRecords = 3
)

// beat names a member and the version of its record.
type beat struct {
	ID     string        `json:"i"`
	Beat   uint64        `json:"b"`
	Status member.Status `json:"s,omitempty"`
}

// packet is one datagram between nodes.
type packet struct {
	From string `json:"from"`
	// Sent is the sender's clock, in nanoseconds, for an answer to echo.
	Sent int64 `json:"sent,omitempty"`
	// Echo is the Sent of the datagram that this one answers.
	Echo int64 `json:"echo,omitempty"`
	// Version is the configuration in force, and Age how long ago it was
	// proved to be the newest, in milliseconds.
	Version uint64 `json:"cfg,omitempty"`
	Age     int64  `json:"age,omitempty"`
	// Text is where the configuration can be had, IP:port; empty for receivers
	// that have the sender's record.
	Text string `json:"text,omitempty"`
	// Digest is that of the sender's members; zero if it doesn't say.
	Digest uint64 `json:"sum,omitempty"`
	// Beats name members of the sender; they are told to a peer whose digest is
	// another.
	Beats   []beat          `json:"beats,omitempty"`
	Records []member.Record `json:"recs,omitempty"`
	Want    []string        `json:"want,omitempty"`
	// Topic and Body are a message of another service.
	Topic string          `json:"topic,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
	// Notes are what services add to every exchange.
	Notes map[string]json.RawMessage `json:"notes,omitempty"`
}
