// Package departure keeps the leaves that the target beside a node has announced. They
// live in the platform's store, so that the node's next process knows them even if all
// processes of the fleet end at the same time.
package departure

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name is the name of the kernel service.
const Name = "departure"

const (
	// storeTimeout bounds one operation on the store.
	storeTimeout = 1500 * time.Millisecond
	// retryInterval is the time between attempts on a store that fails.
	retryInterval = 500 * time.Millisecond
	// maxPending bounds the leaves that wait for the store.
	maxPending = 64
	// retention is how long a leave is kept. Announcements arrive seconds late.
	retention = time.Hour
	// sweepInterval is the time between removals of leaves after their retention.
	sweepInterval = 10 * time.Minute
)

// Store holds the leaves of all nodes.
type Store interface {
	// Add writes an entry. If the name exists already, it does nothing. It returns the
	// era in which that was acknowledged.
	Add(ctx context.Context, name string, value []byte) (era.Era, error)
	// List returns all entries by name.
	List(ctx context.Context) (map[string][]byte, error)
	// Remove removes an entry. A missing one is not an error.
	Remove(ctx context.Context, name string) error
}

// entry is a leave in the store.
type entry struct {
	Node     string `json:"node"`
	Instance string `json:"inst"`
	// Born is the start of the incarnation. If it is not known, Until is the time of the
	// leave. Both are in Unix milliseconds.
	Born  int64 `json:"born,omitempty"`
	Until int64 `json:"until,omitempty"`
	// At is when the leave was announced, in Unix milliseconds.
	At int64 `json:"at"`
}

func (e entry) leave() lifecycle.Leave {
	l := lifecycle.Leave{ID: e.Instance, Born: e.Born}
	if e.Born == 0 {
		l.ReceivedAt = time.UnixMilli(e.Until)
	}
	return l
}

// name identifies the leave in the store. Writing the same leave twice has no effect.
func (e entry) name() string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d %d", e.Instance, e.Born, e.Until)
	return e.Node + "." + strconv.FormatUint(h.Sum64(), 36)
}

// Fleet is what the service needs to know of the other nodes.
type Fleet interface {
	// IsFirst reports whether this node removes the leaves of all nodes after their
	// retention.
	IsFirst() bool
	// Size returns the number of nodes.
	Size() int
}

// record is a leave that this process has written, is writing or has read.
type record struct {
	entry entry
	// done is closed once the leave is in the store, and era is the one in which the store
	// acknowledged that.
	done chan struct{}
	era  era.Era
}

// written reports whether the leave is in the store, as far as is known.
func (r *record) written() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Service keeps the leaves of one node's target.
type Service struct {
	node  string
	store Store
	fleet Fleet
	eras  *era.Tracker
	log   *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	kept   map[string]*record // by name
	loaded bool
	left   []lifecycle.Leave
}

// New returns the service of a node. Eras tracks the era of the store.
func New(node string, store Store, fleet Fleet, eras *era.Tracker, log *logrus.Entry) *Service {
	s := &Service{node: node, store: store, fleet: fleet, eras: eras, log: log, kept: map[string]*record{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// ErrNotKept is returned when a leave is not in the store yet.
var ErrNotKept = errors.New("leave not kept in the store")

// Keep writes a leave to the store and returns once it is there. If ctx ends before, the
// error wraps ErrNotKept and the write goes on.
func (s *Service) Keep(ctx context.Context, now time.Time, l lifecycle.Leave) error {
	e := entry{Node: s.node, Instance: l.ID, Born: l.Born, At: now.UnixMilli()}
	if l.Born == 0 {
		e.Until = l.ReceivedAt.UnixMilli()
	}
	s.mu.Lock()
	if s.kept[e.name()] == nil && s.countPending() >= maxPending {
		s.mu.Unlock()
		return fmt.Errorf("%w: %d others wait for the store", ErrNotKept, maxPending)
	}
	done := s.ensure(e)
	s.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotKept, ctx.Err())
	}
}

// ensure writes a leave unless it is in the store, or is being written. It returns a channel
// that is closed once it is there. The mutex is held.
func (s *Service) ensure(e entry) <-chan struct{} {
	if before, ok := s.kept[e.name()]; ok {
		if !before.written() || s.eras.Check(before.era) == nil {
			return before.done
		}
		e = before.entry
	}
	r := &record{entry: e, done: make(chan struct{})}
	s.kept[e.name()] = r
	go s.write(r)
	return r.done
}

// renew writes the leaves again that the store acknowledged in an earlier era.
func (s *Service) renew(ctx context.Context, now time.Time) error {
	s.mu.Lock()
	records := slices.Collect(maps.Values(s.kept))
	s.mu.Unlock()
	for _, r := range records {
		if now.Sub(time.UnixMilli(r.entry.At)) > retention {
			continue
		}
		s.mu.Lock()
		done := s.ensure(r.entry)
		s.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotKept, ctx.Err())
		}
	}
	return nil
}

// countPending returns the number of leaves that are being written. The mutex is held.
func (s *Service) countPending() int {
	n := 0
	for _, r := range s.kept {
		if !r.written() {
			n++
		}
	}
	return n
}

// write writes a leave until that succeeds in the current era, or until the service stops.
func (s *Service) write(r *record) {
	e := r.entry
	value, err := json.Marshal(e)
	if err != nil {
		s.log.WithError(err).Error("encoding a leave failed")
		return
	}
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		before := s.eras.Current()
		acknowledged, err := s.store.Add(ctx, e.name(), value)
		cancel()
		if acknowledged == (era.Era{}) {
			acknowledged = before
		}
		if err == nil {
			err = s.eras.Check(acknowledged)
		}
		if err == nil {
			s.log.WithFields(logrus.Fields{"target": e.Instance, "born": e.Born, "until": e.Until}).Info("leave kept")
			s.mu.Lock()
			r.era = acknowledged
			close(r.done)
			s.mu.Unlock()
			return
		}
		s.log.WithError(err).WithField("target", e.Instance).Warn("leave not kept yet")
		kernel.Pause(s.ctx, retryInterval)
	}
}

// Left returns the leaves that earlier processes of the node kept, and false while they
// are not known.
func (s *Service) Left() ([]lifecycle.Leave, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left, s.loaded
}

// load reads the leaves of this node until that succeeds.
func (s *Service) load(ctx context.Context) error {
	for ctx.Err() == nil {
		read := s.eras.Current()
		entries, err := s.list(ctx)
		if read == (era.Era{}) {
			read = s.eras.Current()
		}
		if err == nil {
			s.mu.Lock()
			for name, e := range entries {
				if e.Node != s.node {
					continue
				}
				s.left = append(s.left, e.leave())
				if s.kept[name] == nil {
					r := &record{entry: e, done: make(chan struct{}), era: read}
					close(r.done)
					s.kept[name] = r
				}
			}
			s.loaded = true
			s.mu.Unlock()
			return nil
		}
		s.log.WithError(err).Warn("leaves of earlier processes not known yet")
		kernel.Pause(ctx, retryInterval)
	}
	return nil
}

// list returns all entries of the store by name. It skips those that can't be decoded.
func (s *Service) list(ctx context.Context) (map[string]entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	values, err := s.store.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list leaves: %w", err)
	}
	entries := map[string]entry{}
	for name, value := range values {
		var e entry
		if err := json.Unmarshal(value, &e); err != nil || e.Node == "" || e.Instance == "" {
			s.log.WithField("entry", name).Warn("leave skipped: invalid entry")
			continue
		}
		entries[name] = e
	}
	return entries, nil
}

// sweep removes the leaves of all nodes whose retention is over.
func (s *Service) sweep(ctx context.Context, now time.Time) {
	if !s.fleet.IsFirst() {
		return
	}
	entries, err := s.list(ctx)
	if err != nil {
		s.log.WithError(err).Warn("old leaves not removed")
		return
	}
	for name, e := range entries {
		if now.Sub(time.UnixMilli(e.At)) <= retention {
			continue
		}
		if err := s.store.Remove(ctx, name); err != nil {
			s.log.WithError(err).WithField("entry", name).Warn("old leave not removed")
		}
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(s.load)
	k.Go(func(ctx context.Context) error {
		return s.eras.Follow(ctx, s.fleet.Size, func(ctx context.Context) error { return s.renew(ctx, time.Now()) })
	})
	k.Every(sweepInterval, func(ctx context.Context) { s.sweep(ctx, time.Now()) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Loaded  bool `json:"loaded"`
		Left    int  `json:"left"`
		Pending int  `json:"pending"`
	}{s.loaded, len(s.left), s.countPending()}
}
