// Package allowance keeps each organisation within its rate and burst over all
// nodes: one node, the holder, keeps every organisation's bucket, and the others
// draw small batches of tokens from it by datagrams.
//
// The holder is the first running node, once it hears a majority of the nodes
// known; it stays holder until it is gone. A holder starts with empty buckets,
// so that a change of holder never grants a burst twice. A node that gets no
// answer from a holder spends a small standing share, which together with what
// the holder grants stays within the tolerated overage.
package quota

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/follow"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name of the service and of its topic.
const Name = "allowance"

const (
	// electEvery is the time between looks whether a holder is missing.
	electEvery = 250 * time.Millisecond
	// settleTime is how long a node runs before it may become holder, so that
	// it has heard of one that exists.
	settleTime = 1200 * time.Millisecond
	// drawEvery bounds how often a node asks the holder.
	drawEvery = 20 * time.Millisecond
	// redrawAfter is when a draw without an answer is sent again: several times
	// a way between zones and back.
	redrawAfter = 40 * time.Millisecond
	// drawPatience is how long a request waits for an answer of the holder: two
	// lost datagrams.
	drawPatience = 120 * time.Millisecond
	// missingAfter is how long a holder gives no answer before the standing
	// share is used.
	missingAfter = 300 * time.Millisecond
	// standingPart is the part of an organisation's rate that all nodes
	// together may spend without a holder. The holder grants that much less for
	// the nodes that it does not hear.
	standingPart = 0.4
	// freshPart is the same at a node that hears peers and of no holder since it
	// started: the whole fleet has started anew. One that hears no peer yet may
	// have started alone, while a holder grants the others all of the rate.
	freshPart = 1.0
	// standingBurst is the number of tokens that a node's standing share holds
	// at most.
	standingBurst = 2
	// overage is the tolerated part over rate and burst, as the platform's
	// bounds state it; what they allow beside it stays a margin.
	overage = 1.1
	// keepPart is the part of a burst that requests of less than the highest rank
	// leave to the others: callers that repeat failed lookups use up the rate
	// first. Above it they may use all of the rate.
	keepPart = 0.2
	// comeBack is when a caller over the rate is asked to return.
	comeBack = 700 * time.Millisecond
)

// Fleet is what the service needs of the roster.
type Fleet interface {
	Self() member.Record
	Running(now time.Time) (ids []string, known int)
	Silent(now time.Time, id string) bool
	Get(id string) (member.Record, bool)
	Send(now time.Time, id, topic string, body any) error
}

// claim names the holder; a greater epoch outranks, then the smaller ID.
type claim struct {
	Epoch  uint64 `json:"e"`
	Holder string `json:"h"`
}

func (c claim) outranks(o claim) bool {
	return c.Epoch > o.Epoch || (c.Epoch == o.Epoch && c.Holder < o.Holder)
}

// claimant is whom tokens are for: requests of an organisation that are of the
// highest rank, or those below it.
type claimant struct {
	Organisation string `json:"org"`
	Low          bool   `json:"low,omitempty"`
}

// draw asks for tokens of one claimant.
type draw struct {
	claimant
	bucket.Request
}

// granted answers a draw.
type granted struct {
	claimant
	bucket.Grant
}

// message is a draw or its answer.
type message struct {
	Epoch uint64 `json:"e"`
	// Asked is the drawer's clock, echoed in the answer, in nanoseconds.
	Asked  int64     `json:"at"`
	Draws  []draw    `json:"draws,omitempty"`
	Grants []granted `json:"grants,omitempty"`
}

// purse is what this node has drawn for one claimant.
type purse struct {
	*bucket.Purse
	waiting int
	filled  chan struct{}
	dryAt   time.Time
}

// share is what this node may spend of an organisation's rate without a holder.
type share struct {
	tokens float64
	at     time.Time
}

// Service takes tokens for requests.
type Service struct {
	fleet  Fleet
	config *follow.Service
	log    *logrus.Entry
	now    func() time.Time

	mu      sync.Mutex
	began   time.Time
	claim   claim
	parts   map[string]*bucket.Bucket
	purses  map[claimant]*purse
	shares  map[string]share
	asked   time.Time
	drawing bool
	// missing is the part of the nodes known that this node does not hear.
	missing float64
	// minority is set while this node hears too few of the others to hold.
	minority bool
	// unanswered is when the first draw was sent that had no answer since.
	unanswered time.Time
}

// New returns a service without a holder; now is its clock.
func New(now func() time.Time, fleet Fleet, config *follow.Service, log *logrus.Entry) *Service {
	return &Service{
		fleet: fleet, config: config, log: log, now: now, began: now(),
		parts: map[string]*bucket.Bucket{}, purses: map[claimant]*purse{}, shares: map[string]share{},
	}
}

// Result is what came of taking a token: Taken, Standing or Exceeded.
type Result int

// The results. Standing means that the token came from the share that needs no
// holder.
const (
	Taken Result = iota
	Standing
	Exceeded
)

// String is the word in logs.
func (r Result) String() string { return [...]string{"taken", "standing", "exceeded"}[r] }

// RetryAfter is when a caller over the rate may return.
func RetryAfter() time.Duration { return comeBack }

// Take spends one token of an organisation for a request on a route of some
// rank, 0 the highest, waiting a short time for the holder's answer.
func (s *Service) Take(ctx context.Context, now time.Time, org *rules.Organisation, rank int) Result {
	if org.Rate <= 0 {
		return Taken
	}
	s.mu.Lock()
	p := s.purseOf(claimant{org.Name, rank > 0})
	p.Count(now)
	if p.Spend(now) {
		if p.Want(now, 0) > 0 {
			s.ask(now)
		}
		s.mu.Unlock()
		return Taken
	}
	if p.IsDry(now) {
		s.mu.Unlock()
		return Exceeded
	}
	if s.holderMissing(now) {
		defer s.mu.Unlock()
		if s.standing(now, org) {
			return Standing
		}
		return Exceeded
	}
	p.waiting++
	var filled <-chan struct{} = p.filled
	s.ask(now)
	s.mu.Unlock()
	timer := time.NewTimer(drawPatience)
	defer timer.Stop()
	result, waits := Exceeded, true
	for waits {
		select {
		case <-filled:
		case <-timer.C:
			waits = false
		case <-ctx.Done():
			waits = false
		}
		s.mu.Lock()
		result, filled = s.retake(s.now(), now, org, p)
		waits = waits && result == Exceeded && p.dryAt.Before(now)
		s.mu.Unlock()
	}
	s.mu.Lock()
	p.waiting--
	s.mu.Unlock()
	return result
}

// retake tries again after a wait. The mutex is held.
func (s *Service) retake(now, began time.Time, org *rules.Organisation, p *purse) (Result, <-chan struct{}) {
	switch {
	case p.Spend(now):
		return Taken, p.filled
	case !p.dryAt.Before(began):
		return Exceeded, p.filled
	case s.holderMissing(now) && s.standing(now, org):
		return Standing, p.filled
	}
	return Exceeded, p.filled
}

// holderMissing reports whether draws have gone unanswered for long. The mutex
// is held.
func (s *Service) holderMissing(now time.Time) bool {
	if s.claim.Holder == "" || s.resigned() {
		return true
	}
	return !s.unanswered.IsZero() && now.Sub(s.unanswered) > missingAfter
}

// resigned reports whether this node is the holder but has lost touch with the
// majority, which may follow another by now. The mutex is held.
func (s *Service) resigned() bool {
	return s.minority && s.claim.Holder == s.fleet.Self().ID
}

// standing spends from this node's share that needs no holder. The mutex is
// held.
func (s *Service) standing(now time.Time, org *rules.Organisation) bool {
	ids, known := s.fleet.Running(now)
	part := standingPart
	if s.claim.Epoch == 0 && len(ids) > 1 {
		part = freshPart
	}
	rate := org.Rate * part / float64(max(known, 2))
	own, ok := s.shares[org.Name]
	if !ok {
		own.tokens = 1
	} else {
		own.tokens = min(standingBurst, own.tokens+rate*now.Sub(own.at).Seconds())
	}
	own.at = now
	spends := own.tokens >= 1
	if spends {
		own.tokens--
	}
	s.shares[org.Name] = own
	return spends
}

// Refund gives back the token of a request that did not run.
func (s *Service) Refund(now time.Time, org *rules.Organisation, rank int) {
	if org == nil || org.Rate <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purseOf(claimant{org.Name, rank > 0}).Refund(now)
}

func (s *Service) purseOf(whose claimant) *purse {
	p, ok := s.purses[whose]
	if !ok {
		p = &purse{Purse: bucket.NewPurse(), filled: make(chan struct{})}
		s.purses[whose] = p
	}
	return p
}

// ask starts a draw unless one is under way. The mutex is held.
func (s *Service) ask(now time.Time) {
	s.askAfter(max(0, drawEvery-now.Sub(s.asked)))
}

// askAfter starts a draw after a wait unless one is to come already. The mutex
// is held.
func (s *Service) askAfter(wait time.Duration) {
	if s.drawing {
		return
	}
	s.drawing = true
	time.AfterFunc(wait, func() { s.draw(s.now()) })
}

// draw asks the holder for what all purses want.
func (s *Service) draw(now time.Time) {
	self := s.fleet.Self().ID
	s.mu.Lock()
	s.drawing, s.asked = false, now
	holder := s.claim
	m := message{Epoch: holder.Epoch, Asked: now.UnixNano()}
	again := false
	for whose, p := range s.purses {
		if want := p.Want(now, p.waiting); want > 0 {
			ask := p.Ask(self, bucket.Source{Epoch: holder.Epoch}, want)
			ask.Now = p.waiting
			if whose.Low {
				ask.Keep = keepPart
			}
			m.Draws = append(m.Draws, draw{whose, ask})
			again = again || p.waiting > 0
		}
	}
	if again && holder.Holder != self {
		s.askAfter(redrawAfter)
	}
	if len(m.Draws) == 0 || holder.Holder == "" || s.resigned() {
		s.mu.Unlock()
		return
	}
	if s.unanswered.IsZero() {
		s.unanswered = now
	}
	if holder.Holder == self {
		s.fill(now, s.grant(now, self, m))
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	if err := s.fleet.Send(now, holder.Holder, Name, m); err != nil {
		s.log.WithError(err).Debug("draw not sent")
	}
}

// grant serves a draw. The mutex is held.
func (s *Service) grant(now time.Time, drawer string, m message) message {
	answer := message{Epoch: s.claim.Epoch, Asked: m.Asked}
	c := s.config.Get()
	if c == nil {
		return answer
	}
	for _, d := range m.Draws {
		org := c.Rules.ByName(d.Organisation)
		if org == nil {
			continue
		}
		ask := d.Request
		ask.Node = drawer
		answer.Grants = append(answer.Grants, granted{d.claimant, s.partOf(now, org).Draw(now, ask)})
	}
	return answer
}

// partOf is the bucket of an organisation at its holder. Nodes that are not heard
// may be cut off and spend their standing share, which is held back here.
func (s *Service) partOf(now time.Time, org *rules.Organisation) *bucket.Bucket {
	terms := bucket.Limits{Rate: org.Rate * (overage - standingPart*s.missing), Burst: org.Burst * overage}
	p, ok := s.parts[org.Name]
	if !ok {
		p = bucket.New(now, terms, bucket.Whole)
		s.parts[org.Name] = p
	}
	p.SetTerms(now, terms)
	return p
}

// fill takes grants. The mutex is held.
func (s *Service) fill(now time.Time, m message) {
	asked := time.Unix(0, m.Asked)
	s.unanswered = time.Time{}
	for _, g := range m.Grants {
		p, ok := s.purses[g.claimant]
		if !ok {
			continue
		}
		if g.Tokens == 0 {
			p.Dry(now)
			p.dryAt = now
		} else {
			p.Add(asked, bucket.Source{Epoch: m.Epoch}, g.Grant)
		}
		close(p.filled)
		p.filled = make(chan struct{})
	}
}

// Message implements roster.Topic.
func (s *Service) Message(now time.Time, from string, body json.RawMessage) {
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		s.log.WithError(err).WithField("peer", from).Warn("draw can't be read")
		return
	}
	s.mu.Lock()
	if len(m.Draws) == 0 {
		s.fill(now, m)
		s.mu.Unlock()
		return
	}
	if s.claim.Holder != s.fleet.Self().ID || s.minority {
		s.mu.Unlock()
		return
	}
	answer := s.grant(now, from, m)
	s.mu.Unlock()
	if err := s.fleet.Send(now, from, Name, answer); err != nil {
		s.log.WithError(err).Debug("grant not sent")
	}
}

// Note implements roster.Topic.
func (s *Service) Note() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claim.Holder == "" {
		return nil
	}
	text, err := json.Marshal(s.claim)
	if err != nil {
		s.log.WithError(err).Error("claim can't be written")
		return nil
	}
	return text
}

// Noted implements roster.Topic.
func (s *Service) Noted(_ time.Time, from string, note json.RawMessage) {
	var c claim
	if err := json.Unmarshal(note, &c); err != nil {
		s.log.WithError(err).WithField("peer", from).Warn("claim can't be read")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.outranks(s.claim) {
		s.adopt(c)
	}
}

// adopt follows another holder. What this node granted stays valid for the
// life of a token, which the next holder allows for. The mutex is held.
func (s *Service) adopt(c claim) {
	s.log.WithFields(logrus.Fields{"holder": c.Holder, "epoch": c.Epoch, "was": s.claim.Holder}).Info("holder of the rates changed")
	s.claim, s.unanswered = c, time.Time{}
	clear(s.parts)
}

// elect makes this node the holder when there is none and it is the first of a
// majority.
func (s *Service) elect(now time.Time) {
	self := s.fleet.Self()
	ids, known := s.fleet.Running(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minority = 2*len(ids) <= known
	s.missing = float64(max(known-len(ids), 0)) / float64(max(known, 1))
	s.fillParts(now, self.ID)
	if now.Sub(s.began) < settleTime || self.Leaving || s.holderRuns(now) {
		return
	}
	if len(ids) == 0 || ids[0] != self.ID || s.minority {
		return
	}
	s.adopt(claim{Epoch: s.claim.Epoch + 1, Holder: self.ID})
}

// fillParts lets the buckets of all organisations fill up from when this node
// became holder, whether or not anybody draws. The mutex is held.
func (s *Service) fillParts(now time.Time, self string) {
	c := s.config.Get()
	if c == nil || s.claim.Holder != self {
		return
	}
	for i := range c.Rules.Organisations {
		if org := &c.Rules.Organisations[i]; org.Rate > 0 {
			s.partOf(now, org)
		}
	}
}

// holderRuns reports whether the holder seems to run. The mutex is held.
func (s *Service) holderRuns(now time.Time) bool {
	if s.claim.Holder == "" {
		return false
	}
	if s.claim.Holder == s.fleet.Self().ID {
		return true
	}
	r, ok := s.fleet.Get(s.claim.Holder)
	return ok && !r.Gone() && !r.Leaving && !s.fleet.Silent(now, r.ID)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every(electEvery, func(context.Context) { s.elect(s.now()) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, levels := s.now(), map[string]string{}
	for name, p := range s.parts {
		levels[name] = fmt.Sprintf("%.0f, %.0f outstanding", p.Level(now), p.Outstanding())
	}
	return struct {
		Claim  claim             `json:"claim"`
		Levels map[string]string `json:"levels,omitempty"`
	}{s.claim, levels}
}
