package serve

import (
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"github.com/cespare/xxhash/v2"
)

// Poison shares the fingerprints of requests that crash targets with all nodes.
type Poison struct {
	gossip *gossip.Service

	mu    sync.Mutex
	table *poison.Table
}

// NewPoison returns an empty table that is shared through gossip.
func NewPoison(g *gossip.Service) *Poison {
	p := &Poison{gossip: g, table: poison.New()}
	g.AddTopic(p)
	return p
}

// Banned reports whether requests with a fingerprint are refused.
func (p *Poison) Banned(now time.Time, fp poison.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Banned(now, fp)
}

// Suspect reports whether a request with the fingerprint was in flight when a target
// crashed.
func (p *Poison) Suspect(now time.Time, fp poison.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Suspect(now, fp)
}

// Cleared removes a suspect whose request ran without a crash.
func (p *Poison) Cleared(now time.Time, fp poison.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Cleared(now, fp)
}

// Crashed records that a target crashed while these requests were in flight.
func (p *Poison) Crashed(now time.Time, target string, inFlight []poison.Run) {
	p.mu.Lock()
	records := p.table.Crashed(now, target, inFlight)
	p.mu.Unlock()
	p.gossip.Broadcast(gossip.Message{Fingerprints: records})
}

// Merge implements gossip.Topic.
func (p *Poison) Merge(now time.Time, m gossip.Message) gossip.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh gossip.Message
	for _, r := range m.Fingerprints {
		if p.table.Merge(now, r) {
			fresh.Fingerprints = append(fresh.Fingerprints, r)
		}
	}
	return fresh
}

// Each implements gossip.Topic. It visits only bans: suspects are short-lived.
func (p *Poison) Each(visit func(key string, hash uint64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.table.Bans(time.Now()) {
		visit(string(r.Fingerprint), xxhash.Sum64String(string(r.Fingerprint)))
	}
}

// Gather implements gossip.Topic.
func (p *Poison) Gather(now time.Time, match func(key string) bool) gossip.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	var m gossip.Message
	for _, r := range p.table.Bans(now) {
		if match(string(r.Fingerprint)) {
			m.Fingerprints = append(m.Fingerprints, r)
		}
	}
	return m
}
