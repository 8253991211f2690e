// Package gossip spreads what changes among the nodes of the fleet: news goes
// to a few random peers at once, and peers compare what they hold now and then.
package gossip

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
)

// buckets divide all records for comparison, and sumSize is the size of the
// checksum of one, in bytes.
const (
	buckets = 256
	sumSize = 4
)

// Message is what one node tells another.
type Message struct {
	From         member.Record   `json:"from,omitzero"`
	Members      []member.Record `json:"members,omitempty"`
	Claims       []claim.Record  `json:"claims,omitempty"`
	Fingerprints []poison.Record `json:"prints,omitempty"`
	// Head is the newest configuration that the sender has in force.
	Head *active.Head `json:"head,omitempty"`
	// Sums are checksums of the sender's records, sumSize bytes per bucket.
	Sums []byte `json:"sums,omitempty"`
	// Want lists buckets in which the sender's records differ.
	Want []int `json:"want,omitempty"`
}

// Empty reports whether the message tells nothing new.
func (m Message) Empty() bool {
	return len(m.Members) == 0 && len(m.Claims) == 0 && len(m.Fingerprints) == 0 && m.Head == nil
}

// WithRecords returns a message with the records of both.
func (m Message) WithRecords(other Message) Message {
	m.Members = append(append([]member.Record(nil), m.Members...), other.Members...)
	m.Claims = append(append([]claim.Record(nil), m.Claims...), other.Claims...)
	m.Fingerprints = append(append([]poison.Record(nil), m.Fingerprints...), other.Fingerprints...)
	if m.Head == nil || (other.Head != nil && other.Head.Version > m.Head.Version) {
		m.Head = other.Head
	}
	return m
}

// Topic is one kind of records that a service shares through gossip.
type Topic interface {
	// Merge takes what is new in a message and returns that to be passed on.
	Merge(now time.Time, m Message) Message
	// Each calls visit with the key and the hash of every record.
	Each(visit func(key string, hash uint64))
	// Gather returns the records whose keys match.
	Gather(now time.Time, match func(key string) bool) Message
}

func bucketOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % buckets)
}

// sumsOf returns the checksums of all topics' records.
func sumsOf(topics []Topic) []byte {
	var sums [buckets]uint64
	for _, t := range topics {
		t.Each(func(key string, hash uint64) { sums[bucketOf(key)] ^= hash })
	}
	text := make([]byte, 0, buckets*sumSize)
	for _, sum := range sums {
		text = binary.BigEndian.AppendUint32(text, uint32(sum^sum>>32))
	}
	return text
}

// differing lists the buckets in which two checksums differ.
func differing(a, b []byte) []int {
	var list []int
	for i := range buckets {
		from, to := i*sumSize, (i+1)*sumSize
		if !bytes.Equal(a[from:to], b[from:to]) {
			list = append(list, i)
		}
	}
	return list
}

// gather returns all topics' records of some buckets.
func gather(now time.Time, topics []Topic, list []int) Message {
	wanted := [buckets]bool{}
	for _, b := range list {
		if b >= 0 && b < buckets {
			wanted[b] = true
		}
	}
	var m Message
	for _, t := range topics {
		m = m.WithRecords(t.Gather(now, func(key string) bool { return wanted[bucketOf(key)] }))
	}
	return m
}
