package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"github.com/gravitational/trace"
)

const (
	// rendezvousPrefix starts the keys of the objects with addresses to join
	// through, one per availability zone.
	rendezvousPrefix = "rendezvous/"
	// rendezvousSize is the number of addresses per availability zone.
	rendezvousSize = 3
	// rendezvousEvery is the time between looks at the objects.
	rendezvousEvery = 30 * time.Second
	// joinEvery is the time between tries to find a first peer.
	joinEvery = 500 * time.Millisecond
)

// place is the value of a rendezvous object.
type place struct {
	Addresses []string `json:"addresses"`
}

// rendezvous finds peers for a node that knows none, and keeps the addresses
// at the platform fresh while this node is among the first of its zone.
func (g *Service) rendezvous(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var backoff object.Backoff
	g.join(ctx, g.settings.Join)
	for first := true; ctx.Err() == nil; first = false {
		if !g.watching.Load() {
			kernel.Pause(ctx, rendezvousEvery)
			continue
		}
		err := g.meet(ctx)
		if first {
			close(g.asked)
		}
		if err != nil {
			backoff = backoff.WithFailure()
			g.join(ctx, g.settings.Join)
			kernel.Pause(ctx, backoff.Wait(random))
			continue
		}
		backoff = backoff.WithSuccess()
		kernel.Pause(ctx, g.untilNext(random))
	}
	return nil
}

// AwaitPeers implements active.Peers.
func (g *Service) AwaitPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-g.asked:
	}
}

// untilNext is short while this node is alone, so that the first nodes of a
// fleet find each other.
func (g *Service) untilNext(random *rand.Rand) time.Duration {
	g.mu.Lock()
	alone := g.table.CountRunning() == 1
	g.mu.Unlock()
	if alone {
		return joinEvery + time.Duration(random.Int64N(int64(joinEvery)))
	}
	return rendezvousEvery/2 + time.Duration(random.Int64N(int64(rendezvousEvery)))
}

// meet reads all zones' addresses, joins through unknown ones and adds itself
// to its own zone's.
func (g *Service) meet(ctx context.Context) error {
	keys, err := g.store.List(ctx, rendezvousPrefix)
	if err != nil {
		return fmt.Errorf("list rendezvous objects: %w", err)
	}
	for _, key := range keys {
		o, err := g.store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("read rendezvous object: %w", err)
		}
		var p place
		if json.Unmarshal(o.Value, &p) == nil {
			g.join(ctx, p.Addresses)
		}
	}
	return g.enlist(ctx)
}

// join exchanges all records with nodes that aren't known to run.
func (g *Service) join(ctx context.Context, addresses []string) {
	known := map[string]bool{}
	g.mu.Lock()
	g.table.Each(func(r *member.Record) { known[r.Address] = known[r.Address] || !r.Gone() })
	g.mu.Unlock()
	for _, address := range addresses {
		if known[address] {
			continue
		}
		m := g.hello()
		m.Sums = sumsOf(g.topics)
		if err := g.exchange(ctx, address, m); err != nil {
			g.log.WithField("peer", address).Debug("can't join: ", err)
		}
	}
}

// enlist keeps this node's address in its zone's object. Addresses of nodes
// that are gone make room.
func (g *Service) enlist(ctx context.Context) error {
	key := rendezvousPrefix + g.settings.Zone
	o, err := g.store.Get(ctx, key)
	if err != nil && !trace.IsNotFound(err) {
		return fmt.Errorf("read rendezvous object: %w", err)
	}
	var p place
	if len(o.Value) > 0 && json.Unmarshal(o.Value, &p) != nil {
		p = place{}
	}
	self := g.Self().Address
	if slices.Contains(p.Addresses, self) {
		return nil
	}
	kept := slices.DeleteFunc(slices.Clone(p.Addresses), g.isGone)
	if len(kept) >= rendezvousSize {
		return nil
	}
	value, err := json.Marshal(place{Addresses: append(kept, self)})
	if err != nil {
		return fmt.Errorf("encode rendezvous object: %w", err)
	}
	if _, err := g.store.Put(ctx, key, value, o.Version); err != nil && !trace.IsCompareFailed(err) {
		return fmt.Errorf("write rendezvous object: %w", err)
	}
	return nil
}

// isGone reports whether no node is known to run at an address.
func (g *Service) isGone(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !slices.ContainsFunc(g.table.All(), func(r member.Record) bool {
		return r.Address == address && !r.Gone()
	})
}
