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

// join registers this node in the directory and introduces it to peers. Once
// peers are known, the first running node keeps reading the directory, to
// remove the entries of gone nodes and to find new ones.
func (s *Service) join(ctx context.Context) error {
	registered, scans := false, 0
	for ctx.Err() == nil {
		if !registered {
			registered = s.succeeded("enlist", s.register(ctx))
		}
		if s.succeeded("read directory", s.scan(ctx)) {
			scans++
		}
		wait := joinInterval
		if scans == 1 {
			wait = secondScanDelay
		}
		if registered && scans >= 2 && s.hasPeers() {
			wait = scanInterval/2 + rand.N(scanInterval)
			for ctx.Err() == nil && !s.IsFirst() {
				kernel.Pause(ctx, wait)
			}
		}
		kernel.Pause(ctx, wait)
	}
	return nil
}

// succeeded reports whether an operation on the directory succeeded, and logs
// its error if not.
func (s *Service) succeeded(what string, err error) bool {
	if err != nil {
		s.log.WithError(err).Warn("directory: " + what + " failed")
	}
	return err == nil
}

// hasPeers reports whether other running members are known.
func (s *Service) hasPeers() bool {
	ids, _ := s.Running(clock.Now())
	return len(ids) > 1
}

// IsFirst reports whether this node has the lowest ID of the running members,
// or is the only one.
func (s *Service) IsFirst() bool {
	ids, _ := s.Running(clock.Now())
	return len(ids) <= 1 || ids[0] == s.Self().ID
}

// register writes this node's record to the directory.
func (s *Service) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	value, err := json.Marshal(s.Self())
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	acknowledged, err := s.directory.Register(ctx, s.node, value)
	if err == nil {
		err = s.eras.Check(acknowledged)
	}
	if err != nil {
		return fmt.Errorf("register node %s: %w", s.node, err)
	}
	return nil
}

// scan reads the directory, introduces this node to unknown nodes, and removes
// the entries of nodes that are gone.
func (s *Service) scan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	began := clock.Now()
	listed, err := s.directory.List(ctx)
	if err != nil {
		return fmt.Errorf("list nodes: %w", err)
	}
	now, introduced := clock.Now(), 0
	records := decodeRecords(listed)
	s.recordListed(began, now, len(listed), records)
	for name := range listed {
		r := records[name]
		if r.Datagrams == "" || r.ID == "" {
			s.log.WithField("entry", name).Warn("directory entry skipped: invalid member record")
			continue
		}
		if name == s.node {
			continue
		}
		if s.removable(now, r) {
			if err := s.directory.Remove(ctx, name); err != nil {
				s.log.WithError(err).WithField("entry", name).Warn("removing the directory entry of a gone node failed")
			}
			continue
		}
		if introduced < maxIntroductions && s.introduce(now, r) {
			introduced++
		}
	}
	return nil
}

// decodeRecords returns the entries of the directory that can be decoded, by name.
func decodeRecords(listed map[string][]byte) map[string]member.Record {
	records := make(map[string]member.Record, len(listed))
	for name, value := range listed {
		var r member.Record
		if json.Unmarshal(value, &r) == nil {
			records[name] = r
		}
	}
	return records
}

// recordListed records how many entries the directory has, and which of their nodes are
// not known.
func (s *Service) recordListed(began, now time.Time, entries int, records map[string]member.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed, s.directoryRead = entries, true
	before := s.unmet
	s.unmet = map[string]time.Time{}
	for name, r := range records {
		if name == s.node || r.Address == "" {
			continue
		}
		if _, met := s.table.At(r.Address); met {
			continue
		}
		since, ok := before[r.Address]
		if !ok {
			since = now
		}
		s.unmet[r.Address] = since
	}
	others := len(records)
	if _, ok := records[s.node]; ok {
		others--
	}
	s.introductions.listed(began, others)
}

// removable reports whether the node of an entry has not been alive for
// removeAfter.
func (s *Service) removable(now time.Time, r member.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.table.At(r.Address)
	if !ok {
		known, ok = s.table.Get(r.ID)
	}
	return ok && known.ID == r.ID && known.Status != member.Alive && now.Sub(s.table.ChangedAt(r.ID)) > removeAfter
}

// introduce sends this node's record to a node that is not known here, or whose answer a
// process that has just started needs. The entry in the directory is no evidence that the
// node runs; it becomes a member when it answers. It reports false if it sent nothing.
func (s *Service) introduce(now time.Time, r member.Record) bool {
	s.mu.Lock()
	known, ok := s.table.At(r.Address)
	self, starting := s.table.Self(), !s.isSynced(now)
	if ok && !known.Gone() && !starting {
		s.mu.Unlock()
		return false
	}
	number := now.UnixNano()
	if starting {
		number = s.introductions.number(now)
	}
	s.mu.Unlock()
	p := s.digestPacket(now)
	p.Sent, p.Records, p.ConfigAddress = number, []member.Record{self}, self.Operators
	if err := s.write(r.Datagrams, p); err != nil {
		s.log.WithError(err).Debug("introduction to a node of the directory not sent")
	}
	return true
}
