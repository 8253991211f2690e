// Package shard enforces each organisation's rate and burst fleet-wide.
//
// An organisation's bucket is divided into shards. Every shard has one holder,
// elected by conditional writes to the platform's object store. Nodes draw batches
// of tokens from the holders. A holder whose lease has expired and its successor
// each grant only half of the shard, until there is positive evidence that the
// former holder has stopped.
package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
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

// Name is the name of the service.
const Name = "parts"

const (
	// tokenTimeout is how long a request waits for a token.
	tokenTimeout = 150 * time.Millisecond
	// noHolderTimeout is how long a request waits while no holder answers.
	noHolderTimeout = 2 * time.Second
	// drawInterval is the delay between attempts to draw tokens for waiting
	// requests.
	drawInterval = 50 * time.Millisecond
	// drawTimeout bounds one draw.
	drawTimeout = 400 * time.Millisecond
	// drawQueueSize is the capacity of the queue of organisations to draw for.
	drawQueueSize = 1024
	// maxDrawBytes is the maximum size of a draw message, in bytes.
	maxDrawBytes = 1 << 20
)

// drawPath is the URL path for draws between nodes.
const drawPath = "/peer/draw"

// Service holds shards and draws tokens.
type Service struct {
	config    *active.Service
	gossip    *gossip.Service
	client    *peers.Client
	store     *object.Client
	log       *logrus.Entry
	drawQueue *ring.Ring[string]

	mu       sync.Mutex
	held     map[claim.Shard]*heldShard
	known    map[claim.Shard]claim.Record
	observed map[claim.Shard]observation
	epochs   map[claim.Shard]epochSeen
	caches   map[string]*cache
	// drawing contains the addresses of holders with a draw in progress.
	drawing map[string]bool
	// stopped is set once this node takes over no more shards.
	stopped bool
}

// cache is a bucket.Cache with its waiting requests.
type cache struct {
	*bucket.Cache
	waiting  int
	refilled chan struct{}
	// exhaustedAt is when a holder last had no token.
	exhaustedAt time.Time
}

// New returns the service.
func New(config *active.Service, g *gossip.Service, client *peers.Client, store *object.Client, log *logrus.Entry) *Service {
	s := &Service{
		config:    config,
		gossip:    g,
		client:    client,
		store:     store,
		log:       log,
		drawQueue: ring.New[string](drawQueueSize),
		held:      map[claim.Shard]*heldShard{},
		known:     map[claim.Shard]claim.Record{},
		observed:  map[claim.Shard]observation{},
		epochs:    map[claim.Shard]epochSeen{},
		caches:    map[string]*cache{},
		drawing:   map[string]bool{},
	}
	g.AddTopic((*topic)(s))
	return s
}

// Routes adds the draw handler to the listener for peers.
func (s *Service) Routes(p *peers.Service) { p.Handle("POST "+drawPath, s.serveDraw) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(s.maintain)
	k.Go(s.runDraws)
	return nil
}

func (s *Service) serveDraw(w http.ResponseWriter, r *http.Request) {
	var request drawRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDrawBytes)).Decode(&request); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	answer := s.grant(time.Now(), request.Requests)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
	s.extendGrants(request.Requests)
}

// grant serves requests for tokens of the shards that this node holds.
func (s *Service) grant(now time.Time, requests []shardRequest) drawReply {
	var answer drawReply
	c := s.config.Get()
	if c == nil {
		return answer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range requests {
		h, ok := s.held[a.Shard]
		org := c.Index.OrganisationByName(a.Shard.Organisation)
		if !ok || org == nil || a.Shard.Number >= org.Parts || a.Epoch != h.record.Epoch {
			continue
		}
		g := h.draw(now, limitsOf(org), a.Request)
		answer.Grants = append(answer.Grants, shardGrant{a.Shard, a.Epoch, g})
	}
	return answer
}

// extendGrants restarts the TTL of new grants after the answer was sent.
func (s *Service) extendGrants(requests []shardRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range requests {
		if h, ok := s.held[a.Shard]; ok {
			h.bucket.Extend(now, a.Node)
		}
	}
}

func limitsOf(org *manifest.Organisation) bucket.Limits {
	return bucket.Limits{Rate: org.Rate, Burst: org.Burst}.Divide(org.Parts)
}

// Stop implements kernel.Service. It releases all shards, so that successors
// start with an exclusive lease.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	held := s.held
	s.held = map[claim.Shard]*heldShard{}
	s.stopped = true
	s.mu.Unlock()
	var errs []error
	for id, h := range held {
		if err := s.release(ctx, id, h); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (s *Service) release(ctx context.Context, id claim.Shard, h *heldShard) error {
	if !h.exclusive {
		return nil
	}
	value, err := lease{Record: h.record, Released: true, Level: h.bucket.Level(time.Now())}.encode()
	if err != nil {
		return err
	}
	if _, err := s.store.Put(ctx, keyPrefix+id.String(), value, h.version); err != nil {
		return fmt.Errorf("release shard %s: %w", id, err)
	}
	return nil
}

// shardState is one shard in State.
type shardState struct {
	Shard       string  `json:"part"`
	Epoch       uint64  `json:"epoch"`
	LeaseState  string  `json:"claim"`
	Level       float64 `json:"level"`
	Outstanding float64 `json:"outstanding"`
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state := struct {
		Holds []shardState   `json:"holds"`
		Known []claim.Record `json:"known"`
	}{}
	for id, h := range s.held {
		h.bucket.SetLeaseState(now, h.leaseState(now))
		state.Holds = append(state.Holds, shardState{
			Shard:       id.String(),
			Epoch:       h.record.Epoch,
			LeaseState:  h.bucket.LeaseState().String(),
			Level:       h.bucket.Level(now),
			Outstanding: h.bucket.Outstanding(),
		})
	}
	for _, r := range s.known {
		state.Known = append(state.Known, r)
	}
	return state
}
