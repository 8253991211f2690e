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
	// maintainInterval is the time between checks of all shards.
	maintainInterval = 500 * time.Millisecond
	// maxCandidates is the number of nodes that may take over a shard.
	maxCandidates = 2
	// startupInterval is the time between checks until there is a configuration.
	startupInterval = 50 * time.Millisecond
)

// observation is the version of a lease object, and since when it is unchanged.
type observation struct {
	version uint64
	since   time.Time
}

// epochSeen is when this node first learned of a holder's epoch.
type epochSeen struct {
	epoch uint64
	at    time.Time
}

// maintain renews the leases that this node holds and takes over shards without a
// holder if this node is a candidate for them.
func (s *Service) maintain(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var backoff object.Backoff
	var resume time.Time
	timer := time.NewTimer(startupInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			timer.Reset(s.nextInterval())
			if now.Before(resume) {
				continue
			}
			if err := s.maintainAll(ctx, now); err != nil {
				backoff = backoff.WithFailure()
				resume = now.Add(backoff.Wait(random))
				s.log.Debug("maintaining shard leases failed: ", err)
				continue
			}
			backoff = backoff.WithSuccess()
		}
	}
}

// nextInterval is startupInterval until there is a configuration.
func (s *Service) nextInterval() time.Duration {
	if s.config.Get() == nil {
		return startupInterval
	}
	return maintainInterval
}

func (s *Service) maintainAll(ctx context.Context, now time.Time) error {
	c := s.config.Get()
	if c == nil || s.hasStopped() {
		return nil
	}
	s.dropUndeclared(c.Index)
	var errs []error
	for i := range c.Index.Manifest().Organisations {
		org := &c.Index.Manifest().Organisations[i]
		for n := range org.Parts {
			id := claim.Shard{Organisation: org.Name, Number: n}
			if err := s.maintainOne(ctx, now, id, org); err != nil {
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

// dropUndeclared removes shards and caches of organisations that are no longer
// declared.
func (s *Service) dropUndeclared(index *manifest.Index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.held {
		if org := index.OrganisationByName(id.Organisation); org == nil || id.Number >= org.Parts {
			delete(s.held, id)
		}
	}
	for name := range s.caches {
		if index.OrganisationByName(name) == nil && s.caches[name].waiting == 0 {
			delete(s.caches, name)
		}
	}
}

// isCandidate reports whether this node may take over a shard. Candidates are the
// live nodes with the greatest hashes of shard and node (rendezvous hashing).
func (s *Service) isCandidate(id claim.Shard, self string) bool {
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
	return before < maxCandidates
}

func (s *Service) maintainOne(ctx context.Context, now time.Time, id claim.Shard, org *manifest.Organisation) error {
	s.mu.Lock()
	h, held := s.held[id]
	known, isKnown := s.known[id]
	s.mu.Unlock()
	if held {
		return s.maintainHeld(ctx, now, id, h)
	}
	self := s.gossip.Self().ID
	if isKnown && known.Holder != self && s.running(known.Holder) {
		s.mu.Lock()
		delete(s.observed, id)
		s.mu.Unlock()
		return nil
	}
	if !s.isCandidate(id, self) {
		return nil
	}
	return s.takeOver(ctx, now, id, org)
}

// running reports whether a node is considered running and is not leaving.
func (s *Service) running(id string) bool {
	alive := false
	s.gossip.WithTable(func(t *member.Table) {
		r, ok := t.Get(id)
		alive = ok && r.Status == member.Alive && !r.Leaving
	})
	return alive
}

// maintainHeld renews a lease when due, and makes it exclusive once the former
// holder has provably stopped.
func (s *Service) maintainHeld(ctx context.Context, now time.Time, id claim.Shard, h *heldShard) error {
	s.mu.Lock()
	if !h.exclusive && s.provenStopped(h.predecessor) {
		h.becomeExclusive(now)
	}
	due := now.Sub(h.attempted) >= renewInterval
	record, version := h.record, h.version
	if due {
		h.attempted = now
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
	next, err := s.store.Put(ctx, keyPrefix+id.String(), value, version)
	switch {
	case trace.IsCompareFailed(err):
		return s.reconcile(ctx, id, h, began)
	case err != nil:
		s.mu.Lock()
		h.attempted = time.Time{}
		s.mu.Unlock()
		return fmt.Errorf("renew lease of shard %s: %w", id, err)
	}
	s.mu.Lock()
	h.version, h.renewed = next, began
	s.mu.Unlock()
	return nil
}

// reconcile reads the lease object after a renewal failed with a version conflict.
// Either the answer to an earlier renewal was lost, or another node holds the shard.
func (s *Service) reconcile(ctx context.Context, id claim.Shard, h *heldShard, began time.Time) error {
	o, err := s.store.Get(ctx, keyPrefix+id.String())
	if err != nil {
		return fmt.Errorf("read lease of shard %s: %w", id, err)
	}
	l, err := decodeLease(o.Value)
	if err != nil {
		return fmt.Errorf("shard %s: %w", id, err)
	}
	s.mu.Lock()
	if l.Holder == h.record.Holder && l.Epoch == h.record.Epoch {
		h.version, h.attempted = o.Version, time.Time{}
		s.mu.Unlock()
		return nil
	}
	delete(s.held, id)
	r := l.Record
	r.Yielded = true
	s.known[id] = r
	s.mu.Unlock()
	s.log.WithField("part", id).WithField("since", began).Warn("lost shard lease: another node holds it")
	s.gossip.Broadcast(gossip.Message{Claims: []claim.Record{r}})
	return nil
}

// takeOver claims a shard whose lease is missing, released or expired, or whose
// holder is gone.
func (s *Service) takeOver(ctx context.Context, now time.Time, id claim.Shard, org *manifest.Organisation) error {
	o, err := s.store.Get(ctx, keyPrefix+id.String())
	if trace.IsNotFound(err) {
		return s.claim(ctx, id, org, lease{}, 0)
	}
	if err != nil {
		return fmt.Errorf("read lease of shard %s: %w", id, err)
	}
	l, err := decodeLease(o.Value)
	if err != nil {
		return fmt.Errorf("shard %s: %w", id, err)
	}
	s.recordHolder(l)
	if !s.knownForTTL(now, l) {
		return nil
	}
	switch {
	case l.Released, s.provenStopped(l.Holder), s.sameAddress(l):
		return s.claim(ctx, id, org, l, o.Version)
	case s.leaseExpired(now, id, o.Version):
		return s.claim(ctx, id, org, l, o.Version)
	}
	return nil
}

// knownForTTL reports whether this node has known the holder for TokenTTL. Before
// that, tokens granted by earlier holders may still be spent too.
func (s *Service) knownForTTL(now time.Time, l lease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.epochs[l.Shard]
	if !ok || first.epoch != l.Epoch {
		s.epochs[l.Shard] = epochSeen{l.Epoch, now}
		return false
	}
	return now.Sub(first.at) >= bucket.TokenTTL
}

// recordHolder stores a holder read from the platform if gossip has not brought it.
func (s *Service) recordHolder(l lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.known[l.Shard]; !ok || l.Record.Supersedes(known) {
		s.known[l.Shard] = l.Record
	}
}

// sameAddress reports whether this node has the address of the holder. Then the
// holder was an earlier process at this address, or is this node, which has stopped
// granting.
func (s *Service) sameAddress(l lease) bool {
	return l.Address == s.gossip.Self().Address
}

// leaseExpired reports whether the lease object was unchanged for takeoverDelay.
func (s *Service) leaseExpired(now time.Time, id claim.Shard, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	observed, ok := s.observed[id]
	if !ok || observed.version != version {
		s.observed[id] = observation{version: version, since: now}
		return false
	}
	return now.Sub(observed.since) >= takeoverDelay
}

// claim writes this node as holder into the lease object, conditional on the
// version read.
func (s *Service) claim(ctx context.Context, id claim.Shard, org *manifest.Organisation, predecessor lease, version uint64) error {
	self := s.gossip.Self()
	record := claim.Record{Shard: id, Epoch: predecessor.Epoch + 1, Holder: self.ID, Address: self.Address}
	value, err := lease{Record: record}.encode()
	if err != nil {
		return err
	}
	began := time.Now()
	next, err := s.store.Put(ctx, keyPrefix+id.String(), value, version)
	if errors.Is(err, object.ErrUncertain) {
		next, err = s.readBack(ctx, id, record)
	}
	switch {
	case trace.IsCompareFailed(err):
		return nil
	case err != nil:
		return fmt.Errorf("claim shard %s: %w", id, err)
	}
	h := &heldShard{record: record, version: next, renewed: began, attempted: began, predecessor: predecessor.Holder}
	h.exclusive = version == 0 || predecessor.Released || s.provenStopped(predecessor.Holder) || s.sameAddress(predecessor)
	h.bucket = initialBucket(began, limitsOf(org), predecessor, version, h.leaseState(began))
	first := h.bucket.LeaseState()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return s.release(ctx, id, h)
	}
	s.held[id], s.known[id] = h, record
	delete(s.observed, id)
	s.mu.Unlock()
	s.log.WithField("part", id).WithField("epoch", record.Epoch).WithField("claim", first).Info("acquired shard lease")
	s.gossip.Broadcast(gossip.Message{Claims: []claim.Record{record}})
	return nil
}

// readBack checks whether a write with a lost answer took effect. It returns the
// object's version, or a trace.CompareFailed error if another node was first.
func (s *Service) readBack(ctx context.Context, id claim.Shard, record claim.Record) (uint64, error) {
	o, err := s.store.Get(ctx, keyPrefix+id.String())
	if err != nil {
		return 0, fmt.Errorf("read back lease of shard %s: %w", id, err)
	}
	l, err := decodeLease(o.Value)
	if err != nil {
		return 0, fmt.Errorf("shard %s: %w", id, err)
	}
	if l.Record != record {
		return 0, trace.CompareFailed("another node claimed the shard first")
	}
	return o.Version, nil
}

// initialBucket is full for a shard that never had a holder, otherwise it is empty
// except for tokens handed over by the former holder.
func initialBucket(now time.Time, limits bucket.Limits, former lease, version uint64, c bucket.LeaseState) *bucket.Bucket {
	if version == 0 {
		return bucket.NewFull(now, limits)
	}
	p := bucket.New(now, limits, c)
	if former.Released {
		p.AddTokens(now, former.Level)
	}
	return p
}

// provenStopped reports whether there is positive evidence that an incarnation has
// stopped.
func (s *Service) provenStopped(id string) bool {
	gone := false
	s.gossip.WithTable(func(t *member.Table) {
		r, ok := t.Get(id)
		gone = ok && r.Confirmed
	})
	return gone
}
