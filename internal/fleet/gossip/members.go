package gossip

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/member"
)

// memberTopic gossips the member table.
type memberTopic Service

// Merge implements Topic.
func (t *memberTopic) Merge(now time.Time, m Message) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh Message
	for _, r := range m.Members {
		if changed, ok := t.table.Learn(now, r); ok {
			fresh.Members = append(fresh.Members, changed)
		}
	}
	return fresh
}

// Each implements Topic.
func (t *memberTopic) Each(visit func(key string, hash uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Each(func(r *member.Record) { visit(r.ID, r.Hash()) })
}

// Gather implements Topic.
func (t *memberTopic) Gather(_ time.Time, match func(key string) bool) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m Message
	t.table.Each(func(r *member.Record) {
		if match(r.ID) {
			m.Members = append(m.Members, *r)
		}
	})
	return m
}
