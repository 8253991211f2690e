// Package follow keeps the newest configuration in force and knows how old the
// proof is that it is the newest.
//
// A few nodes of each availability zone, the confirmers, wait at the store for
// changes; the rest hear of them from peers. A confirmation is dated by when
// the call was sent whose answer proves it, so that neither a slow answer nor
// a suspended VM makes an old configuration look fresh.
package confsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/ring"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "follow"

// ConfigPath is where a node hands its configuration to peers.
const ConfigPath = "/config"

const (
	// Parts of the greatest age at which a confirmation is of use.

	// watchFraction is how long one call waits at the store; it bounds the age of a
	// confirmation at a confirmer.
	watchFraction = 0.2
	// firstRankFraction is the age of the newest confirmation at which the first node of
	// a zone asks the store itself, and stepPart what each further node adds.
	firstRankFraction = 0.06
	rankStepFraction  = 0.18
	// anyRankFraction is the age at which any node asks the store.
	anyRankFraction = 0.54

	// callTimeout bounds a call beyond its wait.
	callTimeout = 1200 * time.Millisecond
	// checkInterval is the time between looks whether to ask.
	checkInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 700 * time.Millisecond
	// maxTextBytes bounds a configuration, in bytes: the largest value of the store.
	maxTextBytes = 4 << 20
	// fetchQueueSize is the room for news from peers that was not looked at yet.
	fetchQueueSize = 16
)

// ErrCompacted means that changes since a revision are no longer known.
var ErrCompacted = errors.New("the history since the revision is gone")

// Snapshot is a configuration as read from the store. Text is empty when
// nothing has changed.
type Snapshot struct {
	Text     []byte
	Revision uint64
}

// Source is the store that holds the configuration.
type Source interface {
	// Current reads the configuration as it is.
	Current(ctx context.Context) (Snapshot, error)
	// Changes waits for a change since a revision. It returns ErrHistoryGone.
	Changes(ctx context.Context, since uint64, wait time.Duration) (Snapshot, error)
	// Decode makes the rules of a text.
	Decode(text []byte) (*rules.Set, error)
}

// Fleet is what the service needs to know of its peers.
type Fleet interface {
	// ConfirmRank is the node's place among the running nodes of its zone.
	ConfirmRank(now time.Time) int
	// BroadcastVersion tells peers that a new version is in force here.
	BroadcastVersion()
}

// Config is one version in force. It is never changed.
type Config struct {
	Rules *rules.Set
	Text  []byte
	Since time.Time
}

// Service keeps the configuration.
type Service struct {
	source Source
	maxAge  time.Duration
	log    *logrus.Entry
	fetchQueue *ring.Ring[string]
	client *http.Client

	current       atomic.Pointer[Config]
	confirmed atomic.Int64
	ready     chan struct{}
	calls     atomic.Uint64

	mu       sync.Mutex
	fleet    Fleet
	revision uint64
	storeLost     bool
	backoff  time.Duration
	retryAt   time.Time
}

// New returns the service without a configuration. Bound is how old a
// confirmation may be where it counts most; it sets the pace of the calls.
func New(source Source, bound time.Duration, log *logrus.Entry) *Service {
	return &Service{
		source: source, maxAge: bound, log: log, fetchQueue: ring.New[string](fetchQueueSize),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}},
		ready:  make(chan struct{}),
	}
}

// Get returns the configuration in force, or nil before the first.
func (s *Service) Get() *Config { return s.current.Load() }

// Ready is closed when the first configuration is in force.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Version is the version in force, or 0.
func (s *Service) Version() uint64 {
	if c := s.Get(); c != nil {
		return c.Rules.Version
	}
	return 0
}

// Age is the age of the proof that the configuration is the newest; it is very
// large before the first proof.
func (s *Service) Age(now time.Time) time.Duration {
	at := s.confirmed.Load()
	if at == 0 {
		return time.Duration(1 << 62)
	}
	return now.Sub(time.Unix(0, at))
}

// confirm dates the proof; an older one changes nothing.
func (s *Service) confirm(at time.Time) {
	for {
		old := s.confirmed.Load()
		if at.UnixNano() <= old || s.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// ReportVersion takes a peer's word: at the time at, its version was the newest. The
// address is where its text can be had.
func (s *Service) ReportVersion(version uint64, at time.Time, address string) {
	switch own := s.Version(); {
	case version == own && own != 0:
		s.confirm(at)
	case version > own:
		s.fetchQueue.Push(address)
	}
}

// apply puts a text in force if it is newer than the present one, and dates
// its confirmation.
func (s *Service) apply(at time.Time, text []byte, from string) error {
	set, err := s.source.Decode(text)
	if err != nil {
		return fmt.Errorf("configuration from %s: %w", from, err)
	}
	s.mu.Lock()
	own := s.Version()
	if set.Version < own {
		s.mu.Unlock()
		return nil
	}
	if set.Version > own {
		s.current.Store(&Config{Rules: set, Text: text, Since: clock.Now()})
	}
	fleet := s.fleet
	s.mu.Unlock()
	s.confirm(at)
	if set.Version == own {
		return nil
	}
	if own == 0 {
		close(s.ready)
	}
	s.log.WithFields(logrus.Fields{
		"version": set.Version, "was": own, "from": from, "age_ms": s.Age(clock.Now()).Milliseconds(),
		"routes": len(set.Routes), "organisations": len(set.Organisations),
	}).Info("configuration in force")
	if fleet != nil {
		fleet.BroadcastVersion()
	}
	return nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	fleet, err := kernel.Find[Fleet](k, "roster")
	if err != nil {
		return fmt.Errorf("find peers: %w", err)
	}
	s.mu.Lock()
	s.fleet = fleet
	s.mu.Unlock()
	k.Go(s.pollLoop)
	k.Go(s.fetchLoop)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// pollLoop asks the store whenever this node is due to.
func (s *Service) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		now := clock.Now()
		if !s.due(now) {
			kernel.Pause(ctx, checkInterval)
			continue
		}
		err := s.poll(ctx)
		s.recordResult(clock.Now(), err)
	}
	return nil
}

// due reports whether to ask the store now: the first node of a zone always
// does, the others when the proof that they hear of grows old.
func (s *Service) due(now time.Time) bool {
	s.mu.Lock()
	resume, fleet := s.retryAt, s.fleet
	s.mu.Unlock()
	if now.Before(resume) {
		return false
	}
	if s.Get() == nil {
		return true
	}
	age := s.Age(now)
	rank := float64(fleet.ConfirmRank(now))
	return age > s.ageFraction(anyRankFraction) || age > s.ageFraction(firstRankFraction+rank*rankStepFraction)
}

func (s *Service) ageFraction(p float64) time.Duration { return time.Duration(p * float64(s.maxAge)) }

// poll makes one call to the store and takes what it says.
func (s *Service) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.ageFraction(watchFraction)+callTimeout)
	defer cancel()
	s.mu.Lock()
	since := s.revision
	s.mu.Unlock()
	s.calls.Add(1)
	sent := clock.Now()
	var snap Snapshot
	var err error
	if since == 0 {
		snap, err = s.source.Current(ctx)
	} else {
		snap, err = s.source.Changes(ctx, since, s.ageFraction(watchFraction))
	}
	if err != nil {
		if errors.Is(err, ErrCompacted) {
			s.setRevision(0)
			s.log.WithField("revision", since).Warn("store lost its history; reading the configuration anew")
			return nil
		}
		return err
	}
	s.setRevision(snap.Revision)
	if len(snap.Text) == 0 {
		s.confirm(sent)
		return nil
	}
	if err := s.apply(sent, snap.Text, "store"); err != nil {
		// The version in force stays; a later one replaces it.
		s.log.WithError(err).Error("configuration of the store can't be used")
	}
	return nil
}

func (s *Service) setRevision(r uint64) {
	s.mu.Lock()
	s.revision = r
	s.mu.Unlock()
}

// recordResult notes whether the store answered and when to ask again.
func (s *Service) recordResult(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		if s.storeLost {
			s.log.WithField("age_ms", s.Age(now).Milliseconds()).Info("store is back")
		}
		s.storeLost, s.backoff = false, 0
		return
	}
	if !s.storeLost {
		s.log.WithError(err).WithField("age_ms", s.Age(now).Milliseconds()).Warn("store lost")
	}
	s.storeLost = true
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = now.Add(s.backoff/2 + rand.N(s.backoff))
}

// fetchLoop gets texts from peers that have a newer version.
func (s *Service) fetchLoop(ctx context.Context) error {
	for {
		addresses, err := s.fetchQueue.Take(ctx)
		if err != nil {
			return nil
		}
		for i := len(addresses) - 1; i >= 0; i-- {
			if err := s.fetchFrom(ctx, addresses[i]); err != nil {
				s.log.WithError(err).Warn("configuration of a peer can't be had")
				continue
			}
			break
		}
	}
}

func (s *Service) fetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfigPath, nil)
	if err != nil {
		return fmt.Errorf("fetch configuration: %w", err)
	}
	sent := clock.Now()
	resp, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("fetch configuration: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxTextBytes))
	if err != nil {
		return fmt.Errorf("fetch configuration: %w", err)
	}
	age, err := time.ParseDuration(resp.Header.Get(ageHeader))
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch configuration: peer %s has none", address)
	}
	return s.apply(sent.Add(-age), text, address)
}

// ageHeader carries the age of the confirmation with a text.
const ageHeader = "Chestnutshed-Age"

// ServeHTTP hands the configuration to a peer.
func (s *Service) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c := s.Get()
	if c == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(ageHeader, s.Age(clock.Now()).String())
	_, _ = w.Write(c.Text)
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Version uint64 `json:"version"`
		Age     int64  `json:"age_ms"`
		Lost    bool   `json:"store_lost"`
		Calls   uint64 `json:"store_calls"`
	}{s.Version(), s.Age(clock.Now()).Milliseconds(), s.storeLost, s.calls.Load()}
}
