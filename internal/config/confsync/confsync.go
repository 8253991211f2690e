// Package confsync keeps a node's configuration in sync with the store and
// tracks when it was last confirmed to be the newest version.
//
// A few nodes of each availability zone, the confirmers, poll the store for
// changes. The other nodes get new versions and confirmations from peers. A
// confirmation carries the time at which the request to the store was sent, not
// the time of the response. Otherwise a slow response or a suspended VM would
// make an old configuration look fresh.
package confsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/backoff"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/poll"
	"chestnutshed.example/chestnutshed/internal/core/ring"
	"chestnutshed.example/chestnutshed/internal/core/strict"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "follow"

// ConfigPath is the HTTP path at which a node serves its configuration to peers.
const ConfigPath = "/config"

const (
	// Fractions of the maximum age of a confirmation (the maxAge of New).

	// watchFraction is the wait of one long poll of the store. It bounds the age
	// of the confirmation at a confirmer.
	watchFraction = 0.2
	// firstRankFraction is the age of the newest confirmation at which the node
	// of rank 0 in a zone polls the store. Each further rank waits
	// rankStepFraction longer.
	firstRankFraction = 0.06
	rankStepFraction  = 0.18
	// anyRankFraction is the age at which a node of any rank polls the store.
	anyRankFraction = 0.54

	// minBackoff and maxBackoff limit the backoff after a failed store request,
	// before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// fetchTimeout is the timeout of a fetch from a peer.
	fetchTimeout = 700 * time.Millisecond
	// maxTextBytes is the maximum size of a configuration: the largest value that
	// the store holds.
	maxTextBytes = 4 << 20
	// fetchQueueSize is the maximum number of peer addresses queued for a fetch.
	fetchQueueSize = 16
)

// ErrCompacted is returned by Source.Changes when the store no longer has the
// history since the requested revision.
var ErrCompacted = errors.New("revision compacted: the store no longer has the changes since it")

// Snapshot is a configuration as read from the store. Text is empty if it has
// not changed since the requested revision.
type Snapshot struct {
	Text     []byte
	Revision uint64
	// Era is the era of the store that the revision belongs to.
	Era era.Era
}

// Source is the store that holds the configuration.
type Source interface {
	// Current reads the current configuration.
	Current(ctx context.Context) (Snapshot, error)
	// Changes waits up to wait for a change after revision since. It returns
	// ErrCompacted if the history since then is no longer available.
	Changes(ctx context.Context, since uint64, wait time.Duration) (Snapshot, error)
	// Decode parses the text of a configuration.
	Decode(text []byte) (*rules.Set, error)
}

// Fleet ranks the node among its peers and notifies them.
type Fleet interface {
	// ConfirmRank returns the node's rank among the running nodes of its
	// availability zone, 0 first.
	ConfirmRank(now time.Time) int
	// BroadcastVersion notifies peers that this node has applied a new version.
	BroadcastVersion()
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Rules *rules.Set
	Text  []byte
	// Since is when this node applied it.
	Since time.Time
}

// Service holds the active configuration and syncs it with the store.
type Service struct {
	source     Source
	maxAge     time.Duration
	log        *logrus.Entry
	fetchQueue *ring.Ring[string]
	client     *http.Client

	current atomic.Pointer[Config]
	// confirmed is the time of the newest confirmation in Unix nanoseconds, 0
	// before the first.
	confirmed atomic.Int64
	ready     chan struct{}
	calls     atomic.Uint64

	mu       sync.Mutex
	fleet    Fleet
	revision uint64
	era      era.Era // of revision
	backoff  backoff.Backoff
}

// New returns a service without a configuration. MaxAge is the maximum age of a
// confirmation for the most sensitive use of the configuration; the poll
// intervals are fractions of it.
func New(source Source, maxAge time.Duration, log *logrus.Entry) *Service {
	return &Service{
		source: source, maxAge: maxAge, log: log, fetchQueue: ring.New[string](fetchQueueSize),
		client: &http.Client{Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second})},
		ready:  make(chan struct{}), backoff: backoff.New(minBackoff, maxBackoff),
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
		return c.Rules.Version
	}
	return 0
}

// Age returns the time since the active configuration was last confirmed to be
// the newest. Before the first confirmation it returns 1<<62 ns.
func (s *Service) Age(now time.Time) time.Duration {
	at := s.confirmed.Load()
	if at == 0 {
		return time.Duration(1 << 62)
	}
	return now.Sub(time.Unix(0, at))
}

// confirm records a confirmation as of at. It ignores one that is older than the
// newest.
func (s *Service) confirm(at time.Time) {
	for {
		old := s.confirmed.Load()
		if at.UnixNano() <= old || s.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// ReportVersion handles a peer's report that version was the newest at the given
// time. A newer version than our own is queued for a fetch from address.
func (s *Service) ReportVersion(version uint64, at time.Time, address string) {
	switch active := s.Version(); {
	case version == active && active != 0:
		s.confirm(at)
	case version > active:
		s.fetchQueue.Push(address)
	}
}

// apply activates a configuration if its version is newer than the active one.
// Unless the version is older, it records a confirmation as of at. From names
// the origin in the log and in errors.
func (s *Service) apply(at time.Time, text []byte, from string) error {
	set, err := s.source.Decode(text)
	if err != nil {
		return fmt.Errorf("configuration from %s: %w", from, err)
	}
	s.mu.Lock()
	active := s.Version()
	if set.Version < active {
		s.mu.Unlock()
		return nil
	}
	if set.Version > active {
		s.current.Store(&Config{Rules: set, Text: text, Since: clock.Now()})
	}
	fleet := s.fleet
	s.mu.Unlock()
	s.confirm(at)
	if set.Version == active {
		return nil
	}
	if active == 0 {
		close(s.ready)
	}
	s.log.WithFields(logrus.Fields{
		"version": set.Version, "was": active, "from": from, "age_ms": s.Age(clock.Now()).Milliseconds(),
		"routes": len(set.Routes), "organisations": len(set.Organisations),
	}).Info("new configuration version active")
	if len(set.Notes) > 0 {
		s.log.WithFields(logrus.Fields{"version": set.Version, "notes": set.Notes}).Warn("configuration not understood in part")
	}
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

// pollLoop polls the store whenever a poll is due.
func (s *Service) pollLoop(ctx context.Context) error {
	poll.Loop(ctx, s.due, s.poll, s.recordResult)
	return nil
}

// due reports whether to poll the store now. The threshold age rises with the
// node's rank, so that in normal operation only the first nodes of a zone poll
// and the others take over when the confirmations from peers get too old.
func (s *Service) due(now time.Time) bool {
	s.mu.Lock()
	fleet, waits := s.fleet, !s.backoff.Due(now)
	s.mu.Unlock()
	if waits {
		return false
	}
	if s.Get() == nil {
		return true
	}
	age := s.Age(now)
	rank := float64(fleet.ConfirmRank(now))
	return age > s.ageFraction(anyRankFraction) || age > s.ageFraction(firstRankFraction+rank*rankStepFraction)
}

// ageFraction returns a fraction of maxAge.
func (s *Service) ageFraction(f float64) time.Duration { return time.Duration(f * float64(s.maxAge)) }

// poll sends one request to the store and applies the result. The first request
// reads the full configuration, later ones wait for a change. It returns an error
// only if the request fails, not if the configuration is invalid.
func (s *Service) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.ageFraction(watchFraction)+poll.CallTimeout)
	defer cancel()
	s.mu.Lock()
	since, sinceEra := s.revision, s.era
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
			s.setRevision(0, era.Era{})
			s.log.WithField("revision", since).Warn("store has compacted the revision; reading the full configuration")
			return nil
		}
		return err
	}
	if since != 0 && snap.Era.Differs(sinceEra) {
		// The revision was given out again, so changes before it may be missing.
		s.setRevision(0, era.Era{})
		s.log.WithFields(logrus.Fields{"revision": since, "era": snap.Era.String(), "was": sinceEra.String()}).Warn("store came back from an older copy; reading the full configuration")
		return nil
	}
	s.setRevision(snap.Revision, snap.Era)
	if len(snap.Text) == 0 {
		s.confirm(sent)
		return nil
	}
	if err := s.apply(sent, snap.Text, "store"); err != nil {
		// The active version stays until the store has a valid newer one.
		s.log.WithError(err).Error("configuration from the store rejected")
	}
	return nil
}

func (s *Service) setRevision(r uint64, e era.Era) {
	s.mu.Lock()
	s.revision, s.era = r, e
	s.mu.Unlock()
}

// recordResult logs changes between reachable and failing, and sets the backoff
// with jitter after an error.
func (s *Service) recordResult(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		if s.backoff.Failing() {
			s.log.WithField("age_ms", s.Age(now).Milliseconds()).Info("store reachable again")
		}
		s.backoff = s.backoff.WithSuccess()
		return
	}
	if !s.backoff.Failing() {
		s.log.WithError(err).WithField("age_ms", s.Age(now).Milliseconds()).Warn("store request failed")
	}
	s.backoff = s.backoff.WithFailure(now)
}

// fetchLoop fetches newer versions from the peers that reported them, the latest
// report first, until one of a batch succeeds.
func (s *Service) fetchLoop(ctx context.Context) error {
	for {
		addresses, err := s.fetchQueue.Take(ctx)
		if err != nil {
			return nil
		}
		for i := len(addresses) - 1; i >= 0; i-- {
			if err := s.fetchFrom(ctx, addresses[i]); err != nil {
				s.log.WithError(err).Warn("fetching the configuration from a peer failed")
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
		return fmt.Errorf("fetch configuration: peer %s sent no configuration or no valid age", address)
	}
	return s.apply(sent.Add(-age), text, address)
}

// ageHeader is the response header with the age of the peer's confirmation, as a
// Go duration.
const ageHeader = "Chestnutshed-Age"

// ServeHTTP serves the active configuration to a peer.
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
	}{s.Version(), s.Age(clock.Now()).Milliseconds(), s.backoff.Failing(), s.calls.Load()}
}
