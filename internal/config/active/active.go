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
	// watchTimeout is how long one long poll of the platform waits for a change.
	watchTimeout = 25 * time.Second
	// watcherCheckInterval is how often a node that is not a watcher checks
	// whether it has become one.
	watcherCheckInterval = 2 * time.Second
	// startupPeriod is how long a new node rejects a version from the platform
	// that is older than its peers' newest.
	startupPeriod = 10 * time.Second
	// maxHistory is the number of heads kept to update peers by deltas.
	maxHistory = 32
	// offerQueueSize is the maximum number of queued offers.
	offerQueueSize = 16
)

// Config is one accepted configuration. It is immutable.
type Config struct {
	Head  Head
	Text  []byte
	Index *manifest.Index
	// Since is when this node activated it.
	Since time.Time
}

// peersName is the kernel service that implements Peers.
const peersName = "gossip"

// Peers exchanges configurations with other nodes.
type Peers interface {
	// FetchUpdate fetches the update from version have to a peer's version.
	FetchUpdate(ctx context.Context, address string, have uint64) (Update, error)
	// IsWatcher reports whether this node is one of those in its availability
	// zone that watch the platform.
	IsWatcher() bool
	// BroadcastHead sends a new head to peers.
	BroadcastHead(h Head)
	// AwaitPeers waits until each peer known at startup has been queried once.
	AwaitPeers(ctx context.Context)
}

// Update takes a node from one version to a later one. It has either the heads
// of all versions in between, each with a delta, or the last head and its full
// text.
type Update struct {
	Heads []Head `json:"heads"`
	Text  []byte `json:"text,omitempty"`
}

// Offer is a head that a peer has sent, with the address of the peer.
type Offer struct {
	Head    Head
	Address string
}

// Service holds the active configuration and keeps it up to date.
type Service struct {
	store  *object.Client
	log    *logrus.Entry
	offers *ring.Ring[Offer]

	current atomic.Pointer[Config]
	// maxPeerVersion is the newest version offered by a peer.
	maxPeerVersion atomic.Uint64
	mu             sync.Mutex
	ready          chan struct{}
	peers          Peers
	lastError      string
	// history holds the latest heads, oldest first, to update peers by deltas.
	history []Head
}

// New returns a service without a configuration.
func New(store *object.Client, log *logrus.Entry) *Service {
	return &Service{
		store:  store,
		log:    log,
		offers: ring.New[Offer](offerQueueSize),
		ready:  make(chan struct{}),
	}
}

// Get returns the active configuration, or nil before the first.
func (s *Service) Get() *Config { return s.current.Load() }

// Ready returns a channel that is closed once there is a configuration.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Version returns the version of the active configuration, or 0 before the
// first.
func (s *Service) Version() uint64 {
	if c := s.Get(); c != nil {
		return c.Head.Version
	}
	return 0
}

// HandleOffer queues a head from a peer if it is newer than the active one. It
// never blocks.
func (s *Service) HandleOffer(o Offer) {
	for {
		maxPeerVersion := s.maxPeerVersion.Load()
		if o.Head.Version <= maxPeerVersion || s.maxPeerVersion.CompareAndSwap(maxPeerVersion, o.Head.Version) {
			break
		}
	}
	if o.Head.Version > s.Version() {
		s.offers.Push(o)
	}
}

// Accept activates a configuration if its version is newer than the active one,
// and reports whether it did. It returns an error if the text does not match the
// digest of the head or is not a valid manifest.
func (s *Service) Accept(now time.Time, head Head, text []byte) (bool, error) {
	if Digest(text) != head.Digest {
		return false, trace.BadParameter("configuration %d: digest mismatch", head.Version)
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
	s.log.WithField("version", head.Version).WithField("by", head.By).Info("new configuration version active")
	return true, nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.peers, err = kernel.Find[Peers](k, peersName); err != nil {
		return fmt.Errorf("find peers: %w", err)
	}
	k.Go(s.watch)
	k.Go(s.handleOffers)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// watch long-polls the platform for new heads while this node is a watcher or has
// no configuration yet.
func (s *Service) watch(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var backoff object.Backoff
	var seen uint64
	s.peers.AwaitPeers(ctx)
	started := time.Now()
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
		if err := s.applyHead(ctx, o.Value, time.Since(started) < startupPeriod); err != nil {
			seen = 0
			backoff = backoff.WithFailure()
			s.recordError(err.Error())
			kernel.Pause(ctx, backoff.Wait(random))
		}
	}
	return nil
}

// recordError keeps the last error for State and logs it if it has changed. An
// empty message clears it.
func (s *Service) recordError(message string) {
	s.mu.Lock()
	changed := s.lastError != message
	s.lastError = message
	s.mu.Unlock()
	if changed && message != "" {
		s.log.Warn(message)
	}
}

// applyHead activates the version of a head object if it is newer. During the
// startup period a node without a configuration rejects a version that is older
// than its peers' newest, because the platform may return stale data.
func (s *Service) applyHead(ctx context.Context, value []byte, startingUp bool) error {
	head, err := DecodeHead(value)
	if err != nil {
		return err
	}
	if startingUp && s.Get() == nil && head.Version < s.maxPeerVersion.Load() {
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

// readText returns the text of a head. It applies the head's delta if possible,
// and otherwise reads the full text from the platform.
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

// applyDelta returns the text of a head, made from the active text by the head's
// delta. It returns false if the head has no delta or does not directly follow
// the active version.
func (s *Service) applyDelta(head Head) ([]byte, bool) {
	c := s.Get()
	if c == nil || head.Delta == nil || head.Version != c.Head.Version+1 {
		return nil, false
	}
	text, err := head.Delta.Apply(c.Text, head.Digest)
	return text, err == nil
}

// apply activates a version and broadcasts its head if it was newer.
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

// handleOffers applies the offers from peers.
func (s *Service) handleOffers(ctx context.Context) error {
	for {
		batch, err := s.offers.Take(ctx)
		if err != nil {
			return nil
		}
		for _, o := range batch {
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
	update, err := s.peers.FetchUpdate(ctx, o.Address, s.Version())
	if err != nil {
		return fmt.Errorf("fetch configuration %d: %w", o.Head.Version, err)
	}
	return s.applyUpdate(update)
}

func (s *Service) applyUpdate(update Update) error {
	if len(update.Heads) == 0 {
		return nil
	}
	if update.Text != nil {
		return s.apply(update.Heads[len(update.Heads)-1], update.Text)
	}
	for _, head := range update.Heads {
		text, ok := s.applyDelta(head)
		if !ok {
			return trace.BadParameter("configuration %d: delta does not apply to the active version", head.Version)
		}
		if err := s.apply(head, text); err != nil {
			return err
		}
	}
	return nil
}

// UpdateSince returns the update from version have to the active version. It is
// empty if have is not older. Without all deltas in the history it has the full
// text.
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

// contiguousDeltas reports whether the versions of heads are contiguous and each
// head has a delta.
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
		Head      *Head     `json:"head"`
		Since     time.Time `json:"since,omitzero"`
		LastError string    `json:"trouble,omitempty"`
		Calls     uint64    `json:"platform_calls"`
	}{Calls: s.store.Calls()}
	if c := s.Get(); c != nil {
		head := c.Head
		head.Delta = nil
		state.Head, state.Since = &head, c.Since
	}
	s.mu.Lock()
	state.LastError = s.lastError
	s.mu.Unlock()
	return state
}
