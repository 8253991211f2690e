// Package node creates the services of one node and runs them.
package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/shard"
	"chestnutshed.example/chestnutshed/internal/operate/admin"
	"chestnutshed.example/chestnutshed/internal/operate/journal"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/traffic/entry"
	"chestnutshed.example/chestnutshed/internal/traffic/owner"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
	"chestnutshed.example/chestnutshed/internal/traffic/serve"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

const (
	// drainNotice is the time for peers to learn that this node refuses new calls,
	// before its listener closes.
	drainNotice = 1500 * time.Millisecond
	// idlePollInterval is the time between checks whether all calls have ended.
	idlePollInterval = 10 * time.Millisecond
)

// Node is one running node.
type Node struct {
	settings settings.Settings
	kernel   *kernel.Kernel
	log      *logrus.Entry

	gossip *gossip.Service
	client *peers.Client
	serve  *serve.Service
	entry  *entry.Service
	owner  *owner.Service
	shards *shard.Service
	config *active.Service

	drainOnce sync.Once
	drain     chan struct{}
}

// New creates a node without starting it. It returns an error for inconsistent
// settings.
func New(s settings.Settings, log *logrus.Logger) (*Node, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return nil, fmt.Errorf("create incarnation: %w", err)
	}
	client, err := peers.NewClient(s)
	if err != nil {
		return nil, fmt.Errorf("create peer client: %w", err)
	}
	n := &Node{
		settings: s,
		kernel:   kernel.New(),
		log:      log.WithField("node", s.Peers.Address),
		client:   client,
		drain:    make(chan struct{}),
	}
	if err := n.assemble(id); err != nil {
		return nil, fmt.Errorf("assemble node: %w", err)
	}
	return n, nil
}

func (n *Node) assemble(id uuid.UUID) error {
	s, metricSet := n.settings, metrics.NewSet()
	self := member.Record{
		ID:        id.String(),
		Address:   s.Peers.AdvertisedAddress(),
		Operators: s.Operators.AdvertisedAddress(),
		Zone:      s.Zone,
		Region:    s.Region,
		Started:   time.Now().UnixNano(),
	}
	store := object.New(s.Platform)
	listener := peers.New(s)
	n.config = active.New(store, n.log.WithField("service", active.Name))
	n.gossip = gossip.New(s, self, n.client, n.config, store, n.log.WithField("service", gossip.Name))
	n.shards = shard.New(n.config, n.gossip, n.client, store, n.log.WithField("service", shard.Name))
	send := sender.New(s.Zone, n.client, n.gossip, n.config, metricSet, n.log.WithField("service", sender.Name))
	poison := serve.NewPoison(n.gossip)
	n.serve = serve.New(n.gossip, poison, metricSet, n.log.WithField("service", serve.Name))
	n.owner = owner.New(id, n.gossip, send, n.client, n.log.WithField("service", owner.Name))
	n.entry = entry.New(s, entry.Deps{
		Config: n.config,
		Sender: send,
		Serve:  n.serve,
		Owner:  n.owner,
		Rates:  n.shards,
		Poison: poison,
		Set:    metricSet,
		Log:    n.log.WithField("service", entry.Name),
	})
	n.gossip.Routes(listener)
	n.shards.Routes(listener)
	n.serve.Routes(listener)
	n.owner.Routes(listener)
	counts := journal.New(store, s.Zone)
	operators := admin.New(s, metricSet, n.Drain)
	order := []kernel.Service{listener, operators, n.config, n.gossip, n.shards, send, n.serve, n.owner, counts, n.entry}
	for _, service := range order {
		if err := n.kernel.Register(service); err != nil {
			return err
		}
	}
	return nil
}

// Drain starts a planned stop. Only the first call has an effect.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drain) }) }

// Run starts the node and runs it until ctx ends, Drain is called or a background
// task fails, then stops it gracefully. It returns errors from starting and
// stopping, including that of the failed task.
func (n *Node) Run(ctx context.Context) error {
	if err := n.kernel.Start(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	n.log.WithField("id", n.gossip.Self().ID).Info("node is running")
	select {
	case <-ctx.Done():
	case <-n.drain:
	case <-n.kernel.Done():
	}
	return n.stop()
}

// stop shuts the node down without aborting requests, within the drain timeout:
// it announces that it refuses new calls, waits for open requests, releases its
// shards and hands its tickets over.
func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.Drain))
	defer cancel()
	n.log.Info("node is draining")
	n.serve.Drain()
	n.owner.Close()
	kernel.Pause(ctx, drainNotice)
	err := n.entry.StopCallers(ctx)
	n.waitIdle(ctx)
	// Release the shards before leaving: peers take "left" as proof that this
	// node grants no more tokens.
	err = errors.Join(err, n.shards.Stop(ctx))
	successor := n.owner.HandOver(ctx)
	n.gossip.Leave(ctx, successor)
	n.log.WithField("heir", successor).Info("node has left")
	err = errors.Join(err, n.kernel.Stop(ctx))
	n.client.CloseIdle()
	if err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// waitIdle waits until the node's own target has no calls, or ctx is done.
func (n *Node) waitIdle(ctx context.Context) {
	for n.serve.Busy() > 0 && ctx.Err() == nil {
		kernel.Pause(ctx, idlePollInterval)
	}
}
