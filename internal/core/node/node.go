// Package node assembles the services of one node and runs them.
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
	// hearTime is how long peers get to hear that this node takes no new work.
	hearTime = 1500 * time.Millisecond
	// idlePoll is the time between looks whether all calls have ended.
	idlePoll = 10 * time.Millisecond
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
	home   *owner.Service
	rates  *shard.Service
	config *active.Service

	drained sync.Once
	drain   chan struct{}
}

// New assembles a node. It returns an error for settings that don't fit
// together.
func New(s settings.Settings, log *logrus.Logger) (*Node, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return nil, fmt.Errorf("make incarnation: %w", err)
	}
	client, err := peers.NewClient(s)
	if err != nil {
		return nil, fmt.Errorf("make client: %w", err)
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
	s, set := n.settings, metrics.NewSet()
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
	n.rates = shard.New(n.config, n.gossip, n.client, store, n.log.WithField("service", shard.Name))
	send := sender.New(s.Zone, n.client, n.gossip, n.config, set, n.log.WithField("service", sender.Name))
	poison := serve.NewPoison(n.gossip)
	n.serve = serve.New(n.gossip, poison, set, n.log.WithField("service", serve.Name))
	n.home = owner.New(id, n.gossip, send, n.client, n.log.WithField("service", owner.Name))
	n.entry = entry.New(s, entry.Deps{
		Config: n.config,
		Sender: send,
		Serve:  n.serve,
		Home:   n.home,
		Rates:  n.rates,
		Poison: poison,
		Set:    set,
		Log:    n.log.WithField("service", entry.Name),
	})
	n.gossip.Routes(listener)
	n.rates.Routes(listener)
	n.serve.Routes(listener)
	n.home.Routes(listener)
	counts := journal.New(store, s.Zone)
	operators := admin.New(s, set, n.Drain)
	order := []kernel.Service{listener, operators, n.config, n.gossip, n.rates, send, n.serve, n.home, counts, n.entry}
	for _, service := range order {
		if err := n.kernel.Register(service); err != nil {
			return err
		}
	}
	return nil
}

// Drain begins a planned stop.
func (n *Node) Drain() { n.drained.Do(func() { close(n.drain) }) }

// Run runs the node until ctx ends or Drain is called, then stops it in good
// order. It returns the first error of a service.
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

// stop ends the node without cutting a request: peers hear that it takes no
// new work, what is under way finishes, tickets and parts are passed on.
func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.Drain))
	defer cancel()
	n.log.Info("node is draining")
	n.serve.Drain()
	n.home.Close()
	kernel.Pause(ctx, hearTime)
	err := n.entry.StopCallers(ctx)
	n.idle(ctx)
	// Peers take "left" as proof that this node grants no more tokens.
	err = errors.Join(err, n.rates.Stop(ctx))
	heir := n.home.HandOver(ctx)
	n.gossip.Leave(ctx, heir)
	n.log.WithField("heir", heir).Info("node has left")
	err = errors.Join(err, n.kernel.Stop(ctx))
	n.client.CloseIdle()
	if err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// idle waits until the own target has no calls.
func (n *Node) idle(ctx context.Context) {
	for n.serve.Busy() > 0 && ctx.Err() == nil {
		kernel.Pause(ctx, idlePoll)
	}
}
