// Package quota enforces each organisation's rate and burst over all nodes. One
// node, the holder, keeps a token bucket for every organisation; the others draw
// small batches of tokens from it in datagrams.
//
// The first running node becomes holder once it can reach a majority of the known
// nodes, and stays holder until it is gone. A new holder starts with empty
// buckets, so a change of holder never grants a burst twice. A node that gets no
// answer from the holder spends from a small fallback share. The fallback shares
// and the holder's grants together stay within the tolerated overage.
//
// The other nodes may elect a successor once they have not heard of the holder for
// about a second. So a holder gives up its claim when it has not heard of them for
// almost as long, was paused, reaches no majority, or hears of another holder. It
// may be elected again like any other node.
package quota

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"chestnutshed.example/chestnutshed/internal/policy/returns"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service and of its roster topic.
const Name = "allowance"

const (
	// electInterval is the time between checks for a missing holder.
	electInterval = 250 * time.Millisecond
	// electionDelay is how long a node runs before it may become holder. By then
	// it has learned of an existing holder.
	electionDelay = 1200 * time.Millisecond
	// lapseTime is how long a holder keeps its claim without a message from another
	// node, and through a pause of its process. It is below the time after which
	// others suspect the holder, and below electionDelay, after which nodes that have
	// restarted elect one.
	lapseTime = 900 * time.Millisecond
	// bumpDelay is how long a holder knows of a greater epoch before it raises its own.
	// The claim of a holder with that epoch would have arrived by then.
	bumpDelay = 500 * time.Millisecond
	// settleTime is how long after an election all nodes that hear of it draw from the
	// holder. Nodes that still use their fallback share then can't hear it.
	settleTime = time.Second
	// deafRetention is how long a node counts as using its fallback share after it has
	// said so.
	deafRetention = 3 * time.Second
	// drawInterval is the minimum time between draws from the holder.
	drawInterval = 20 * time.Millisecond
	// drawRetryDelay is when an unanswered draw is sent again: several round trips
	// between availability zones.
	drawRetryDelay = 40 * time.Millisecond
	// drawTimeout is how long a request waits for the holder's answer. It covers
	// two lost datagrams.
	drawTimeout = 120 * time.Millisecond
	// holderTimeout is how long draws stay unanswered before the fallback share is
	// used.
	holderTimeout = 300 * time.Millisecond
	// probeInterval is how often one request still waits for a holder that leaves draws
	// unanswered. Without these, a node with little demand would draw no more and not
	// notice that the holder answers again.
	probeInterval = 250 * time.Millisecond
	// fallbackFraction is the fraction of an organisation's rate that all nodes
	// together may spend without a holder. The holder grants that much less for
	// the nodes it can't reach.
	fallbackFraction = 0.4
	// restartFraction replaces fallbackFraction on a node that reaches peers and
	// has learned of no holder since it started: the whole fleet has restarted. A
	// node that reaches no peer may have started alone, while a holder grants the
	// full rate to the others.
	restartFraction = 1.0
	// fallbackBurst is the maximum number of tokens in a node's fallback share.
	fallbackBurst = 2
	// tolerance is the factor on rate and burst that the platform's bounds permit, and
	// rateTolerance the factor on the rate that the holder grants. The difference is left
	// for the fallback shares of nodes that the holder does not know to be cut off yet.
	tolerance     = 1.1
	rateTolerance = 1.08
	// reservedFraction is the fraction of the burst that requests below the highest
	// rank leave unused, because callers that retry failed lookups would otherwise
	// use up the rate first. They may use the full rate while the bucket holds more
	// than that.
	reservedFraction = 0.2
	// placedReserve and unplacedReserve are the same for callers that come back, with a
	// place and without one.
	placedReserve   = 0.1
	unplacedReserve = 0.25
	// lowestPlacedRank is the lowest rank of requests that get places.
	lowestPlacedRank = 1
	// maxReach bounds how far ahead places are given, and maxPlaces how many a node keeps
	// for callers to come. maxWait bounds the wait that a holder tells.
	maxReach  = 10 * time.Second
	maxPlaces = 100
	maxWait   = time.Minute
	// shortFor is how long the holder's word is used on when there is a place. Without
	// it, unknownWait is told.
	shortFor    = 200 * time.Millisecond
	unknownWait = 700 * time.Millisecond
)

// Fleet is the part of the roster that the service uses.
type Fleet interface {
	Self() member.Record
	Running(now time.Time) (ids []string, known int)
	// Unmet is the number of nodes in the directory that this process has not met.
	Unmet(now time.Time) int
	// LastContact is when a message from another node last arrived; zero for never.
	LastContact() time.Time
	Silent(now time.Time, id string) bool
	Get(id string) (member.Record, bool)
	Send(now time.Time, id, topic string, body any) error
}

// class selects a token cache: the requests of an organisation that have the
// highest rank, or all its others, by whether they come back after a refusal.
type class struct {
	Organisation string       `json:"org"`
	LowRank      bool         `json:"low,omitempty"`
	Turn         returns.Turn `json:"turn,omitempty"`
}

// reserve is the fraction of the burst that requests of a class leave to others.
func (c class) reserve() float64 {
	switch {
	case !c.LowRank:
		return 0
	case c.Turn == returns.WithPlace:
		return placedReserve
	case c.Turn == returns.WithoutPlace:
		return unplacedReserve
	}
	return reservedFraction
}

// request asks the holder for tokens of one class, and for places of callers that it
// refuses.
type request struct {
	class
	bucket.Request
	// Seek is the number of callers that want a place, and Reach how far ahead it may be,
	// in milliseconds.
	Seek  int   `json:"seek,omitempty"`
	Reach int64 `json:"reach,omitempty"`
}

// grant answers a request.
type grant struct {
	class
	bucket.Grant
	// Places is the number of places: the first after Wait, the others every Step, in
	// milliseconds. Without places, Wait is when the next is free.
	Places int     `json:"places,omitempty"`
	Wait   int64   `json:"wait,omitempty"`
	Step   float64 `json:"step,omitempty"`
}

// message carries requests to the holder, or its grants.
type message struct {
	Epoch uint64 `json:"e"`
	// SentAt is the requester's clock in nanoseconds, echoed in the answer.
	SentAt int64     `json:"at"`
	Draws  []request `json:"draws,omitempty"`
	Grants []grant   `json:"grants,omitempty"`
	// Successor is set in the message of a new holder to the former one.
	Successor string `json:"heir,omitempty"`
}

// cache holds the tokens that this node has drawn for one class.
type cache struct {
	*bucket.Cache
	waiting     int
	refilled    chan struct{}
	exhaustedAt time.Time
	// refused is the number of callers refused since the last draw, and reach how far
	// ahead a place of the last one may be.
	refused int
	reach   time.Duration
	// places are the times of places from the holder that no caller has been told yet.
	places []time.Time
	// shortUntil is when the holder has the next free place, as said at shortAt.
	shortUntil, shortAt time.Time
}

// want is the number of tokens to draw now. Those for returning callers are not drawn ahead,
// since first requests could not use them.
func (p *cache) want(now time.Time, of class) int {
	want := p.Deficit(now, p.waiting)
	if of.Turn != returns.First {
		want = min(want, p.waiting)
	}
	return want
}

// place removes the first place that is not past and returns the wait for it.
func (p *cache) place(now time.Time, reach time.Duration) (time.Duration, bool) {
	p.places = slices.DeleteFunc(p.places, func(at time.Time) bool { return at.Before(now) })
	if len(p.places) == 0 || p.places[0].Sub(now) > reach {
		return 0, false
	}
	wait := p.places[0].Sub(now)
	p.places = p.places[1:]
	return wait, true
}

// addPlaces stores what the holder says of places. Those beyond what a holder gives are
// ignored.
func (p *cache) addPlaces(now time.Time, g grant) {
	if g.Wait <= 0 {
		return
	}
	wait := time.Duration(min(g.Wait, maxWait.Milliseconds())) * time.Millisecond
	if g.Places <= 0 {
		p.shortUntil, p.shortAt = now.Add(wait), now
	}
	for i := range min(g.Places, maxPlaces-len(p.places)) {
		ahead := wait.Seconds() + float64(i)*g.Step/1000
		if ahead < 0 || ahead > maxReach.Seconds() {
			break
		}
		p.places = append(p.places, now.Add(time.Duration(ahead*float64(time.Second))))
	}
	slices.SortFunc(p.places, time.Time.Compare)
}

// fallback is this node's share of an organisation's rate without a holder.
type fallback struct {
	tokens  float64
	updated time.Time
}

// Service takes quota tokens for requests, and serves draws on the holder.
type Service struct {
	fleet  Fleet
	config *confsync.Service
	log    *logrus.Entry
	now    func() time.Time

	mu sync.Mutex
	// electableFrom is when this node may become holder. By then it has learned of an
	// existing one.
	electableFrom time.Time
	claim         claim
	// seen is the greatest epoch of any claim that this node has heard of. After a
	// restart of other nodes their epochs may be lower.
	seen uint64
	// lastActive is when this process last ran a step or handled a request.
	lastActive  time.Time
	buckets     map[string]*bucket.Bucket
	caches      map[class]*cache
	fallbacks   map[string]fallback
	lines       map[string]returns.Line
	lastDraw    time.Time
	drawPending bool
	// alone is set while no other node is known.
	alone bool
	// heldSince is when this node became holder. Deaf are the nodes that use their fallback
	// share although they are reached, with the time when they last said so.
	heldSince time.Time
	deaf      map[string]time.Time
	// behindSince is since when a holder knows of an epoch greater than its own; zero if
	// it knows of none.
	behindSince time.Time
	// missingFraction is the fraction of the known nodes that this node can't reach.
	missingFraction float64
	// unansweredSince is when the first draw since the last answer was sent; zero
	// if none is outstanding.
	unansweredSince time.Time
	// probedAt is when a request last waited for a holder that leaves draws unanswered.
	probedAt time.Time
}

// New returns a service that has no holder yet; now is its clock.
func New(now func() time.Time, fleet Fleet, config *confsync.Service, log *logrus.Entry) *Service {
	return &Service{
		fleet: fleet, config: config, log: log, now: now, electableFrom: now().Add(electionDelay), lastActive: now(),
		buckets: map[string]*bucket.Bucket{}, caches: map[class]*cache{}, fallbacks: map[string]fallback{}, lines: map[string]returns.Line{}, deaf: map[string]time.Time{},
	}
}

// Result is the outcome of Take.
type Result int

// Results of Take. Fallback means that the token came from the fallback share.
const (
	Taken Result = iota
	Fallback
	Exceeded
)

// String is the value used in logs.
func (r Result) String() string { return [...]string{"taken", "standing", "exceeded"}[r] }

// Request is what a token is needed for.
type Request struct {
	// Rank is the rank of the request, 0 being the highest.
	Rank int
	// Turn says whether it comes back after a refusal.
	Turn returns.Turn
	// Reach is how far ahead a place may be to be of use to its caller.
	Reach time.Duration
}

// mayPlace reports whether the request may have a place. Places of less important requests
// would leave none in the time of more important ones.
func (r Request) mayPlace() bool { return r.Rank <= lowestPlacedRank }

// Refuse returns what a caller that got no token is told; u is uniform in [0, 1).
func (s *Service) Refuse(now time.Time, org *rules.Organisation, r Request, c returns.Caller, u float64) returns.Told {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.cacheOf(classOf(org, r))
	if r.mayPlace() {
		if wait, ok := p.place(now, c.Reach()); ok {
			return returns.Placed(wait)
		}
	}
	if now.Sub(p.shortAt) > shortFor {
		return returns.Unplaced(c, unknownWait, u)
	}
	return returns.Unplaced(c, p.shortUntil.Sub(now), u)
}

func classOf(org *rules.Organisation, r Request) class {
	if !r.mayPlace() {
		r.Turn = returns.First
	}
	return class{Organisation: org.Name, LowRank: r.Rank > 0, Turn: r.Turn}
}

// Take spends one token of an organisation. It waits at most drawTimeout for the holder's
// answer.
func (s *Service) Take(ctx context.Context, now time.Time, org *rules.Organisation, r Request) Result {
	if org.Rate <= 0 {
		return Taken
	}
	s.mu.Lock()
	s.checkLapse(now)
	p := s.cacheOf(classOf(org, r))
	if r.mayPlace() {
		p.reach = r.Reach
	}
	p.CountDemand(now)
	if p.Spend(now) {
		if p.Deficit(now, 0) > 0 {
			s.scheduleDraw(now)
		}
		s.mu.Unlock()
		return Taken
	}
	if p.Exhausted(now) {
		if r.mayPlace() {
			p.refused++
		}
		s.mu.Unlock()
		return Exceeded
	}
	if s.holderUnavailable(now) && !s.probesHolder(now) {
		defer s.mu.Unlock()
		if s.takeFallback(now, org) {
			return Fallback
		}
		return Exceeded
	}
	p.waiting++
	var refilled <-chan struct{} = p.refilled
	s.scheduleDraw(now)
	s.mu.Unlock()
	timer := time.NewTimer(drawTimeout)
	defer timer.Stop()
	result, again := Exceeded, true
	for again {
		select {
		case <-refilled:
		case <-timer.C:
			again = false
		case <-ctx.Done():
			again = false
		}
		current := s.now()
		s.mu.Lock()
		s.checkLapse(current)
		result, refilled = s.retry(current, now, org, p)
		again = again && result == Exceeded && p.exhaustedAt.Before(now)
		s.mu.Unlock()
	}
	s.mu.Lock()
	p.waiting--
	s.mu.Unlock()
	return result
}

// retry tries again to take a token for a request that began waiting at the given
// time. The mutex is held.
func (s *Service) retry(now, began time.Time, org *rules.Organisation, p *cache) (Result, <-chan struct{}) {
	switch {
	case p.Spend(now):
		return Taken, p.refilled
	case !p.exhaustedAt.Before(began):
		return Exceeded, p.refilled
	case s.holderUnavailable(now) && s.takeFallback(now, org):
		return Fallback, p.refilled
	}
	return Exceeded, p.refilled
}

// holderUnavailable reports whether there is no usable holder, or draws have been
// unanswered for longer than holderTimeout. The mutex is held.
func (s *Service) holderUnavailable(now time.Time) bool {
	if !s.claim.active() {
		return true
	}
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > holderTimeout
}

// probesHolder reports whether a request is to wait for a holder that leaves draws
// unanswered, to find out whether it still does. The mutex is held.
func (s *Service) probesHolder(now time.Time) bool {
	if !s.claim.active() || now.Sub(s.probedAt) < probeInterval {
		return false
	}
	s.probedAt = now
	return true
}

// takeFallback spends a token of this node's fallback share. The mutex is held.
func (s *Service) takeFallback(now time.Time, org *rules.Organisation) bool {
	ids, known := s.fleet.Running(now)
	fraction := fallbackFraction
	if s.claim.Epoch == 0 && len(ids) > 1 {
		fraction = restartFraction
	}
	rate := org.Rate * fraction / float64(max(known+s.fleet.Unmet(now), 2))
	own, ok := s.fallbacks[org.Name]
	if !ok {
		own.tokens = 1
	} else {
		own.tokens = min(fallbackBurst, own.tokens+rate*now.Sub(own.updated).Seconds())
	}
	own.updated = now
	spends := own.tokens >= 1
	if spends {
		own.tokens--
	}
	s.fallbacks[org.Name] = own
	return spends
}

// Refund returns the token of a request that did not run.
func (s *Service) Refund(now time.Time, org *rules.Organisation, r Request) {
	if org == nil || org.Rate <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheOf(classOf(org, r)).Refund(now)
}

// cacheOf returns the cache of a class, creating it if needed. The mutex is held.
func (s *Service) cacheOf(of class) *cache {
	p, ok := s.caches[of]
	if !ok {
		p = &cache{Cache: bucket.NewCache(), refilled: make(chan struct{})}
		s.caches[of] = p
	}
	return p
}

// scheduleDraw schedules a draw as soon as drawInterval permits, unless one is
// pending. The mutex is held.
func (s *Service) scheduleDraw(now time.Time) {
	s.scheduleDrawAfter(max(0, drawInterval-now.Sub(s.lastDraw)))
}

// scheduleDrawAfter schedules a draw after a delay, unless one is pending. The
// mutex is held.
func (s *Service) scheduleDrawAfter(wait time.Duration) {
	if s.drawPending {
		return
	}
	s.drawPending = true
	draw := func() { s.request(s.now()) }
	if wait <= 0 {
		go draw()
		return
	}
	time.AfterFunc(wait, draw)
}

// request asks the holder for the tokens that all caches are short of.
func (s *Service) request(now time.Time) {
	self := s.fleet.Self().ID
	s.mu.Lock()
	s.checkLapse(now)
	s.drawPending, s.lastDraw = false, now
	holder := s.claim
	m := message{Epoch: holder.Epoch, SentAt: now.UnixNano()}
	again := false
	for of, p := range s.caches {
		if want := p.want(now, of); want > 0 {
			ask := p.Request(self, bucket.Source{Epoch: holder.Epoch}, want)
			ask.Immediate = p.waiting
			ask.Reserve = of.reserve()
			draw := request{class: of, Request: ask}
			if seek := p.refused + p.waiting - len(p.places); p.reach > 0 && seek > 0 {
				draw.Seek, draw.Reach = seek, p.reach.Milliseconds()
			}
			p.refused = 0
			m.Draws = append(m.Draws, draw)
			again = again || p.waiting > 0
		}
	}
	if again && holder.Holder != self {
		s.scheduleDrawAfter(drawRetryDelay)
	}
	if len(m.Draws) == 0 || !holder.active() {
		s.mu.Unlock()
		return
	}
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	if holder.Holder == self {
		s.receive(now, s.serve(now, self, m))
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	if err := s.fleet.Send(now, holder.Holder, Name, m); err != nil {
		s.log.WithError(err).Debug("sending token request to holder failed")
	}
}

// serve grants tokens as the holder. The mutex is held.
func (s *Service) serve(now time.Time, node string, m message) message {
	answer := message{Epoch: s.claim.Epoch, SentAt: m.SentAt}
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
		ask.Node = node
		g := grant{class: d.class, Grant: s.bucketOf(now, org).Draw(now, ask)}
		if d.Seek > 0 && g.Tokens < max(ask.Immediate, 1) {
			s.place(now, org, d, &g)
		}
		answer.Grants = append(answer.Grants, g)
	}
	return answer
}

// place gives places to callers that get no token. The mutex is held.
func (s *Service) place(now time.Time, org *rules.Organisation, d request, g *grant) {
	reach := min(time.Duration(d.Reach)*time.Millisecond, maxReach)
	line, places := s.lines[org.Name].WithPlaces(now, d.Seek, reach, org.Rate)
	s.lines[org.Name] = line
	g.Places, g.Wait = places.Count, places.Wait.Milliseconds()
	g.Step = places.Step.Seconds() * 1000
}

// bucketOf returns the bucket of an organisation on its holder, with its current
// limits. Unreachable nodes may be partitioned and spend their fallback shares,
// which are subtracted here. The mutex is held.
func (s *Service) bucketOf(now time.Time, org *rules.Organisation) *bucket.Bucket {
	limits := bucket.Limits{Rate: org.Rate * (rateTolerance - fallbackFraction*s.missingFraction), Burst: org.Burst * tolerance}
	p, ok := s.buckets[org.Name]
	if !ok {
		p = bucket.New(now, limits, bucket.Exclusive)
		s.buckets[org.Name] = p
	}
	p.SetLimits(now, limits)
	return p
}

// receive adds grants to the caches and wakes waiting requests. The mutex is held.
func (s *Service) receive(now time.Time, m message) {
	sentAt := time.Unix(0, m.SentAt)
	s.unansweredSince = time.Time{}
	for _, g := range m.Grants {
		p, ok := s.caches[g.class]
		if !ok {
			continue
		}
		if g.Tokens == 0 {
			p.MarkExhausted(now)
			p.exhaustedAt = now
		} else {
			p.Add(sentAt, bucket.Source{Epoch: m.Epoch}, g.Grant)
		}
		p.addPlaces(now, g)
		close(p.refilled)
		p.refilled = make(chan struct{})
	}
}

// Message implements roster.Topic.
func (s *Service) Message(now time.Time, from string, body json.RawMessage) {
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		s.log.WithError(err).WithField("peer", from).Warn("decoding quota message failed")
		return
	}
	s.mu.Lock()
	s.checkLapse(now)
	if m.Successor != "" {
		s.seen = max(s.seen, m.Epoch)
		if c := (claim{Epoch: m.Epoch, Holder: m.Successor}); c.supersedes(s.claim) {
			s.follow(c)
		}
		s.mu.Unlock()
		return
	}
	if len(m.Draws) == 0 {
		s.receive(now, m)
		s.mu.Unlock()
		return
	}
	if !s.holds() {
		s.mu.Unlock()
		return
	}
	answer := s.serve(now, from, m)
	s.mu.Unlock()
	if err := s.fleet.Send(now, from, Name, answer); err != nil {
		s.log.WithError(err).Debug("sending token grant failed")
	}
}

// refillBuckets creates and refills the buckets of all organisations on the
// holder, so that they fill from its election on, even without draws. The mutex is
// held.
func (s *Service) refillBuckets(now time.Time) {
	c := s.config.Get()
	if c == nil || !s.holds() {
		return
	}
	for i := range c.Rules.Organisations {
		if org := &c.Rules.Organisations[i]; org.Rate > 0 {
			s.bucketOf(now, org)
		}
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every(electInterval, func(context.Context) { s.elect(s.now()) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, levels := s.now(), map[string]string{}
	for name, p := range s.buckets {
		levels[name] = fmt.Sprintf("%.0f, %.0f outstanding", p.Level(now), p.Outstanding())
	}
	return struct {
		Claim  claim             `json:"claim"`
		Levels map[string]string `json:"levels,omitempty"`
	}{s.claim, levels}
}
