// Package part keeps each organisation within its rate and burst fleet-wide.
//
// Every part of an organisation's bucket has one holder, agreed by conditional
// writes at the platform. Nodes draw batches of tokens from the holders. A
// holder whose lease lapsed and the successor that follows it each hand out
// only half until there is positive evidence that the former one stopped.
package part

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/current"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/ring"
	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "parts"

const (
	// patience is how long a request waits for a token.
	patience = 150 * time.Millisecond
	// orphanPatience is how long a request waits while no holder answers.
	orphanPatience = 2 * time.Second
	// drawEvery is the time between looks at the purses.
	drawEvery = 50 * time.Millisecond
	// drawTimeout bounds one draw.
	drawTimeout = 400 * time.Millisecond
	// wakes is the room for organisations whose requests wait.
	wakes = 1024
	// maxAsk bounds a draw message, in bytes.
	maxAsk = 1 << 20
)

// drawPath is the path of draws between nodes.
const drawPath = "/peer/draw"

// Service holds parts and draws tokens.
type Service struct {
	config *current.Service
	gossip *gossip.Service
	client *peers.Client
	store  *object.Client
	log    *logrus.Entry
	wake   *ring.Ring[string]

	mu     sync.Mutex
	holds  map[claim.Part]*held
	known  map[claim.Part]claim.Record
	seen   map[claim.Part]sighting
	since  map[claim.Part]firstSight
	purses map[string]*purse
	// asking holds the addresses of holders that a draw is under way to.
	asking map[string]bool
	// stopped is set once this node takes no more parts.
	stopped bool
}

// purse is a bucket.Purse and those who wait for it.
type purse struct {
	*bucket.Purse
	waiting int
	filled  chan struct{}
	// dryAt is when a holder last had no token.
	dryAt time.Time
}

// New returns the service.
func New(config *current.Service, g *gossip.Service, client *peers.Client, store *object.Client, log *logrus.Entry) *Service {
	s := &Service{
		config: config,
		gossip: g,
		client: client,
		store:  store,
		log:    log,
		wake:   ring.New[string](wakes),
		holds:  map[claim.Part]*held{},
		known:  map[claim.Part]claim.Record{},
		seen:   map[claim.Part]sighting{},
		since:  map[claim.Part]firstSight{},
		purses: map[string]*purse{},
		asking: map[string]bool{},
	}
	g.Share((*topic)(s))
	return s
}

// Routes adds the handler to the peers' listener.
func (s *Service) Routes(p *peers.Service) { p.Handle("POST "+drawPath, s.serveDraw) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(s.keep)
	k.Go(s.draw)
	return nil
}

// Take spends one token of an organisation, waiting a short time for one. It
// returns failure.RateExceeded when the holders have none, and
// failure.NotReady when no holder answers for longer.
func (s *Service) Take(ctx context.Context, organisation string) *failure.Refusal {
	began := time.Now()
	// dry is when a holder first answered this request that it has no token.
	var dry time.Time
	for first := true; ; first = false {
		filled, ok := s.tryTake(organisation, first)
		if ok {
			return nil
		}
		s.await(ctx, filled, began)
		s.unwait(organisation)
		if at := s.lastDry(organisation); dry.IsZero() && at.After(began) {
			dry = at
		}
		switch {
		case !dry.IsZero() && (time.Since(dry) >= patience || ctx.Err() != nil):
			return failure.New(failure.RateExceeded, "the organisation is over its rate").WithAfter(time.Second)
		case time.Since(began) >= orphanPatience || ctx.Err() != nil:
			return failure.New(failure.NotReady, "no holder of the organisation's rate answers").WithAfter(time.Second)
		}
	}
}

// await waits for tokens, for a part of the patience at a time.
func (s *Service) await(ctx context.Context, filled <-chan struct{}, began time.Time) {
	left := patience - time.Since(began)
	if left <= 0 {
		left = drawEvery
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-filled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lastDry is when a holder last said that it has no token.
func (s *Service) lastDry(organisation string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.purses[organisation]; ok {
		return p.dryAt
	}
	return time.Time{}
}

// tryTake spends a token, or registers as waiting and returns what is closed
// when tokens came.
func (s *Service) tryTake(organisation string, first bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.purses[organisation]
	if !ok {
		p = &purse{Purse: bucket.NewPurse(), filled: make(chan struct{})}
		s.purses[organisation] = p
	}
	now := time.Now()
	if first {
		p.Count(now)
	}
	if p.Spend(now) {
		if p.Want(now, 0) > 0 {
			s.wake.Push(organisation)
		}
		return nil, true
	}
	p.waiting++
	s.wake.Push(organisation)
	return p.filled, false
}

func (s *Service) unwait(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purses[organisation].waiting--
}

// draw fills purses as requests need it. A holder that doesn't answer holds
// nothing up but the draws from itself.
func (s *Service) draw(ctx context.Context) error {
	for {
		names, err := s.wake.Take(ctx)
		if err != nil {
			return nil
		}
		asked := time.Now()
		for address, asks := range s.plan(asked, names) {
			go func() {
				s.drawFrom(ctx, asked, address, asks)
				s.again(ctx, address, asks)
			}()
		}
	}
}

// again lets purses that are still empty be looked at a little later.
func (s *Service) again(ctx context.Context, address string, asks []partAsk) {
	s.mu.Lock()
	delete(s.asking, address)
	var hungry []string
	for _, a := range asks {
		name := a.Part.Organisation
		if p, ok := s.purses[name]; ok && p.waiting > 0 && !slices.Contains(hungry, name) {
			hungry = append(hungry, name)
		}
	}
	s.mu.Unlock()
	if len(hungry) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(drawEvery):
	}
	for _, name := range hungry {
		s.wake.Push(name)
	}
}

// partAsk is a draw from one part.
type partAsk struct {
	Part  claim.Part `json:"part"`
	Epoch uint64     `json:"epoch"`
	bucket.Ask
}

// partGrant is the answer to a partAsk.
type partGrant struct {
	Part  claim.Part `json:"part"`
	Epoch uint64     `json:"epoch"`
	bucket.Grant
}

type drawRequest struct {
	Asks []partAsk `json:"asks"`
}

type drawReply struct {
	Grants []partGrant `json:"grants"`
}

// plan divides what the purses want among the holders, by their addresses.
func (s *Service) plan(now time.Time, names []string) map[string][]partAsk {
	batches := map[string][]partAsk{}
	c := s.config.Get()
	if c == nil {
		return batches
	}
	self := s.gossip.Self().ID
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := map[string]bool{}
	for _, name := range names {
		org := c.Index.ByName(name)
		if org == nil || planned[name] {
			continue
		}
		planned[name] = true
		p := s.purses[name]
		want := p.Want(now, p.waiting)
		if want == 0 {
			continue
		}
		s.planOne(batches, org, p, want, self)
	}
	for address := range batches {
		s.asking[address] = true
	}
	return batches
}

func (s *Service) planOne(batches map[string][]partAsk, org *manifest.Organisation, p *purse, want int, self string) {
	each := (want + org.Parts - 1) / org.Parts
	for n := range org.Parts {
		id := claim.Part{Organisation: org.Name, Number: n}
		holder, ok := s.known[id]
		if !ok || s.asking[holder.Address] {
			continue
		}
		source := bucket.Source{Part: n, Epoch: holder.Epoch}
		ask := partAsk{Part: id, Epoch: holder.Epoch, Ask: p.Ask(self, source, each)}
		batches[holder.Address] = append(batches[holder.Address], ask)
	}
}

// drawFrom asks one holder and fills the purses with what it grants.
func (s *Service) drawFrom(ctx context.Context, asked time.Time, address string, asks []partAsk) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	var answer drawReply
	if address == s.gossip.Self().Address {
		answer = s.grant(asked, asks)
	} else if err := s.client.Ask(ctx, address, drawPath, drawRequest{asks}, &answer); err != nil {
		s.log.WithField("peer", address).Debug("draw failed: ", err)
		s.gossip.Unreached(address, err)
		return
	}
	s.fill(asked, answer.Grants)
}

func (s *Service) fill(asked time.Time, grants []partGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, g := range grants {
		p, ok := s.purses[g.Part.Organisation]
		if !ok {
			continue
		}
		if g.Tokens == 0 {
			p.Dry(now)
			p.dryAt = now
			continue
		}
		p.Add(asked, bucket.Source{Part: g.Part.Number, Epoch: g.Epoch}, g.Grant)
		close(p.filled)
		p.filled = make(chan struct{})
	}
}

func (s *Service) serveDraw(w http.ResponseWriter, r *http.Request) {
	var ask drawRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAsk)).Decode(&ask); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	answer := s.grant(time.Now(), ask.Asks)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
	s.answered(ask.Asks)
}

// grant hands out tokens of the parts that this node holds.
func (s *Service) grant(now time.Time, asks []partAsk) drawReply {
	var answer drawReply
	c := s.config.Get()
	if c == nil {
		return answer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range asks {
		h, ok := s.holds[a.Part]
		org := c.Index.ByName(a.Part.Organisation)
		if !ok || org == nil || a.Part.Number >= org.Parts || a.Epoch != h.record.Epoch {
			continue
		}
		g := h.draw(now, termsOf(org), a.Ask)
		answer.Grants = append(answer.Grants, partGrant{a.Part, a.Epoch, g})
	}
	return answer
}

// answered counts the life of new grants from after the answer was sent.
func (s *Service) answered(asks []partAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range asks {
		if h, ok := s.holds[a.Part]; ok {
			h.bucket.Extend(now, a.Drawer)
		}
	}
}

func termsOf(org *manifest.Organisation) bucket.Terms {
	return bucket.Terms{Rate: org.Rate, Burst: org.Burst}.Divide(org.Parts)
}

// Stop implements kernel.Service: it releases all parts, so that successors
// start without doubt.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	holds := s.holds
	s.holds = map[claim.Part]*held{}
	s.stopped = true
	s.mu.Unlock()
	var errs []error
	for id, h := range holds {
		if err := s.release(ctx, id, h); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (s *Service) release(ctx context.Context, id claim.Part, h *held) error {
	if !h.full {
		return nil
	}
	value, err := lease{Record: h.record, Released: true, Level: h.bucket.Level(time.Now())}.encode()
	if err != nil {
		return err
	}
	if _, err := s.store.Put(ctx, prefix+id.String(), value, h.version); err != nil {
		return fmt.Errorf("release part %s: %w", id, err)
	}
	return nil
}

// partState is one part in the dump.
type partState struct {
	Part        string  `json:"part"`
	Epoch       uint64  `json:"epoch"`
	Claim       string  `json:"claim"`
	Level       float64 `json:"level"`
	Outstanding float64 `json:"outstanding"`
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state := struct {
		Holds []partState    `json:"holds"`
		Known []claim.Record `json:"known"`
	}{}
	for id, h := range s.holds {
		h.bucket.SetClaim(now, h.claimAt(now))
		state.Holds = append(state.Holds, partState{
			Part:        id.String(),
			Epoch:       h.record.Epoch,
			Claim:       h.bucket.Claim().String(),
			Level:       h.bucket.Level(now),
			Outstanding: h.bucket.Outstanding(),
		})
	}
	for _, r := range s.known {
		state.Known = append(state.Known, r)
	}
	return state
}

// topic shares the claims of holders.
type topic Service

// Learn implements gossip.Topic.
func (t *topic) Learn(now time.Time, m gossip.Message) gossip.Message {
	s := (*Service)(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh gossip.Message
	for _, r := range m.Claims {
		if known, ok := s.known[r.Part]; ok && !r.Outranks(known) {
			continue
		}
		s.known[r.Part] = r
		if s.since[r.Part].epoch != r.Epoch {
			s.since[r.Part] = firstSight{r.Epoch, now}
		}
		fresh.Claims = append(fresh.Claims, r)
		if yielded, ok := s.heardClaim(now, r); ok {
			s.known[r.Part] = yielded
			fresh.Claims = append(fresh.Claims, yielded)
		}
	}
	return fresh
}

// heardClaim stops granting when another node holds the part by now, and says
// so; and takes the whole part when the former holder has said that it stopped.
func (s *Service) heardClaim(now time.Time, r claim.Record) (claim.Record, bool) {
	h, ok := s.holds[r.Part]
	if !ok {
		return r, false
	}
	if r.Holder == h.record.Holder {
		if r.Yielded && r.Epoch == h.record.Epoch && !h.full {
			h.becomeSole(now)
		}
		return r, false
	}
	if r.Epoch <= h.record.Epoch {
		return r, false
	}
	delete(s.holds, r.Part)
	r.Yielded = true
	return r, true
}

// Each implements gossip.Topic.
func (t *topic) Each(visit func(key string, hash uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.known {
		visit(id.String(), r.Hash())
	}
}

// Gather implements gossip.Topic.
func (t *topic) Gather(_ time.Time, match func(key string) bool) gossip.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m gossip.Message
	for id, r := range t.known {
		if match(id.String()) {
			m.Claims = append(m.Claims, r)
		}
	}
	return m
}

// provenGone reports whether an incarnation runs no more, on positive evidence.
func (s *Service) provenGone(id string) bool {
	gone := false
	s.gossip.Table(func(t *member.Table) {
		r, ok := t.Get(id)
		gone = ok && r.Proven
	})
	return gone
}
