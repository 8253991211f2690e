package quota

import (
	"time"

	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// claim names the holder. The greater epoch wins, then the smaller ID.
type claim struct {
	Epoch  uint64 `json:"e"`
	Holder string `json:"h"`
	// Resigned is set once the holder has given up the claim.
	Resigned bool `json:"r,omitempty"`
}

// active reports whether the claim has a holder that has not given it up.
func (c claim) active() bool { return c.Holder != "" && !c.Resigned }

// supersedes reports whether a node that knows claim o adopts c. A claim that was given
// up replaces an active one only if both are the same.
func (c claim) supersedes(o claim) bool {
	switch {
	case c.Epoch == o.Epoch && c.Holder == o.Holder:
		return c.Resigned && !o.Resigned
	case c.Resigned && o.active():
		return false
	case c.Epoch != o.Epoch:
		return c.Epoch > o.Epoch
	case c.Resigned != o.Resigned:
		return o.Resigned
	}
	return c.Holder < o.Holder
}

// note is what a node tells others about the holder.
type note struct {
	claim
	// Seen is the greatest epoch that the node knows of.
	Seen uint64 `json:"s,omitempty"`
	// Fallback is set while the node knows of no holder and uses its fallback share.
	Fallback bool `json:"f,omitempty"`
}

// holds reports whether this node is the holder. The mutex is held.
func (s *Service) holds() bool { return s.claim.active() && s.claim.Holder == s.fleet.Self().ID }

// checkLapse gives up this node's claim, and delays its next election, if others may
// have elected a successor without its knowledge: the process was paused, or it has
// heard of nobody. It must run before anything is granted. The mutex is held.
func (s *Service) checkLapse(now time.Time) {
	paused := now.Sub(s.lastActive) >= lapseTime
	s.lastActive = now
	if paused || (!s.alone && now.Sub(s.fleet.LastContact()) >= lapseTime) {
		s.electableFrom = now.Add(electionDelay)
		s.resign("no contact", paused)
	}
}

// resign gives up this node's claim, if it has one. The mutex is held.
func (s *Service) resign(reason string, paused bool) {
	if !s.holds() {
		return
	}
	s.log.WithFields(logrus.Fields{"epoch": s.claim.Epoch, "reason": reason, "paused": paused}).Warn("claim to hold the quotas given up")
	s.claim.Resigned = true
	clear(s.buckets)
}

// Note implements roster.Topic.
func (s *Service) Note() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := json.Marshal(note{s.claim, s.seen, !s.claim.active()})
	if err != nil {
		s.log.WithError(err).Error("encoding quota holder claim failed")
		return nil
	}
	return text
}

// Noted implements roster.Topic.
func (s *Service) Noted(now time.Time, from string, text json.RawMessage) {
	var n note
	if err := json.Unmarshal(text, &n); err != nil {
		s.log.WithError(err).WithField("peer", from).Warn("decoding quota holder claim failed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkLapse(now)
	s.seen = max(s.seen, n.Seen, n.Epoch)
	if n.Fallback && s.holds() && now.Sub(s.heldSince) >= settleTime {
		s.deaf[from] = now
	} else {
		delete(s.deaf, from)
	}
	own := n.active() && n.Holder == from && n.Holder != s.claim.Holder
	switch {
	case n.supersedes(s.claim), own && !s.claim.active():
		s.follow(n.claim)
	case own && s.holds():
		// The other holder may not hear this node, and goes on granting.
		s.resign("another holder", false)
		s.electableFrom = now.Add(electionDelay)
		s.follow(n.claim)
	case s.contradicts(now, n.claim):
		// The sender follows a holder that this node has not heard yet.
		s.electableFrom = now.Add(electionDelay)
	}
}

// contradicts reports whether a claim that this node does not adopt names a running holder,
// while this node knows of none. The mutex is held.
func (s *Service) contradicts(now time.Time, c claim) bool {
	same := c.Epoch == s.claim.Epoch && c.Holder == s.claim.Holder
	return c.active() && !s.claim.active() && !same && c.Holder != s.fleet.Self().ID && !s.fleet.Silent(now, c.Holder)
}

// follow switches to another holder. Grants of this node stay valid until the
// tokens expire, which the next holder accounts for. The mutex is held.
func (s *Service) follow(c claim) {
	s.log.WithFields(logrus.Fields{"holder": c.Holder, "epoch": c.Epoch, "resigned": c.Resigned, "was": s.claim.Holder}).Info("quota holder changed")
	s.claim, s.unansweredSince = c, time.Time{}
	clear(s.buckets)
}

// elect makes this node the holder if there is none and it is the first node of
// a majority.
func (s *Service) elect(now time.Time) {
	self := s.fleet.Self()
	ids, known := s.fleet.Running(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	size := max(known+s.fleet.Unmet(now), 1)
	s.alone = size == 1
	s.checkLapse(now)
	minority := 2*len(ids) <= known
	s.missingFraction = float64(min(max(size-len(ids), 0)+s.countDeaf(now, ids), size)) / float64(size)
	if minority {
		s.resign("no majority", false)
	}
	s.raiseEpoch(now)
	s.refillBuckets(now)
	if now.Before(s.electableFrom) || self.Leaving || s.holderAlive(now) {
		return
	}
	if len(ids) == 0 || ids[0] != self.ID || minority {
		return
	}
	former := s.claim.Holder
	s.heldSince = now
	clear(s.deaf)
	s.seen++
	s.follow(claim{Epoch: s.seen, Holder: self.ID})
	s.notifyFormer(now, former)
}

// countDeaf returns how many of the reachable nodes use their fallback share. The mutex is
// held.
func (s *Service) countDeaf(now time.Time, reachable []string) int {
	n := 0
	for _, id := range reachable {
		if at, ok := s.deaf[id]; ok && now.Sub(at) <= deafRetention {
			n++
		}
	}
	return n
}

// raiseEpoch raises the epoch of the holder above others that are still remembered, such
// as that of a claim that was given up while its node was cut off and the others restarted.
// The mutex is held.
func (s *Service) raiseEpoch(now time.Time) {
	switch {
	case !s.holds() || s.seen <= s.claim.Epoch:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = now
	case now.Sub(s.behindSince) >= bumpDelay:
		s.seen++
		s.claim.Epoch, s.behindSince = s.seen, time.Time{}
	}
}

// notifyFormer tells the former holder at once that it has a successor, in case it still
// runs. The mutex is held.
func (s *Service) notifyFormer(now time.Time, former string) {
	if former == "" || former == s.fleet.Self().ID {
		return
	}
	if err := s.fleet.Send(now, former, Name, message{Epoch: s.claim.Epoch, Successor: s.claim.Holder}); err != nil {
		s.log.WithError(err).Debug("former quota holder not notified")
	}
}

// holderAlive reports whether the holder is considered running. The mutex is held.
func (s *Service) holderAlive(now time.Time) bool {
	if !s.claim.active() {
		return false
	}
	if s.holds() {
		return true
	}
	r, ok := s.fleet.Get(s.claim.Holder)
	return ok && !r.Gone() && !r.Leaving && !s.fleet.Silent(now, r.ID)
}
