package roster

import (
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/goccy/go-json"
)

const (
	// maxVersions limits the members listed in one packet, in addition to the
	// sender.
	maxVersions = 24
	// maxRecords limits the records in one packet.
	maxRecords = 3
)

// recordVersion is the version of a member's record.
type recordVersion struct {
	ID      string        `json:"i"`
	Version uint64        `json:"b"`
	Status  member.Status `json:"s,omitempty"`
}

// packet is one datagram between nodes, encoded as JSON.
type packet struct {
	From string `json:"from"`
	// Sent is the sender's clock in Unix nanoseconds, set when it expects
	// an answer, which echoes it.
	Sent int64 `json:"sent,omitempty"`
	// Echo is the Sent of the probe that this packet answers.
	Echo int64 `json:"echo,omitempty"`
	// Informed is set in answers of a process that has run long enough to have heard of
	// all that the fleet knew before.
	Informed bool `json:"told,omitempty"`
	// Version is that of the configuration in force at the sender. Age is the
	// time since it was confirmed to be the newest, in milliseconds.
	Version uint64 `json:"cfg,omitempty"`
	Age     int64  `json:"age,omitempty"`
	// Era is that of the store, if the sender knows it.
	Era *uint64 `json:"era,omitempty"`
	// ConfigAddress is the IP:port where the text of the configuration can be
	// read; empty for receivers that have the sender's record.
	ConfigAddress string `json:"text,omitempty"`
	// Digest is that of the sender's table; zero if it is not sent.
	Digest uint64 `json:"sum,omitempty"`
	// Versions lists members of the sender, for a peer whose digest differs.
	// Want lists the IDs of members whose records are requested.
	Versions []recordVersion `json:"beats,omitempty"`
	Records  []member.Record `json:"recs,omitempty"`
	Want     []string        `json:"want,omitempty"`
	// Topic and Body are a message of another service.
	Topic string          `json:"topic,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
	// Notes is the data that topics add to every probe and answer.
	Notes map[string]json.RawMessage `json:"notes,omitempty"`
}
