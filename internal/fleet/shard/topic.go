package shard

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
)

// topic gossips the claims of holders.
type topic Service

// Merge implements gossip.Topic.
func (t *topic) Merge(now time.Time, m gossip.Message) gossip.Message {
	s := (*Service)(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh gossip.Message
	for _, r := range m.Claims {
		if known, ok := s.known[r.Shard]; ok && !r.Supersedes(known) {
			continue
		}
		s.known[r.Shard] = r
		if s.epochs[r.Shard].epoch != r.Epoch {
			s.epochs[r.Shard] = epochSeen{r.Epoch, now}
		}
		fresh.Claims = append(fresh.Claims, r)
		if yielded, ok := s.handleClaim(now, r); ok {
			s.known[r.Shard] = yielded
			fresh.Claims = append(fresh.Claims, yielded)
		}
	}
	return fresh
}

// handleClaim stops granting a shard that another node holds by now, and returns a
// record that confirms it. It makes this node's lease exclusive once the former
// holder has confirmed that it stopped.
func (s *Service) handleClaim(now time.Time, r claim.Record) (claim.Record, bool) {
	h, ok := s.held[r.Shard]
	if !ok {
		return r, false
	}
	if r.Holder == h.record.Holder {
		if r.Yielded && r.Epoch == h.record.Epoch && !h.exclusive {
			h.becomeExclusive(now)
		}
		return r, false
	}
	if r.Epoch <= h.record.Epoch {
		return r, false
	}
	delete(s.held, r.Shard)
	r.Yielded = true
	return r, true
}

// Each implements gossip.Topic.
func (t *topic) Each(visit func(key string, hash uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.known {
		visit(id.String(), r.Hash())
	}
}

// Gather implements gossip.Topic.
func (t *topic) Gather(_ time.Time, match func(key string) bool) gossip.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m gossip.Message
	for id, r := range t.known {
		if match(id.String()) {
			m.Claims = append(m.Claims, r)
		}
	}
	return m
}
