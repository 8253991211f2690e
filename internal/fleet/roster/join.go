package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/goccy/go-json"
)

// join enlists this node and finds its peers, then keeps the directory free of
// nodes that are gone.
func (s *Service) join(ctx context.Context) error {
	enlisted, looks := false, 0
	for ctx.Err() == nil {
		if !enlisted {
			enlisted = s.try("enlist", s.enlist(ctx))
		}
		if s.try("read directory", s.look(ctx)) {
			looks++
		}
		wait := joinEvery
		if enlisted && looks >= 2 && s.company() {
			wait = lookEvery/2 + rand.N(lookEvery)
			for ctx.Err() == nil && !s.first() {
				kernel.Pause(ctx, wait)
			}
		}
		kernel.Pause(ctx, wait)
	}
	return nil
}

func (s *Service) try(what string, err error) bool {
	if err != nil {
		s.log.WithError(err).Warn("directory: " + what + " failed")
	}
	return err == nil
}

// company reports whether peers are known.
func (s *Service) company() bool {
	ids, _ := s.Running(clock.Now())
	return len(ids) > 1
}

// first reports whether this node is the first of those that run.
func (s *Service) first() bool {
	ids, _ := s.Running(clock.Now())
	return len(ids) <= 1 || ids[0] == s.Self().ID
}

func (s *Service) enlist(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	value, err := json.Marshal(s.Self())
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	if err := s.directory.Enlist(ctx, s.node, value); err != nil {
		return fmt.Errorf("enlist %s: %w", s.node, err)
	}
	return nil
}

// look reads the directory, greets nodes that are not known, and strikes those
// that are gone.
func (s *Service) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	listed, err := s.directory.Listed(ctx)
	if err != nil {
		return fmt.Errorf("list nodes: %w", err)
	}
	s.mu.Lock()
	s.listed = len(listed)
	s.mu.Unlock()
	now, greeted := clock.Now(), 0
	for name, value := range listed {
		var r member.Record
		if err := json.Unmarshal(value, &r); err != nil || r.Datagrams == "" || r.ID == "" {
			s.log.WithField("entry", name).Warn("directory entry can't be read")
			continue
		}
		if name == s.node {
			continue
		}
		if s.struck(now, r) {
			if err := s.directory.Strike(ctx, name); err != nil {
				s.log.WithError(err).WithField("entry", name).Warn("directory entry not removed")
			}
			continue
		}
		if greeted < joins && s.greet(now, r) {
			greeted++
		}
	}
	return nil
}

// struck reports whether an entry's node has been gone for long.
func (s *Service) struck(now time.Time, r member.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.table.At(r.Address)
	if !ok {
		known, ok = s.table.Get(r.ID)
	}
	return ok && known.ID == r.ID && known.Status != member.Alive && now.Sub(s.table.Changed(r.ID)) > strikeAfter
}

// greet introduces this node to one that it doesn't know. The entry itself
// proves nothing: only an answer makes the node a member.
func (s *Service) greet(now time.Time, r member.Record) bool {
	s.mu.Lock()
	known, ok := s.table.At(r.Address)
	self := s.table.Self()
	s.mu.Unlock()
	if ok && !known.Gone() {
		return false
	}
	p := s.exchange(now)
	p.Sent, p.Records, p.Text = now.UnixNano(), []member.Record{self}, self.Operators
	if err := s.write(r.Datagrams, p); err != nil {
		s.log.WithError(err).Debug("greeting not sent")
	}
	return true
}
