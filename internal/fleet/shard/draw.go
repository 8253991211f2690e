package shard

import (
	"context"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
)

// Take spends one token of an organisation, waiting a short time if there is none.
// It returns failure.RateExceeded if the holders have no token within
// tokenTimeout, and failure.NotReady if no holder answers within noHolderTimeout.
func (s *Service) Take(ctx context.Context, organisation string) *failure.Refusal {
	began := time.Now()
	// exhausted is when a holder first had no token since the request began.
	var exhausted time.Time
	for first := true; ; first = false {
		filled, ok := s.tryTake(organisation, first)
		if ok {
			return nil
		}
		s.waitForRefill(ctx, filled, began)
		s.stopWaiting(organisation)
		if at := s.lastExhausted(organisation); exhausted.IsZero() && at.After(began) {
			exhausted = at
		}
		switch {
		case !exhausted.IsZero() && (time.Since(exhausted) >= tokenTimeout || ctx.Err() != nil):
			return failure.New(failure.RateExceeded, "the organisation is over its rate limit").WithRetryAfter(time.Second)
		case time.Since(began) >= noHolderTimeout || ctx.Err() != nil:
			return failure.New(failure.NotReady, "no holder of the organisation's rate limit answers").WithRetryAfter(time.Second)
		}
	}
}

// waitForRefill waits for new tokens, until tokenTimeout or, after that, for one
// drawInterval.
func (s *Service) waitForRefill(ctx context.Context, filled <-chan struct{}, began time.Time) {
	left := tokenTimeout - time.Since(began)
	if left <= 0 {
		left = drawInterval
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-filled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lastExhausted is when a holder last had no token.
func (s *Service) lastExhausted(organisation string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.caches[organisation]; ok {
		return p.exhaustedAt
	}
	return time.Time{}
}

// tryTake spends a token. Without one, it counts the request as waiting and returns
// a channel that is closed when tokens arrive.
func (s *Service) tryTake(organisation string, first bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.caches[organisation]
	if !ok {
		p = &cache{Cache: bucket.NewCache(), refilled: make(chan struct{})}
		s.caches[organisation] = p
	}
	now := time.Now()
	if first {
		p.CountDemand(now)
	}
	if p.Spend(now) {
		if p.Deficit(now, 0) > 0 {
			s.drawQueue.Push(organisation)
		}
		return nil, true
	}
	p.waiting++
	s.drawQueue.Push(organisation)
	return p.refilled, false
}

func (s *Service) stopWaiting(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caches[organisation].waiting--
}

// runDraws draws tokens for queued organisations. A holder that does not answer
// delays only the draws from itself.
func (s *Service) runDraws(ctx context.Context) error {
	for {
		names, err := s.drawQueue.Take(ctx)
		if err != nil {
			return nil
		}
		asked := time.Now()
		for address, requests := range s.planDraws(asked, names) {
			go func() {
				s.drawFrom(ctx, asked, address, requests)
				s.redrawWaiting(ctx, address, requests)
			}()
		}
	}
}

// redrawWaiting queues organisations that still have waiting requests again, after
// drawInterval.
func (s *Service) redrawWaiting(ctx context.Context, address string, requests []shardRequest) {
	s.mu.Lock()
	delete(s.drawing, address)
	var pending []string
	for _, a := range requests {
		name := a.Shard.Organisation
		if p, ok := s.caches[name]; ok && p.waiting > 0 && !slices.Contains(pending, name) {
			pending = append(pending, name)
		}
	}
	s.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(drawInterval):
	}
	for _, name := range pending {
		s.drawQueue.Push(name)
	}
}

// shardRequest asks for tokens of one shard.
type shardRequest struct {
	Shard claim.Shard `json:"part"`
	Epoch uint64      `json:"epoch"`
	bucket.Request
}

// shardGrant answers a shardRequest.
type shardGrant struct {
	Shard claim.Shard `json:"part"`
	Epoch uint64      `json:"epoch"`
	bucket.Grant
}

type drawRequest struct {
	Requests []shardRequest `json:"asks"`
}

type drawReply struct {
	Grants []shardGrant `json:"grants"`
}

// planDraws divides the caches' deficits among the holders, by their addresses.
func (s *Service) planDraws(now time.Time, names []string) map[string][]shardRequest {
	batches := map[string][]shardRequest{}
	c := s.config.Get()
	if c == nil {
		return batches
	}
	self := s.gossip.Self().ID
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := map[string]bool{}
	for _, name := range names {
		org := c.Index.OrganisationByName(name)
		if org == nil || planned[name] {
			continue
		}
		planned[name] = true
		p := s.caches[name]
		want := p.Deficit(now, p.waiting)
		if want == 0 {
			continue
		}
		s.planDraw(batches, org, p, want, self)
	}
	for address := range batches {
		s.drawing[address] = true
	}
	return batches
}

func (s *Service) planDraw(batches map[string][]shardRequest, org *manifest.Organisation, p *cache, want int, self string) {
	perShard := (want + org.Parts - 1) / org.Parts
	for n := range org.Parts {
		id := claim.Shard{Organisation: org.Name, Number: n}
		holder, ok := s.known[id]
		if !ok || s.drawing[holder.Address] {
			continue
		}
		source := bucket.Source{Shard: n, Epoch: holder.Epoch}
		request := shardRequest{Shard: id, Epoch: holder.Epoch, Request: p.Request(self, source, perShard)}
		batches[holder.Address] = append(batches[holder.Address], request)
	}
}

// drawFrom sends requests to one holder and stores the tokens it grants.
func (s *Service) drawFrom(ctx context.Context, asked time.Time, address string, requests []shardRequest) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	var answer drawReply
	if address == s.gossip.Self().Address {
		answer = s.grant(asked, requests)
	} else if err := s.client.PostJSON(ctx, address, drawPath, drawRequest{requests}, &answer); err != nil {
		s.log.WithField("peer", address).Debug("drawing tokens from holder failed: ", err)
		s.gossip.ReportError(address, err)
		return
	}
	s.receive(asked, answer.Grants)
}

func (s *Service) receive(asked time.Time, grants []shardGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, g := range grants {
		p, ok := s.caches[g.Shard.Organisation]
		if !ok {
			continue
		}
		if g.Tokens == 0 {
			p.MarkExhausted(now)
			p.exhaustedAt = now
			continue
		}
		p.Add(asked, bucket.Source{Shard: g.Shard.Number, Epoch: g.Epoch}, g.Grant)
		close(p.refilled)
		p.refilled = make(chan struct{})
	}
}
