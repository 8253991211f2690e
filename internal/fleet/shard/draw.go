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

// Take spends one token of an organisation, waiting a short time for one. It
// returns failure.RateExceeded when the holders have none, and
// failure.NotReady when no holder answers for longer.
func (s *Service) Take(ctx context.Context, organisation string) *failure.Refusal {
	began := time.Now()
	// dry is when a holder first answered this request that it has no token.
	var dry time.Time
	for first := true; ; first = false {
		filled, ok := s.tryTake(organisation, first)
		if ok {
			return nil
		}
		s.await(ctx, filled, began)
		s.unwait(organisation)
		if at := s.lastDry(organisation); dry.IsZero() && at.After(began) {
			dry = at
		}
		switch {
		case !dry.IsZero() && (time.Since(dry) >= patience || ctx.Err() != nil):
			return failure.New(failure.RateExceeded, "the organisation is over its rate").WithAfter(time.Second)
		case time.Since(began) >= orphanPatience || ctx.Err() != nil:
			return failure.New(failure.NotReady, "no holder of the organisation's rate answers").WithAfter(time.Second)
		}
	}
}

// await waits for tokens, for a part of the patience at a time.
func (s *Service) await(ctx context.Context, filled <-chan struct{}, began time.Time) {
	left := patience - time.Since(began)
	if left <= 0 {
		left = drawEvery
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-filled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lastDry is when a holder last said that it has no token.
func (s *Service) lastDry(organisation string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.purses[organisation]; ok {
		return p.dryAt
	}
	return time.Time{}
}

// tryTake spends a token, or registers as waiting and returns what is closed
// when tokens came.
func (s *Service) tryTake(organisation string, first bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.purses[organisation]
	if !ok {
		p = &purse{Purse: bucket.NewPurse(), filled: make(chan struct{})}
		s.purses[organisation] = p
	}
	now := time.Now()
	if first {
		p.Count(now)
	}
	if p.Spend(now) {
		if p.Want(now, 0) > 0 {
			s.wake.Push(organisation)
		}
		return nil, true
	}
	p.waiting++
	s.wake.Push(organisation)
	return p.filled, false
}

func (s *Service) unwait(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purses[organisation].waiting--
}

// draw fills purses as requests need it. A holder that doesn't answer holds
// nothing up but the draws from itself.
func (s *Service) draw(ctx context.Context) error {
	for {
		names, err := s.wake.Take(ctx)
		if err != nil {
			return nil
		}
		asked := time.Now()
		for address, asks := range s.plan(asked, names) {
			go func() {
				s.drawFrom(ctx, asked, address, asks)
				s.again(ctx, address, asks)
			}()
		}
	}
}

// again lets purses that are still empty be looked at a little later.
func (s *Service) again(ctx context.Context, address string, asks []partAsk) {
	s.mu.Lock()
	delete(s.asking, address)
	var hungry []string
	for _, a := range asks {
		name := a.Part.Organisation
		if p, ok := s.purses[name]; ok && p.waiting > 0 && !slices.Contains(hungry, name) {
			hungry = append(hungry, name)
		}
	}
	s.mu.Unlock()
	if len(hungry) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(drawEvery):
	}
	for _, name := range hungry {
		s.wake.Push(name)
	}
}

// partAsk is a draw from one part.
type partAsk struct {
	Part  claim.Part `json:"part"`
	Epoch uint64     `json:"epoch"`
	bucket.Request
}

// partGrant is the answer to a partAsk.
type partGrant struct {
	Part  claim.Part `json:"part"`
	Epoch uint64     `json:"epoch"`
	bucket.Grant
}

type drawRequest struct {
	Asks []partAsk `json:"asks"`
}

type drawReply struct {
	Grants []partGrant `json:"grants"`
}

// plan divides what the purses want among the holders, by their addresses.
func (s *Service) plan(now time.Time, names []string) map[string][]partAsk {
	batches := map[string][]partAsk{}
	c := s.config.Get()
	if c == nil {
		return batches
	}
	self := s.gossip.Self().ID
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := map[string]bool{}
	for _, name := range names {
		org := c.Index.ByName(name)
		if org == nil || planned[name] {
			continue
		}
		planned[name] = true
		p := s.purses[name]
		want := p.Want(now, p.waiting)
		if want == 0 {
			continue
		}
		s.planOne(batches, org, p, want, self)
	}
	for address := range batches {
		s.asking[address] = true
	}
	return batches
}

func (s *Service) planOne(batches map[string][]partAsk, org *manifest.Organisation, p *purse, want int, self string) {
	each := (want + org.Parts - 1) / org.Parts
	for n := range org.Parts {
		id := claim.Part{Organisation: org.Name, Number: n}
		holder, ok := s.known[id]
		if !ok || s.asking[holder.Address] {
			continue
		}
		source := bucket.Source{Part: n, Epoch: holder.Epoch}
		ask := partAsk{Part: id, Epoch: holder.Epoch, Request: p.Ask(self, source, each)}
		batches[holder.Address] = append(batches[holder.Address], ask)
	}
}

// drawFrom asks one holder and fills the purses with what it grants.
func (s *Service) drawFrom(ctx context.Context, asked time.Time, address string, asks []partAsk) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	var answer drawReply
	if address == s.gossip.Self().Address {
		answer = s.grant(asked, asks)
	} else if err := s.client.PostJSON(ctx, address, drawPath, drawRequest{asks}, &answer); err != nil {
		s.log.WithField("peer", address).Debug("draw failed: ", err)
		s.gossip.ReportError(address, err)
		return
	}
	s.fill(asked, answer.Grants)
}

func (s *Service) fill(asked time.Time, grants []partGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, g := range grants {
		p, ok := s.purses[g.Part.Organisation]
		if !ok {
			continue
		}
		if g.Tokens == 0 {
			p.Dry(now)
			p.dryAt = now
			continue
		}
		p.Add(asked, bucket.Source{Part: g.Part.Number, Epoch: g.Epoch}, g.Grant)
		close(p.filled)
		p.filled = make(chan struct{})
	}
}
