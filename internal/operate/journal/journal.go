// Package journal keeps at the platform what stopped nodes had counted, so that
// a handover stays true when nodes are replaced. A node that dies without a
// planned stop takes its counts along; the journal knows only those that left.
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

// prefix starts the keys of the journals, one per availability zone.
const prefix = "journal/"

const (
	// tries bounds the tries to write, wait is the time between them.
	tries = 10
	wait  = 100 * time.Millisecond
)

// Journal is what the stopped nodes of one availability zone had counted.
type Journal struct {
	// Nodes is the number of nodes counted.
	Nodes int           `json:"nodes"`
	Roots []entry.Tally `json:"roots"`
}

// Counter tells what a node has counted.
type Counter interface{ Tallies() []entry.Tally }

// Service writes a node's counts at its planned stop.
type Service struct {
	store   *object.Client
	zone    string
	counter Counter
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
	if s.counter, err = kernel.Find[Counter](k, entry.Name); err != nil {
		return fmt.Errorf("find what counts: %w", err)
	}
	return nil
}

// State implements kernel.Service.
func (s *Service) State() any { return struct{}{} }

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	counted := s.counter.Tallies()
	if len(counted) == 0 {
		return nil
	}
	var err error
	for range tries {
		if err = s.add(ctx, counted); err == nil || errors.Is(err, object.ErrUncertain) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	if err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	return nil
}

func (s *Service) add(ctx context.Context, counted []entry.Tally) error {
	j, version, err := read(ctx, s.store, prefix+s.zone)
	if err != nil {
		return err
	}
	j.Nodes++
	j.Roots = entry.Add(j.Roots, counted)
	value, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("encode journal: %w", err)
	}
	if _, err := s.store.Put(ctx, prefix+s.zone, value, version); err != nil {
		return fmt.Errorf("put journal: %w", err)
	}
	return nil
}

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
		return j, 0, trace.BadParameter("journal object: %v", err)
	}
	return j, o.Version, nil
}

// ReadAll returns the sum of all zones' journals.
func ReadAll(ctx context.Context, store *object.Client) (Journal, error) {
	var total Journal
	keys, err := store.List(ctx, prefix)
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
