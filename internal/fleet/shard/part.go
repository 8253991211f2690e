// Package part keeps each organisation within its rate and burst fleet-wide.
//
// Every part of an organisation's bucket has one holder, agreed by conditional
// writes at the platform. Nodes draw batches of tokens from the holders. A
// holder whose lease lapsed and the successor that follows it each hand out
// only half until there is positive evidence that the former one stopped.
package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/current"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/ring"
	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
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
	g.AddTopic((*topic)(s))
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
		g := h.draw(now, termsOf(org), a.Request)
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
			h.bucket.Extend(now, a.Node)
		}
	}
}

func termsOf(org *manifest.Organisation) bucket.Limits {
	return bucket.Limits{Rate: org.Rate, Burst: org.Burst}.Divide(org.Parts)
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
