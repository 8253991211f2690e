// Package gossip replicates records among the nodes of the fleet. Changes are
// broadcast to a few random peers at once, and anti-entropy repairs what the
// broadcasts missed: peers periodically compare checksums of all records.
// The package also detects failed peers by direct and indirect probes.
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

const (
	// buckets is the number of hash buckets in which records are compared.
	buckets = 256
	// checksumSize is the size of the checksum of one bucket, in bytes.
	checksumSize = 4
)

// Message is the gossip between two nodes, in requests and in answers.
type Message struct {
	From         member.Record   `json:"from,omitzero"`
	Members      []member.Record `json:"members,omitempty"`
	Claims       []claim.Record  `json:"claims,omitempty"`
	Fingerprints []poison.Record `json:"prints,omitempty"`
	// Head is the newest configuration version in force at the sender.
	Head *active.Head `json:"head,omitempty"`
	// Checksums of the sender's records, checksumSize bytes per bucket.
	Checksums []byte `json:"sums,omitempty"`
	// Want lists the buckets whose checksums differ; the sender requests their
	// records.
	Want []int `json:"want,omitempty"`
}

// Empty reports whether the message has neither records nor a configuration head.
func (m Message) Empty() bool {
	return len(m.Members) == 0 && len(m.Claims) == 0 && len(m.Fingerprints) == 0 && m.Head == nil
}

// WithRecords returns m with the records of other added, and the newer of both
// configuration heads.
func (m Message) WithRecords(other Message) Message {
	m.Members = append(append([]member.Record(nil), m.Members...), other.Members...)
	m.Claims = append(append([]claim.Record(nil), m.Claims...), other.Claims...)
	m.Fingerprints = append(append([]poison.Record(nil), m.Fingerprints...), other.Fingerprints...)
	if m.Head == nil || (other.Head != nil && other.Head.Version > m.Head.Version) {
		m.Head = other.Head
	}
	return m
}

// Topic is one kind of record that a service replicates by gossip.
type Topic interface {
	// Merge applies the records of a message and returns those that were new,
	// to be broadcast.
	Merge(now time.Time, m Message) Message
	// Each calls visit with the key and the hash of every record.
	Each(visit func(key string, hash uint64))
	// Gather returns the records whose key matches.
	Gather(now time.Time, match func(key string) bool) Message
}

func bucketOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % buckets)
}

// checksums returns the checksum of each bucket over the records of all topics.
// XOR makes it independent of their order.
func checksums(topics []Topic) []byte {
	var sums [buckets]uint64
	for _, t := range topics {
		t.Each(func(key string, hash uint64) { sums[bucketOf(key)] ^= hash })
	}
	encoded := make([]byte, 0, buckets*checksumSize)
	for _, sum := range sums {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(sum^sum>>32))
	}
	return encoded
}

// differingBuckets lists the buckets whose checksums differ between a and b.
func differingBuckets(a, b []byte) []int {
	var list []int
	for i := range buckets {
		from, to := i*checksumSize, (i+1)*checksumSize
		if !bytes.Equal(a[from:to], b[from:to]) {
			list = append(list, i)
		}
	}
	return list
}

// gather returns the records of all topics in the listed buckets.
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
