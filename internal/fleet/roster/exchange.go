package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
)

// beat exchanges with a peer every tick.
func (s *Service) beat(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := clock.Now()
		s.pulseOwn(now)
		for _, r := range s.partners(now, round) {
			p := s.exchange(now)
			p.Sent = now.UnixNano()
			if err := s.write(r.Datagrams, p); err != nil {
				s.log.WithError(err).Debug("exchange not sent")
			}
		}
	}
}

// pulseOwn counts the own pulse. After this node stood still, the silence of
// others proves nothing, so that they get their time anew.
func (s *Service) pulseOwn(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own++
	if gap := now.Sub(s.ticked); gap > stall {
		s.log.WithField("gap_ms", gap.Milliseconds()).Warn("this node stood still")
		for id, p := range s.pulses {
			p.at = p.at.Add(gap)
			s.pulses[id] = p
		}
	}
	s.ticked = now
	for id := range s.pulses {
		if r, ok := s.table.Get(id); !ok || r.Gone() {
			delete(s.pulses, id)
		}
	}
	s.table.Expire(now)
}

// partners are the peers of one tick: one of the own zone, in turn the first
// of the zone and any, and now and then one elsewhere.
func (s *Service) partners(now time.Time, round int) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.table.Self()
	var near, far []member.Record
	var first member.Record
	for _, r := range s.table.Pick(s.table.Len(), rand.IntN) {
		if r.Zone != self.Zone {
			far = append(far, r)
			continue
		}
		near = append(near, r)
		if !s.silent(now, r.ID) && !r.Leaving && (first.ID == "" || r.ID < first.ID) {
			first = r
		}
	}
	var picked []member.Record
	switch {
	case round%2 == 0 && first.ID != "":
		picked = append(picked, first)
	case len(near) > 0:
		picked = append(picked, near[0])
	}
	if len(far) > 0 && (round%farEvery == 0 || len(near) == 0) {
		picked = append(picked, far[0])
	}
	return picked
}

// exchange is a datagram that names members and carries the topics' notes.
func (s *Service) exchange(now time.Time) packet {
	p := s.hello(now)
	s.mu.Lock()
	self := s.table.Self()
	p.Beats = append(p.Beats, beat{self.ID, self.Beat, s.own})
	for _, r := range s.table.Pick(maxBeats, rand.IntN) {
		if q, ok := s.pulses[r.ID]; ok {
			p.Beats = append(p.Beats, beat{r.ID, r.Beat, q.count})
		}
	}
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

// receive takes datagrams until the socket is closed.
func (s *Service) receive(ctx context.Context) error {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram that found no listener at its peer, most likely.
			s.log.WithError(err).Debug("datagram not received")
			continue
		}
		s.received.Add(1)
		var p packet
		if err := json.Unmarshal(buffer[:n], &p); err != nil || p.From == "" {
			s.log.WithField("peer", from.String()).Warn("datagram can't be read")
			continue
		}
		s.take(clock.Now(), p, from.String())
	}
}

// take learns from a datagram and answers it.
func (s *Service) take(now time.Time, p packet, from string) {
	fresh := s.learn(now, p)
	for name, note := range p.Notes {
		if t, ok := s.topics[name]; ok {
			t.Noted(now, p.From, note)
		}
	}
	if t, ok := s.topics[p.Topic]; ok && p.Topic != "" {
		t.Message(now, p.From, p.Body)
	}
	s.hearVersion(now, p)
	answer := packet{}
	if p.Sent != 0 {
		answer = s.exchange(now)
		answer.Echo = p.Sent
	}
	answer.Want = s.lacking(p)
	answer.Records = s.wanted(p)
	if p.Sent != 0 || len(answer.Want) > 0 || len(answer.Records) > 0 {
		if answer.From == "" {
			answer.From = s.Self().ID
		}
		if err := s.write(from, answer); err != nil {
			s.log.WithError(err).Debug("answer not sent")
		}
	}
	if len(fresh) > 0 {
		s.spread(now, fresh, p.From)
	}
}

// hearVersion passes a peer's configuration on. Only an answer dates a proof:
// any other datagram may have waited in a socket while a VM stood still.
func (s *Service) hearVersion(_ time.Time, p packet) {
	if p.Version == 0 {
		return
	}
	at := time.Time{}
	if p.Echo != 0 && p.Age >= 0 {
		at = time.Unix(0, p.Echo).Add(-time.Duration(p.Age) * time.Millisecond)
	}
	if at.IsZero() && p.Version <= s.news.Version() {
		return
	}
	s.news.Heard(p.Version, at, p.Text)
}

// learn joins the records and pulses of a datagram. It returns the records
// that were news.
func (s *Service) learn(now time.Time, p packet) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []member.Record
	for _, r := range p.Records {
		if r.Datagrams == "" {
			continue
		}
		learned, isNews := s.table.Learn(now, r)
		if !isNews {
			continue
		}
		fresh = append(fresh, learned)
		if _, ok := s.pulses[r.ID]; !ok && !r.Gone() {
			s.pulses[r.ID] = pulse{at: now}
		}
		s.log.WithFields(map[string]any{
			"member": r.ID, "address": r.Address, "beat": r.Beat, "status": r.Status.String(),
			"service": r.Service, "slots": r.Slots, "target": r.Instance, "leaving": r.Leaving, "from": p.From,
		}).Info("member changed")
	}
	for _, b := range p.Beats {
		if q, ok := s.pulses[b.ID]; ok && b.Pulse > q.count {
			s.pulses[b.ID] = pulse{count: b.Pulse, at: now}
		}
	}
	if q, ok := s.pulses[p.From]; ok {
		q.at = now
		s.pulses[p.From] = q
	}
	return fresh
}

// lacking lists members of a datagram whose records are older here.
func (s *Service) lacking(p packet) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	if _, ok := s.table.Get(p.From); !ok {
		ids = append(ids, p.From)
	}
	for _, b := range p.Beats {
		r, ok := s.table.Get(b.ID)
		if (!ok && b.ID != p.From) || (ok && r.Beat < b.Beat) {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// wanted returns the records that a datagram asks for.
func (s *Service) wanted(p packet) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []member.Record
	for _, id := range p.Want {
		if r, ok := s.table.Get(id); ok && len(records) < maxRecords {
			records = append(records, r)
		}
	}
	return records
}
