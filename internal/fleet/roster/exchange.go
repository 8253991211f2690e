package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"github.com/goccy/go-json"
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
		s.tend(now)
		for _, r := range s.partners(now, round) {
			s.probe(now, r)
		}
	}
}

func (s *Service) probe(now time.Time, r member.Record) {
	s.mu.Lock()
	s.watch.Probed(now, r.ID)
	s.mu.Unlock()
	p := s.exchange(now)
	p.Sent = now.UnixNano()
	if err := s.write(r.Datagrams, p); err != nil {
		s.log.WithError(err).Debug("probe not sent")
	}
}

// tend passes on doubts of members that gave no answer, to the doubted as well.
// After this node stood still, the silence of others proves nothing.
func (s *Service) tend(now time.Time) {
	s.mu.Lock()
	gap := now.Sub(s.ticked)
	s.ticked = now
	var doubted []member.Record
	switch {
	case gap > stall:
		s.log.WithField("gap_ms", gap.Milliseconds()).Warn("this node stood still")
		s.watch.Stalled(now)
	case gap < 2*tick:
		// A late tick means that answers may be unread as well.
		doubted = s.doubt(now)
	}
	s.table.Forget(now)
	s.watch.Keep(func(id string) bool { r, ok := s.table.Get(id); return ok && !r.Gone() })
	s.mu.Unlock()
	for _, r := range doubted {
		s.log.WithFields(map[string]any{"member": r.ID, "address": r.Address, "beat": r.Beat}).Warn("member does not answer")
		p := s.hello(now)
		p.Records = []member.Record{r}
		if err := s.write(r.Datagrams, p); err != nil {
			s.log.WithError(err).Debug("doubt not told")
		}
	}
	if len(doubted) > 0 {
		s.spread(now, doubted, "")
	}
}

// doubt marks the members that do not answer. The mutex is held.
func (s *Service) doubt(now time.Time) []member.Record {
	var doubted []member.Record
	for _, id := range s.watch.Doubts(now) {
		if r, ok := s.table.MarkSuspect(now, id); ok {
			doubted = append(doubted, r)
		}
	}
	return doubted
}

// partners are the peers of one tick: one of the own zone, in turn the first
// of the zone and any, now and then one elsewhere, and one that owes an answer.
func (s *Service) partners(now time.Time, round int) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, peers := s.firstOfZone(now)
	var picked []member.Record
	if round%2 == 0 && first.ID != "" && rand.IntN(max(peers, firstPeers)) < firstPeers {
		picked = append(picked, first)
	} else {
		picked = s.table.PickWhere(1, rand.IntN, s.isNear)
	}
	if round%farEvery == 0 || peers == 0 {
		picked = append(picked, s.table.PickWhere(1, rand.IntN, func(r *member.Record) bool { return !s.isNear(r) })...)
	}
	for _, id := range s.watch.Unanswered() {
		r, ok := s.table.Get(id)
		if ok && !r.Gone() && !slices.ContainsFunc(picked, func(o member.Record) bool { return o.ID == id }) {
			return append(picked, r)
		}
	}
	return picked
}

// isNear reports whether a member is in this node's zone. The mutex is held.
func (s *Service) isNear(r *member.Record) bool { return r.Zone == s.table.Self().Zone }

// firstOfZone returns the first of the other running nodes of the zone, and the
// number of other nodes there. The mutex is held.
func (s *Service) firstOfZone(now time.Time) (first member.Record, peers int) {
	self := s.table.Self().ID
	s.table.Each(func(r *member.Record) {
		if r.ID == self || r.Gone() || !s.isNear(r) {
			return
		}
		peers++
		if !r.Leaving && (first.ID == "" || r.ID < first.ID) && !s.silent(now, r.ID) {
			first = *r
		}
	})
	return first, peers
}

// exchange is a datagram with the digest of the members and the topics' notes.
func (s *Service) exchange(now time.Time) packet {
	p := s.hello(now)
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

// beats names some members, this node first. The mutex is held.
func (s *Service) beats() []beat {
	self := s.table.Self()
	list := []beat{{self.ID, self.Beat, self.Status}}
	for _, r := range s.table.Pick(maxBeats, rand.IntN) {
		list = append(list, beat{r.ID, r.Beat, r.Status})
	}
	return list
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
	s.hearVersion(p)
	answer := packet{}
	if p.Sent != 0 {
		answer = s.exchange(now)
		answer.Echo = p.Sent
	}
	s.reconcile(p, &answer)
	if p.Sent != 0 || len(answer.Want)+len(answer.Records)+len(answer.Beats) > 0 {
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

// reconcile adds to an answer what the two sides know differently.
func (s *Service) reconcile(p packet, answer *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sender, known := s.table.Get(p.From)
	answer.Want = s.lacking(p)
	answer.Records = s.wanted(p)
	if known && sender.Status != member.Alive {
		// A sender that is doubted lives, and refutes that.
		answer.Records = append(answer.Records, sender)
	}
	if slices.ContainsFunc(p.Records, func(r member.Record) bool { return r.ID == p.From }) {
		// A process that starts anew learns which targets left the ones before it.
		for _, r := range s.table.SignedOff(sender.Address) {
			if r.ID != p.From && len(answer.Records) < maxRecords {
				answer.Records = append(answer.Records, r)
			}
		}
	}
	if !known || len(p.Records) > 0 {
		// The sender may not have this node's record yet.
		answer.Text = s.table.Self().Operators
	}
	// Only one side names members, or the two would go on for ever.
	if p.Digest != 0 && p.Digest != s.table.Digest() && len(p.Beats) == 0 && p.Echo == 0 {
		answer.Beats = s.beats()
	}
}

// hearVersion passes a peer's configuration on. Only an answer dates a proof:
// any other datagram may have waited in a socket while a VM stood still.
func (s *Service) hearVersion(p packet) {
	if p.Version == 0 {
		return
	}
	at := time.Time{}
	if p.Echo != 0 && p.Age >= 0 {
		at = time.Unix(0, p.Echo).Add(-time.Duration(p.Age) * time.Millisecond)
	}
	isNew := p.Version > s.news.Version()
	if at.IsZero() && !isNew {
		return
	}
	if r, ok := s.Get(p.From); p.Text == "" && ok {
		p.Text = r.Operators
	} else if p.Text == "" && isNew {
		// There is nowhere to ask; the sender's record is on its way.
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
		s.log.WithFields(map[string]any{
			"member": r.ID, "address": r.Address, "beat": r.Beat, "status": r.Status.String(),
			"service": r.Service, "slots": r.Slots, "target": r.Instance, "leaving": r.Leaving, "from": p.From,
		}).Info("member changed")
	}
	s.watch.Heard(now, p.From)
	if s.met.IsZero() {
		s.met = now
	}
	if p.Echo != 0 {
		s.watch.Answered(now, now.Sub(time.Unix(0, p.Echo)))
	}
	return fresh
}

// lacking lists members of a datagram whose records are older here. The mutex
// is held.
func (s *Service) lacking(p packet) []string {
	var ids []string
	if _, ok := s.table.Get(p.From); !ok {
		ids = append(ids, p.From)
	}
	for _, b := range p.Beats {
		r, ok := s.table.Get(b.ID)
		older := ok && (r.Beat < b.Beat || (r.Beat == b.Beat && r.Status < b.Status))
		if (!ok && b.ID != p.From) || older {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// wanted returns the records that a datagram asks for, and those that are newer
// here than it says. The mutex is held.
func (s *Service) wanted(p packet) []member.Record {
	ids := p.Want
	for _, b := range p.Beats {
		if s.table.Newer(b.ID, b.Beat, b.Status) {
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
