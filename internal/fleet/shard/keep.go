package shard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

const (
	// keepEvery is the time between looks at all parts.
	keepEvery = 500 * time.Millisecond
	// candidates is the number of nodes that may claim a part.
	candidates = 2
	// firstLook is when a node looks at the parts for the first time.
	firstLook = 50 * time.Millisecond
)

// sighting is a claim that a challenger watches at the platform.
type sighting struct {
	version uint64
	since   time.Time
}

// firstSight is when this node first heard of a holder.
type firstSight struct {
	epoch uint64
	at    time.Time
}

// keep renews the parts that this node holds and claims those without a
// holder, as far as this node is a candidate for them.
func (s *Service) keep(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var backoff object.Backoff
	var resume time.Time
	timer := time.NewTimer(firstLook)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			timer.Reset(s.untilLook())
			if now.Before(resume) {
				continue
			}
			if err := s.keepAll(ctx, now); err != nil {
				backoff = backoff.WithFailure()
				resume = now.Add(backoff.Wait(random))
				s.log.Debug("keep parts: ", err)
				continue
			}
			backoff = backoff.WithSuccess()
		}
	}
}

// untilLook is short until there is a configuration to look at.
func (s *Service) untilLook() time.Duration {
	if s.config.Get() == nil {
		return firstLook
	}
	return keepEvery
}

func (s *Service) keepAll(ctx context.Context, now time.Time) error {
	c := s.config.Get()
	if c == nil || s.hasStopped() {
		return nil
	}
	s.dropUnknown(c.Index)
	var errs []error
	for i := range c.Index.Manifest().Organisations {
		org := &c.Index.Manifest().Organisations[i]
		for n := range org.Parts {
			id := claim.Part{Organisation: org.Name, Number: n}
			if err := s.keepOne(ctx, now, id, org); err != nil {
				errs = append(errs, err)
			}
		}
	}
	return errors.Join(errs...)
}

func (s *Service) hasStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// dropUnknown forgets parts of organisations that are no longer declared.
func (s *Service) dropUnknown(index *manifest.Index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.holds {
		if org := index.ByName(id.Organisation); org == nil || id.Number >= org.Parts {
			delete(s.holds, id)
		}
	}
	for name := range s.purses {
		if index.ByName(name) == nil && s.purses[name].waiting == 0 {
			delete(s.purses, name)
		}
	}
}

// candidate reports whether this node is among those that may claim a part:
// the ones with the greatest hash of part and node that seem to run.
func (s *Service) candidate(id claim.Part, self string) bool {
	name := id.String()
	own := xxhash.Sum64String(name + self)
	before := 0
	s.gossip.WithTable(func(t *member.Table) {
		t.Each(func(r *member.Record) {
			if r.Status == member.Alive && !r.Leaving && xxhash.Sum64String(name+r.ID) > own {
				before++
			}
		})
	})
	return before < candidates
}

func (s *Service) keepOne(ctx context.Context, now time.Time, id claim.Part, org *manifest.Organisation) error {
	s.mu.Lock()
	h, holds := s.holds[id]
	known, isKnown := s.known[id]
	s.mu.Unlock()
	if holds {
		return s.keepHeld(ctx, now, id, h)
	}
	self := s.gossip.Self().ID
	if isKnown && known.Holder != self && s.runs(known.Holder) {
		s.mu.Lock()
		delete(s.seen, id)
		s.mu.Unlock()
		return nil
	}
	if !s.candidate(id, self) {
		return nil
	}
	return s.challenge(ctx, now, id, org)
}

// runs reports whether a node seems to run and not to leave.
func (s *Service) runs(id string) bool {
	alive := false
	s.gossip.WithTable(func(t *member.Table) {
		r, ok := t.Get(id)
		alive = ok && r.Status == member.Alive && !r.Leaving
	})
	return alive
}

// keepHeld renews a claim in time, and makes it whole once the former holder
// has provably stopped.
func (s *Service) keepHeld(ctx context.Context, now time.Time, id claim.Part, h *held) error {
	s.mu.Lock()
	if !h.full && s.provenGone(h.former) {
		h.becomeSole(now)
	}
	due := now.Sub(h.renewed) >= renewEvery
	record, version := h.record, h.version
	if due {
		h.renewed = now
	}
	s.mu.Unlock()
	if !due {
		return nil
	}
	value, err := lease{Record: record}.encode()
	if err != nil {
		return err
	}
	began := time.Now()
	next, err := s.store.Put(ctx, prefix+id.String(), value, version)
	switch {
	case trace.IsCompareFailed(err):
		return s.settle(ctx, id, h, began)
	case err != nil:
		s.mu.Lock()
		h.renewed = time.Time{}
		s.mu.Unlock()
		return fmt.Errorf("renew part %s: %w", id, err)
	}
	s.mu.Lock()
	h.version, h.leased = next, began
	s.mu.Unlock()
	return nil
}

// settle reads a part's object after a renewal failed on its version: either
// the answer of an earlier renewal was lost, or another node holds the part.
func (s *Service) settle(ctx context.Context, id claim.Part, h *held, began time.Time) error {
	o, err := s.store.Get(ctx, prefix+id.String())
	if err != nil {
		return fmt.Errorf("read part %s: %w", id, err)
	}
	l, err := decodeLease(o.Value)
	if err != nil {
		return fmt.Errorf("part %s: %w", id, err)
	}
	s.mu.Lock()
	if l.Holder == h.record.Holder && l.Epoch == h.record.Epoch {
		h.version, h.renewed = o.Version, time.Time{}
		s.mu.Unlock()
		return nil
	}
	delete(s.holds, id)
	r := l.Record
	r.Yielded = true
	s.known[id] = r
	s.mu.Unlock()
	s.log.WithField("part", id).WithField("since", began).Warn("another node holds the part")
	s.gossip.Broadcast(gossip.Message{Claims: []claim.Record{r}})
	return nil
}

// challenge claims a part whose holder is missing, released, gone or lapsed.
func (s *Service) challenge(ctx context.Context, now time.Time, id claim.Part, org *manifest.Organisation) error {
	o, err := s.store.Get(ctx, prefix+id.String())
	if trace.IsNotFound(err) {
		return s.claim(ctx, id, org, lease{}, 0)
	}
	if err != nil {
		return fmt.Errorf("read part %s: %w", id, err)
	}
	l, err := decodeLease(o.Value)
	if err != nil {
		return fmt.Errorf("part %s: %w", id, err)
	}
	s.heard(l)
	if !s.settled(now, l) {
		return nil
	}
	switch {
	case l.Released, s.provenGone(l.Holder), s.sameAddress(l):
		return s.claim(ctx, id, org, l, o.Version)
	case s.lapsed(now, id, o.Version):
		return s.claim(ctx, id, org, l, o.Version)
	}
	return nil
}

// settled reports whether this node has known of the holder for the life of a
// token. Sooner, what the holders before it granted may still be spent too.
func (s *Service) settled(now time.Time, l lease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.since[l.Part]
	if !ok || first.epoch != l.Epoch {
		s.since[l.Part] = firstSight{l.Epoch, now}
		return false
	}
	return now.Sub(first.at) >= bucket.TokenLife
}

// heard takes a holder's name from the platform when gossip has not brought it.
func (s *Service) heard(l lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.known[l.Part]; !ok || l.Record.Outranks(known) {
		s.known[l.Part] = l.Record
	}
}

// sameAddress reports whether this node runs where the holder ran, or is the
// holder and has stopped granting.
func (s *Service) sameAddress(l lease) bool {
	return l.Address == s.gossip.Self().Address
}

// lapsed reports whether the object stood unchanged for longer than a lease.
func (s *Service) lapsed(now time.Time, id claim.Part, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.seen[id]
	if !ok || seen.version != version {
		s.seen[id] = sighting{version: version, since: now}
		return false
	}
	return now.Sub(seen.since) >= lapseTime
}

// claim writes this node into the part's object, on top of the lease read.
func (s *Service) claim(ctx context.Context, id claim.Part, org *manifest.Organisation, former lease, version uint64) error {
	self := s.gossip.Self()
	record := claim.Record{Part: id, Epoch: former.Epoch + 1, Holder: self.ID, Address: self.Address}
	value, err := lease{Record: record}.encode()
	if err != nil {
		return err
	}
	began := time.Now()
	next, err := s.store.Put(ctx, prefix+id.String(), value, version)
	if errors.Is(err, object.ErrUncertain) {
		next, err = s.wrote(ctx, id, record)
	}
	switch {
	case trace.IsCompareFailed(err):
		return nil
	case err != nil:
		return fmt.Errorf("claim part %s: %w", id, err)
	}
	h := &held{record: record, version: next, leased: began, renewed: began, former: former.Holder}
	h.full = version == 0 || former.Released || s.provenGone(former.Holder) || s.sameAddress(former)
	h.bucket = firstBucket(began, termsOf(org), former, version, h.claimAt(began))
	first := h.bucket.Claim()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return s.release(ctx, id, h)
	}
	s.holds[id], s.known[id] = h, record
	delete(s.seen, id)
	s.mu.Unlock()
	s.log.WithField("part", id).WithField("epoch", record.Epoch).WithField("claim", first).Info("holding part")
	s.gossip.Broadcast(gossip.Message{Claims: []claim.Record{record}})
	return nil
}

// wrote looks whether a write whose answer was lost took effect.
func (s *Service) wrote(ctx context.Context, id claim.Part, record claim.Record) (uint64, error) {
	o, err := s.store.Get(ctx, prefix+id.String())
	if err != nil {
		return 0, fmt.Errorf("read back part %s: %w", id, err)
	}
	l, err := decodeLease(o.Value)
	if err != nil {
		return 0, fmt.Errorf("part %s: %w", id, err)
	}
	if l.Record != record {
		return 0, trace.CompareFailed("another node came first")
	}
	return o.Version, nil
}

// firstBucket is full for a part that never had a holder, and otherwise starts
// empty.
func firstBucket(now time.Time, terms bucket.Limits, former lease, version uint64, c bucket.Claim) *bucket.Bucket {
	if version == 0 {
		return bucket.NewFull(now, terms)
	}
	p := bucket.New(now, terms, c)
	if former.Released {
		p.AddLevel(now, former.Level)
	}
	return p
}

// provenGone reports whether an incarnation runs no more, on positive evidence.
func (s *Service) provenGone(id string) bool {
	gone := false
	s.gossip.WithTable(func(t *member.Table) {
		r, ok := t.Get(id)
		gone = ok && r.Confirmed
	})
	return gone
}
