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
	// rendezvousPrefix is the key prefix of the rendezvous objects. There is one
	// per availability zone, with the addresses of nodes to join through.
	rendezvousPrefix = "rendezvous/"
	// addressesPerZone is the maximum number of addresses in a rendezvous object.
	addressesPerZone = 3
	// rendezvousInterval is the mean time between refreshes of the rendezvous
	// objects.
	rendezvousInterval = 30 * time.Second
	// joinInterval is the minimum time between refreshes while the node knows no
	// peer.
	joinInterval = 500 * time.Millisecond
)

// addressList is the value of a rendezvous object.
type addressList struct {
	Addresses []string `json:"addresses"`
}

// rendezvousLoop joins the fleet through the addresses in the settings. While
// this node is a watcher, it also refreshes the rendezvous objects.
func (g *Service) rendezvousLoop(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var backoff object.Backoff
	g.join(ctx, g.settings.Join)
	for first := true; ctx.Err() == nil; first = false {
		if !g.watching.Load() {
			kernel.Pause(ctx, rendezvousInterval)
			continue
		}
		err := g.refresh(ctx)
		if first {
			close(g.joined)
		}
		if err != nil {
			backoff = backoff.WithFailure()
			g.join(ctx, g.settings.Join)
			kernel.Pause(ctx, backoff.Wait(random))
			continue
		}
		backoff = backoff.WithSuccess()
		kernel.Pause(ctx, g.nextInterval(random))
	}
	return nil
}

// AwaitPeers implements active.Peers.
func (g *Service) AwaitPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-g.joined:
	}
}

// nextInterval returns the time until the next refresh, with jitter. It is short
// while this node knows no peer, so that the first nodes of a fleet find each
// other quickly.
func (g *Service) nextInterval(random *rand.Rand) time.Duration {
	g.mu.Lock()
	alone := g.table.CountRunning() == 1
	g.mu.Unlock()
	if alone {
		return joinInterval + time.Duration(random.Int64N(int64(joinInterval)))
	}
	return rendezvousInterval/2 + time.Duration(random.Int64N(int64(rendezvousInterval)))
}

// refresh reads the rendezvous objects of all availability zones, joins through
// the addresses that are new and registers this node in its own zone.
func (g *Service) refresh(ctx context.Context) error {
	keys, err := g.store.List(ctx, rendezvousPrefix)
	if err != nil {
		return fmt.Errorf("list rendezvous objects: %w", err)
	}
	for _, key := range keys {
		o, err := g.store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("read rendezvous object: %w", err)
		}
		var list addressList
		if json.Unmarshal(o.Value, &list) == nil {
			g.join(ctx, list.Addresses)
		}
	}
	return g.register(ctx)
}

// join compares all records with the nodes at the addresses where no node is
// known to run.
func (g *Service) join(ctx context.Context, addresses []string) {
	known := map[string]bool{}
	g.mu.Lock()
	g.table.Each(func(r *member.Record) { known[r.Address] = known[r.Address] || !r.Gone() })
	g.mu.Unlock()
	for _, address := range addresses {
		if known[address] {
			continue
		}
		m := g.newMessage()
		m.Checksums = checksums(g.topics)
		if err := g.exchange(ctx, address, m); err != nil {
			g.log.WithField("peer", address).Debug("join through peer failed: ", err)
		}
	}
}

// register adds this node's address to the rendezvous object of its zone, if it
// has room. Addresses of stopped and dead nodes are replaced. A lost write race
// is no error: the next refresh tries again.
func (g *Service) register(ctx context.Context) error {
	key := rendezvousPrefix + g.settings.Zone
	o, err := g.store.Get(ctx, key)
	if err != nil && !trace.IsNotFound(err) {
		return fmt.Errorf("read rendezvous object: %w", err)
	}
	var list addressList
	if len(o.Value) > 0 && json.Unmarshal(o.Value, &list) != nil {
		list = addressList{}
	}
	self := g.Self().Address
	if slices.Contains(list.Addresses, self) {
		return nil
	}
	kept := slices.DeleteFunc(slices.Clone(list.Addresses), g.isGone)
	if len(kept) >= addressesPerZone {
		return nil
	}
	value, err := json.Marshal(addressList{Addresses: append(kept, self)})
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
