package active

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/ring"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "config"

const (
	// watchTimeout is how long one watch waits at the platform.
	watchTimeout = 25 * time.Second
	// watcherCheckInterval is how often a node that doesn't watch asks whether it should.
	watcherCheckInterval = 2 * time.Second
	// catchUp is how long a new node prefers its peers' version to an older one
	// of the platform.
	catchUp = 10 * time.Second
	// maxHistory is the number of heads kept for peers.
	maxHistory = 32
	// offerQueueSize is the room for heads heard from peers and not yet looked at.
	offerQueueSize = 16
)

// Config is one accepted configuration. It is never changed.
type Config struct {
	Head  Head
	Text  []byte
	Index *manifest.Index
	// Since is when this node put it in force.
	Since time.Time
}

// peersName is the service that knows peers.
const peersName = "gossip"

// Peers is where texts come from besides the platform.
type Peers interface {
	// FetchUpdate returns what a peer has in force beyond a version.
	FetchUpdate(ctx context.Context, address string, have uint64) (Update, error)
	// IsWatcher reports whether this node is one of its availability zone's
	// watchers of the platform.
	IsWatcher() bool
	// BroadcastHead tells peers about a new head.
	BroadcastHead(h Head)
	// AwaitPeers waits until the peers that are known at the start were asked,
	// each once.
	AwaitPeers(ctx context.Context)
}

// Update brings a node from one version to a later one: by the heads in between,
// each with a delta, or by the whole text of the last.
type Update struct {
	Heads []Head `json:"heads"`
	Text  []byte `json:"text,omitempty"`
}

// Offer is a head heard from a peer.
type Offer struct {
	Head    Head
	Address string
}

// Service keeps the configuration in force.
type Service struct {
	store  *object.Client
	log    *logrus.Entry
	offers *ring.Ring[Offer]

	current atomic.Pointer[Config]
	// maxPeerVersion is the greatest version that a peer told of.
	maxPeerVersion  atomic.Uint64
	mu     sync.Mutex
	ready  chan struct{}
	peers Peers
	lastError   string
	// history holds the latest heads, for peers that are a little behind.
	history []Head
}

// New returns the service without a configuration.
func New(store *object.Client, log *logrus.Entry) *Service {
	return &Service{
		store:  store,
		log:    log,
		offers: ring.New[Offer](offerQueueSize),
		ready:  make(chan struct{}),
	}
}

// Get returns the configuration in force, or nil before the first one.
func (s *Service) Get() *Config { return s.current.Load() }

// Ready is closed when the first configuration is in force.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Version is the version in force, or 0.
func (s *Service) Version() uint64 {
	if c := s.Get(); c != nil {
		return c.Head.Version
	}
	return 0
}

// HandleOffer takes note of a head heard from a peer; it never blocks.
func (s *Service) HandleOffer(o Offer) {
	for {
		heard := s.maxPeerVersion.Load()
		if o.Head.Version <= heard || s.maxPeerVersion.CompareAndSwap(heard, o.Head.Version) {
			break
		}
	}
	if o.Head.Version > s.Version() {
		s.offers.Push(o)
	}
}

// Accept puts a configuration in force if its version is above the present
// one. It reports whether it did.
func (s *Service) Accept(now time.Time, head Head, text []byte) (bool, error) {
	if Digest(text) != head.Digest {
		return false, trace.BadParameter("configuration %d: the digest is another", head.Version)
	}
	m, err := manifest.Parse(text)
	if err != nil {
		return false, fmt.Errorf("configuration %d: %w", head.Version, err)
	}
	index, err := manifest.NewIndex(m)
	if err != nil {
		return false, fmt.Errorf("configuration %d: %w", head.Version, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.Version <= s.Version() {
		return false, nil
	}
	first := s.Get() == nil
	s.current.Store(&Config{Head: head, Text: text, Index: index, Since: now})
	s.history = append(s.history, head)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	if first {
		close(s.ready)
	}
	s.log.WithField("version", head.Version).WithField("by", head.By).Info("configuration in force")
	return true, nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.peers, err = kernel.Find[Peers](k, peersName); err != nil {
		return fmt.Errorf("find where texts come from: %w", err)
	}
	k.Go(s.watch)
	k.Go(s.handleOffers)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// watch waits at the platform for new heads while this node is a watcher, or
// has no configuration yet.
func (s *Service) watch(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var backoff object.Backoff
	var seen uint64
	s.peers.AwaitPeers(ctx)
	began := time.Now()
	for ctx.Err() == nil {
		if s.Get() != nil && !s.peers.IsWatcher() {
			kernel.Pause(ctx, watcherCheckInterval)
			continue
		}
		o, err := s.store.Watch(ctx, HeadKey, seen, watchTimeout)
		switch {
		case trace.IsNotFound(err):
			backoff = backoff.WithSuccess()
			continue
		case err != nil:
			backoff = backoff.WithFailure()
			s.recordError("platform: " + err.Error())
			kernel.Pause(ctx, backoff.Wait(random))
			continue
		}
		backoff = backoff.WithSuccess()
		seen = o.Version
		s.recordError("")
		if err := s.applyHead(ctx, o.Value, time.Since(began) < catchUp); err != nil {
			seen = 0
			backoff = backoff.WithFailure()
			s.recordError(err.Error())
			kernel.Pause(ctx, backoff.Wait(random))
		}
	}
	return nil
}

// recordError keeps the last trouble for the dump and logs it once.
func (s *Service) recordError(trouble string) {
	s.mu.Lock()
	changed := s.lastError != trouble
	s.lastError = trouble
	s.mu.Unlock()
	if changed && trouble != "" {
		s.log.Warn(trouble)
	}
}

// applyHead puts the version that a head object names in force. While a new
// node catches up, it doesn't take one that is older than what its peers have:
// the platform may be behind.
func (s *Service) applyHead(ctx context.Context, value []byte, catchingUp bool) error {
	head, err := DecodeHead(value)
	if err != nil {
		return err
	}
	if catchingUp && s.Get() == nil && head.Version < s.maxPeerVersion.Load() {
		return trace.CompareFailed("the platform has version %d, peers have %d", head.Version, s.maxPeerVersion.Load())
	}
	if head.Version <= s.Version() {
		return nil
	}
	text, err := s.readText(ctx, head)
	if err != nil {
		return err
	}
	return s.apply(head, text)
}

// readText makes the text of a head by its delta or reads it whole.
func (s *Service) readText(ctx context.Context, head Head) ([]byte, error) {
	if text, ok := s.applyDelta(head); ok {
		return text, nil
	}
	o, err := s.store.Get(ctx, TextKey(head.ShipID))
	if err != nil {
		return nil, fmt.Errorf("read configuration %d: %w", head.Version, err)
	}
	return o.Value, nil
}

func (s *Service) applyDelta(head Head) ([]byte, bool) {
	c := s.Get()
	if c == nil || head.Delta == nil || head.Version != c.Head.Version+1 {
		return nil, false
	}
	text, err := head.Delta.Apply(c.Text, head.Digest)
	return text, err == nil
}

func (s *Service) apply(head Head, text []byte) error {
	accepted, err := s.Accept(time.Now(), head, text)
	if err != nil {
		return err
	}
	if accepted {
		s.peers.BroadcastHead(head)
	}
	return nil
}

// handleOffers looks at the heads that peers have told of.
func (s *Service) handleOffers(ctx context.Context) error {
	for {
		heard, err := s.offers.Take(ctx)
		if err != nil {
			return nil
		}
		for _, o := range heard {
			if err := s.applyOffer(ctx, o); err != nil {
				s.recordError("peer " + o.Address + ": " + err.Error())
			}
		}
	}
}

func (s *Service) applyOffer(ctx context.Context, o Offer) error {
	if o.Head.Version <= s.Version() {
		return nil
	}
	if text, ok := s.applyDelta(o.Head); ok {
		return s.apply(o.Head, text)
	}
	news, err := s.peers.FetchUpdate(ctx, o.Address, s.Version())
	if err != nil {
		return fmt.Errorf("fetch configuration %d: %w", o.Head.Version, err)
	}
	return s.applyUpdate(news)
}

func (s *Service) applyUpdate(news Update) error {
	if len(news.Heads) == 0 {
		return nil
	}
	if news.Text != nil {
		return s.apply(news.Heads[len(news.Heads)-1], news.Text)
	}
	for _, head := range news.Heads {
		text, ok := s.applyDelta(head)
		if !ok {
			return trace.BadParameter("configuration %d: its delta does not fit", head.Version)
		}
		if err := s.apply(head, text); err != nil {
			return err
		}
	}
	return nil
}

// UpdateSince returns what a node at a version needs to come up to this one.
func (s *Service) UpdateSince(have uint64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.Get()
	if c == nil || c.Head.Version <= have {
		return Update{}
	}
	for i, head := range s.history {
		if have > 0 && head.Version == have+1 && contiguousDeltas(s.history[i:]) {
			return Update{Heads: append([]Head(nil), s.history[i:]...)}
		}
	}
	return Update{Heads: []Head{c.Head}, Text: c.Text}
}

// contiguousDeltas reports whether heads follow each other, each with a delta.
func contiguousDeltas(heads []Head) bool {
	for i, head := range heads {
		if head.Delta == nil || head.Version != heads[0].Version+uint64(i) {
			return false
		}
	}
	return true
}

// State implements kernel.Service.
func (s *Service) State() any {
	state := struct {
		Head    *Head     `json:"head"`
		Since   time.Time `json:"since,omitzero"`
		Trouble string    `json:"trouble,omitempty"`
		Calls   uint64    `json:"platform_calls"`
	}{Calls: s.store.Calls()}
	if c := s.Get(); c != nil {
		head := c.Head
		head.Delta = nil
		state.Head, state.Since = &head, c.Since
	}
	s.mu.Lock()
	state.Trouble = s.lastError
	s.mu.Unlock()
	return state
}
