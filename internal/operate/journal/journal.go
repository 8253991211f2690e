// Package journal stores the request counts of stopped nodes at the platform, so
// that handovers stay correct when nodes are replaced. Only a graceful shutdown
// writes the journal: the counts of a crashed node are lost.
package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/traffic/entry"
	"github.com/gravitational/trace"
)

// Name of the service.
const Name = "journal"

// keyPrefix is the prefix of the journals' keys. There is one journal per
// availability zone.
const keyPrefix = "journal/"

const (
	// maxAttempts is the maximum number of attempts to write.
	maxAttempts = 10
	// retryInterval is the time between two attempts.
	retryInterval = 100 * time.Millisecond
)

// Journal is the sum of the counts of stopped nodes in an availability zone.
type Journal struct {
	// Nodes is the number of stopped nodes.
	Nodes int           `json:"nodes"`
	Roots []entry.Tally `json:"roots"`
}

// TallySource returns the request counts of a node.
type TallySource interface{ Tallies() []entry.Tally }

// Service adds a node's counts to the journal at a graceful shutdown.
type Service struct {
	store   *object.Client
	zone    string
	tallies TallySource
}

// New returns the service of a node in an availability zone.
func New(store *object.Client, zone string) *Service {
	return &Service{store: store, zone: zone}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.tallies, err = kernel.Find[TallySource](k, entry.Name); err != nil {
		return fmt.Errorf("find source of request counts: %w", err)
	}
	return nil
}

// State implements kernel.Service.
func (s *Service) State() any { return struct{}{} }

// Stop implements kernel.Service. It writes the counts, with retries unless the
// outcome of a write is unknown: the counts could be added twice then.
func (s *Service) Stop(ctx context.Context) error {
	counts := s.tallies.Tallies()
	if len(counts) == 0 {
		return nil
	}
	var err error
	for range maxAttempts {
		if err = s.add(ctx, counts); err == nil || errors.Is(err, object.ErrUncertain) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	if err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	return nil
}

// add adds counts to the journal of the node's availability zone. The write fails
// if another node has written the journal since the read.
func (s *Service) add(ctx context.Context, counts []entry.Tally) error {
	j, version, err := read(ctx, s.store, keyPrefix+s.zone)
	if err != nil {
		return err
	}
	j.Nodes++
	j.Roots = entry.Add(j.Roots, counts)
	value, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("encode journal: %w", err)
	}
	if _, err := s.store.Put(ctx, keyPrefix+s.zone, value, version); err != nil {
		return fmt.Errorf("put journal: %w", err)
	}
	return nil
}

// read returns a journal and the version of its object; both are zero if there is
// none.
func read(ctx context.Context, store *object.Client, key string) (Journal, uint64, error) {
	var j Journal
	o, err := store.Get(ctx, key)
	if trace.IsNotFound(err) {
		return j, 0, nil
	}
	if err != nil {
		return j, 0, fmt.Errorf("read journal: %w", err)
	}
	if err := json.Unmarshal(o.Value, &j); err != nil {
		return j, 0, trace.BadParameter("decode journal object: %v", err)
	}
	return j, o.Version, nil
}

// ReadAll returns the sum of the journals of all availability zones.
func ReadAll(ctx context.Context, store *object.Client) (Journal, error) {
	var total Journal
	keys, err := store.List(ctx, keyPrefix)
	if err != nil {
		return total, fmt.Errorf("list journals: %w", err)
	}
	for _, key := range keys {
		j, _, err := read(ctx, store, key)
		if err != nil {
			return total, err
		}
		total.Nodes += j.Nodes
		total.Roots = entry.Add(total.Roots, j.Roots)
	}
	return total, nil
}
