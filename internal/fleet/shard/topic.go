package shard

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
)

// topic shares the claims of holders.
type topic Service

// Merge implements gossip.Topic.
func (t *topic) Merge(now time.Time, m gossip.Message) gossip.Message {
	s := (*Service)(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh gossip.Message
	for _, r := range m.Claims {
		if known, ok := s.known[r.Part]; ok && !r.Outranks(known) {
			continue
		}
		s.known[r.Part] = r
		if s.since[r.Part].epoch != r.Epoch {
			s.since[r.Part] = firstSight{r.Epoch, now}
		}
		fresh.Claims = append(fresh.Claims, r)
		if yielded, ok := s.heardClaim(now, r); ok {
			s.known[r.Part] = yielded
			fresh.Claims = append(fresh.Claims, yielded)
		}
	}
	return fresh
}

// heardClaim stops granting when another node holds the part by now, and says
// so; and takes the whole part when the former holder has said that it stopped.
func (s *Service) heardClaim(now time.Time, r claim.Record) (claim.Record, bool) {
	h, ok := s.holds[r.Part]
	if !ok {
		return r, false
	}
	if r.Holder == h.record.Holder {
		if r.Yielded && r.Epoch == h.record.Epoch && !h.full {
			h.becomeSole(now)
		}
		return r, false
	}
	if r.Epoch <= h.record.Epoch {
		return r, false
	}
	delete(s.holds, r.Part)
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
