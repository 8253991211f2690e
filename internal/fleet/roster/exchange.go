package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/goccy/go-json"
)

// probeLoop probes some peers every tick.
func (s *Service) probeLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := clock.Now()
		s.checkTimeouts(now)
		for _, r := range s.probePeers(now, round) {
			s.probe(now, r)
		}
	}
}

// probe sends a probe to a member.
func (s *Service) probe(now time.Time, r member.Record) {
	s.mu.Lock()
	s.detector.ProbeSent(now, r.ID)
	s.mu.Unlock()
	p := s.digestPacket(now)
	p.Sent = now.UnixNano()
	if err := s.write(r.Datagrams, p); err != nil {
		s.log.WithError(err).Debug("probe not sent")
	}
}

// checkTimeouts marks members that do not answer as suspect, and sends that to
// peers and to the suspects, which refute it if they run. After this process
// was paused, missing answers are no sign of a failure.
func (s *Service) checkTimeouts(now time.Time) {
	s.mu.Lock()
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	var suspects []member.Record
	switch {
	case gap > stallGap:
		s.log.WithField("gap_ms", gap.Milliseconds()).Warn("membership loop was paused; probe timeouts restart")
		s.detector.ResetTimeouts(now)
	case gap < 2*tickInterval:
		// After a late tick, answers may still be unread in the socket.
		suspects = s.markSuspects(now)
	}
	s.table.Prune(now)
	s.detector.Retain(func(id string) bool { r, ok := s.table.Get(id); return ok && !r.Gone() })
	s.mu.Unlock()
	for _, r := range suspects {
		s.log.WithFields(map[string]any{"member": r.ID, "address": r.Address, "beat": r.Version}).Warn("member does not answer probes; marked as suspect")
		p := s.newPacket(now)
		p.Records = []member.Record{r}
		if err := s.write(r.Datagrams, p); err != nil {
			s.log.WithError(err).Debug("suspicion not sent to the suspect")
		}
	}
	if len(suspects) > 0 {
		s.broadcast(now, suspects, "")
	}
}

// markSuspects marks the members that do not answer. The mutex must be held.
func (s *Service) markSuspects(now time.Time) []member.Record {
	var suspects []member.Record
	for _, id := range s.detector.NewSuspects(now) {
		if r, ok := s.table.MarkSuspect(now, id); ok {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// probePeers returns the peers to probe in one tick: one of the own zone, by
// turns its first node and a random one; every crossZoneTicks ticks one of
// another zone; and one with an unanswered probe.
func (s *Service) probePeers(now time.Time, round int) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, peers := s.firstOfZone(now)
	var picked []member.Record
	if round%2 == 0 && first.ID != "" && rand.IntN(max(peers, fullRateProbers)) < fullRateProbers {
		picked = append(picked, first)
	} else {
		picked = s.table.PickWhere(1, rand.IntN, s.sameZone)
	}
	if round%crossZoneTicks == 0 || peers == 0 {
		picked = append(picked, s.table.PickWhere(1, rand.IntN, func(r *member.Record) bool { return !s.sameZone(r) })...)
	}
	for _, id := range s.detector.Unanswered() {
		r, ok := s.table.Get(id)
		if ok && !r.Gone() && !slices.ContainsFunc(picked, func(o member.Record) bool { return o.ID == id }) {
			return append(picked, r)
		}
	}
	return picked
}

// sameZone reports whether a member is in this node's zone. The mutex must be
// held.
func (s *Service) sameZone(r *member.Record) bool { return r.Zone == s.table.Self().Zone }

// firstOfZone returns the reachable node with the lowest ID among the other
// nodes of the zone, and the number of other nodes there. The mutex must be
// held.
func (s *Service) firstOfZone(now time.Time) (first member.Record, peers int) {
	self := s.table.Self().ID
	s.table.Each(func(r *member.Record) {
		if r.ID == self || r.Gone() || !s.sameZone(r) {
			return
		}
		peers++
		if !r.Leaving && (first.ID == "" || r.ID < first.ID) && !s.silent(now, r.ID) {
			first = *r
		}
	})
	return first, peers
}

// digestPacket returns a packet with the digest of the table and the
// piggybacked data of the topics.
func (s *Service) digestPacket(now time.Time) packet {
	p := s.newPacket(now)
	if number, ok := s.eras.Current().Number(); ok {
		p.Era = &number
	}
	s.mu.Lock()
	p.Digest = s.table.Digest()
	s.mu.Unlock()
	for name, t := range s.topics {
		if note := t.Note(); note != nil {
			if p.Notes == nil {
				p.Notes = map[string]json.RawMessage{}
			}
			p.Notes[name] = note
		}
	}
	return p
}

// versions lists this node and up to maxVersions random members with the
// versions of their records. The mutex must be held.
func (s *Service) versions() []recordVersion {
	self := s.table.Self()
	list := []recordVersion{{self.ID, self.Version, self.Status}}
	for _, r := range s.table.Pick(maxVersions, rand.IntN) {
		list = append(list, recordVersion{r.ID, r.Version, r.Status})
	}
	return list
}

// receive handles datagrams until the socket is closed.
func (s *Service) receive(ctx context.Context) error {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// Most likely an ICMP error: a peer's port was closed when a datagram arrived.
			s.log.WithError(err).Debug("receiving a datagram failed")
			continue
		}
		s.received.Add(1)
		var p packet
		if err := json.Unmarshal(buffer[:n], &p); err != nil || p.From == "" {
			s.log.WithField("peer", from.String()).Warn("datagram dropped: invalid membership packet")
			continue
		}
		s.handle(clock.Now(), p, from.String())
	}
}

// handle processes a packet and answers it.
func (s *Service) handle(now time.Time, p packet, from string) {
	fresh := s.merge(now, p)
	for name, note := range p.Notes {
		if t, ok := s.topics[name]; ok {
			t.Noted(now, p.From, note)
		}
	}
	if t, ok := s.topics[p.Topic]; ok && p.Topic != "" {
		t.Message(now, p.From, p.Body)
	}
	s.observeVersion(p)
	if p.Era != nil {
		s.eras.Observe(era.At(*p.Era), p.From)
	}
	answer := packet{}
	if p.Sent != 0 {
		answer = s.digestPacket(now)
		answer.Echo = p.Sent
		answer.Informed = s.informed(now)
	}
	s.reconcile(p, &answer)
	if p.Sent != 0 || len(answer.Want)+len(answer.Records)+len(answer.Versions) > 0 {
		if answer.From == "" {
			answer.From = s.Self().ID
		}
		if err := s.write(from, answer); err != nil {
			s.log.WithError(err).Debug("answer to a probe or packet not sent")
		}
	}
	if len(fresh) > 0 {
		s.broadcast(now, fresh, p.From)
	}
}

// reconcile adds to an answer the records that the sender lacks and the
// requests for those that this node lacks.
func (s *Service) reconcile(p packet, answer *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sender, known := s.table.Get(p.From)
	answer.Want = s.outdated(p)
	answer.Records = s.requested(p)
	if known && sender.Status != member.Alive {
		// The sender runs. Its own record lets it refute the suspicion.
		answer.Records = append(answer.Records, sender)
	}
	if slices.ContainsFunc(p.Records, func(r member.Record) bool { return r.ID == p.From }) {
		// A restarted process learns which targets left its earlier incarnations.
		for _, r := range s.table.Deregistered(sender.Address) {
			if r.ID != p.From && len(answer.Records) < maxRecords {
				answer.Records = append(answer.Records, r)
			}
		}
	}
	if !known || len(p.Records) > 0 {
		// The sender may lack this node's record, which has the address.
		answer.ConfigAddress = s.table.Self().Operators
	}
	// Only one side lists its members, or the two would answer each other endlessly.
	if p.Digest != 0 && p.Digest != s.table.Digest() && len(p.Versions) == 0 && p.Echo == 0 {
		answer.Versions = s.versions()
	}
}

// observeVersion passes a peer's configuration version on. Only an answer
// confirms it at a known time: another packet may have waited in the socket of
// a frozen VM.
func (s *Service) observeVersion(p packet) {
	if p.Version == 0 {
		return
	}
	at := time.Time{}
	if p.Echo != 0 && p.Age >= 0 {
		at = time.Unix(0, p.Echo).Add(-time.Duration(p.Age) * time.Millisecond)
	}
	isNew := p.Version > s.config.Version()
	if at.IsZero() && !isNew {
		return
	}
	if r, ok := s.Get(p.From); p.ConfigAddress == "" && ok {
		p.ConfigAddress = r.Operators
	} else if p.ConfigAddress == "" && isNew {
		// The address is not known yet; the sender's record has been requested.
		return
	}
	s.config.ReportVersion(p.Version, at, p.ConfigAddress)
}

// merge takes in the records of a packet and records the message as a sign of
// life. It returns the records to pass on.
func (s *Service) merge(now time.Time, p packet) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []member.Record
	for _, r := range p.Records {
		if r.Datagrams == "" {
			continue
		}
		merged, changed := s.table.Learn(now, r)
		if !changed {
			continue
		}
		fresh = append(fresh, merged)
		s.log.WithFields(map[string]any{
			"member": r.ID, "address": r.Address, "beat": r.Version, "status": r.Status.String(),
			"service": r.Service, "slots": r.Slots, "target": r.Instance, "leaving": r.Leaving, "from": p.From,
		}).Info("member record changed")
	}
	s.detector.MessageReceived(now, p.From)
	s.lastContact.Store(now.UnixNano())
	s.introductions.received(now, p)
	if p.Echo != 0 {
		s.detector.RoundTrip(now, now.Sub(time.Unix(0, p.Echo)))
	}
	return fresh
}

// outdated returns the IDs of the members in a packet whose records are missing
// or older here. The mutex must be held.
func (s *Service) outdated(p packet) []string {
	var ids []string
	if _, ok := s.table.Get(p.From); !ok {
		ids = append(ids, p.From)
	}
	for _, b := range p.Versions {
		r, ok := s.table.Get(b.ID)
		older := ok && (r.Version < b.Version || (r.Version == b.Version && r.Status < b.Status))
		if (!ok && b.ID != p.From) || older {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// requested returns the records that a packet asks for, and those that are
// newer here than its versions say, up to maxRecords. The mutex must be held.
func (s *Service) requested(p packet) []member.Record {
	ids := p.Want
	for _, b := range p.Versions {
		if s.table.HasNewer(b.ID, b.Version, b.Status) {
			ids = append(ids, b.ID)
		}
	}
	var records []member.Record
	for _, id := range ids {
		if r, ok := s.table.Get(id); ok && len(records) < maxRecords {
			records = append(records, r)
		}
	}
	return records
}
