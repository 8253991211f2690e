package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/ring"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// Name identifies the service in the kernel.
const Name = "gossip"

const (
	// probeInterval is the time between two probe rounds, of one random peer each.
	probeInterval = time.Second
	// probeTimeout limits one exchange with a peer.
	probeTimeout = 800 * time.Millisecond
	// roundsPerCompare is the number of probe rounds between two that compare
	// all records with the probed peer.
	roundsPerCompare = 10
	// roundsPerReconnect is the number of probe rounds between attempts to
	// reconnect to a dead node.
	roundsPerReconnect = 5
	// fanout is the number of random peers that receive each broadcast.
	fanout = 3
	// indirectProbers is the number of peers asked to probe a peer that did not
	// answer.
	indirectProbers = 2
	// maxBroadcasts limits the queue of messages waiting to be broadcast.
	maxBroadcasts = 256
	// maxMessageBytes limits the body of a received message.
	maxMessageBytes = 8 << 20
	// watchersPerZone is the number of nodes per availability zone that watch
	// the platform.
	watchersPerZone = 2
)

// Paths of the requests between nodes.
const (
	gossipPath = "/peer/gossip"
	probePath  = "/peer/probe"
	configPath = "/peer/config"
)

// Service holds the member table, probes peers and exchanges records with them.
type Service struct {
	settings   settings.Settings
	client     *peers.Client
	config     *active.Service
	store      *object.Client
	log        *logrus.Entry
	broadcasts *ring.Ring[Message]

	mu     sync.Mutex
	table  *member.Table
	topics []Topic

	// watching is the last result of shouldWatch.
	watching atomic.Bool
	// joined is closed after the first refresh of the rendezvous addresses.
	joined chan struct{}
	// messages counts received gossip messages.
	messages atomic.Uint64
}

// New returns the service of a node with its own member record.
func New(s settings.Settings, self member.Record, client *peers.Client, config *active.Service, store *object.Client, log *logrus.Entry) *Service {
	g := &Service{
		settings:   s,
		client:     client,
		config:     config,
		store:      store,
		log:        log,
		broadcasts: ring.New[Message](maxBroadcasts),
		joined:     make(chan struct{}),
		table:      member.New(time.Now(), self),
	}
	g.topics = []Topic{(*memberTopic)(g)}
	return g
}

// AddTopic registers a topic. It must be called before the kernel starts the
// service.
func (g *Service) AddTopic(t Topic) { g.topics = append(g.topics, t) }

// Routes registers the handlers on the peer listener.
func (g *Service) Routes(p *peers.Service) {
	p.Handle("POST "+gossipPath, g.serveGossip)
	p.Handle("POST "+probePath, g.serveProbe)
	p.Handle("POST "+configPath, g.serveConfig)
}

// WithTable calls f with the member table under the lock. f must not retain it.
func (g *Service) WithTable(f func(t *member.Table)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.table)
}

// Self returns the node's own record.
func (g *Service) Self() member.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Self()
}

// Update changes the node's own record and broadcasts it.
func (g *Service) Update(change func(member.Record) member.Record) {
	g.mu.Lock()
	r := g.table.Update(time.Now(), change)
	g.mu.Unlock()
	g.Broadcast(Message{Members: []member.Record{r}})
}

// Broadcast queues a message for a few random peers. An empty message is
// ignored.
func (g *Service) Broadcast(m Message) {
	if !m.Empty() {
		g.broadcasts.Push(m)
	}
}

// BroadcastHead implements active.Peers.
func (g *Service) BroadcastHead(h active.Head) { g.Broadcast(Message{Head: &h}) }

// IsWatcher implements active.Peers. A node that knows no other node is a
// watcher.
func (g *Service) IsWatcher() bool { return g.watching.Load() }

// FetchUpdate implements active.Peers.
func (g *Service) FetchUpdate(ctx context.Context, address string, have uint64) (active.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var update active.Update
	if err := g.client.PostJSON(ctx, address, configPath, configRequest{have}, &update); err != nil {
		return update, fmt.Errorf("fetch configuration from %s: %w", address, err)
	}
	return update, nil
}

type configRequest struct {
	Have uint64 `json:"have"`
}

func (g *Service) serveConfig(w http.ResponseWriter, r *http.Request) {
	var req configRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&req); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	writeJSON(w, g.config.UpdateSince(req.Have))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Name implements kernel.Service.
func (g *Service) Name() string { return Name }

// Start implements kernel.Service.
func (g *Service) Start(_ context.Context, k *kernel.Kernel) error {
	g.watching.Store(true)
	k.Go(g.probeLoop)
	k.Go(g.broadcastLoop)
	k.Go(g.rendezvousLoop)
	return nil
}

// Stop implements kernel.Service.
func (g *Service) Stop(context.Context) error { return nil }

// Leave announces to several random peers that this node stops for good.
// successor is the incarnation that took over its tickets, or "". Leave returns
// when each of these peers has answered or failed, or when ctx is done.
func (g *Service) Leave(ctx context.Context, successor string) {
	g.mu.Lock()
	r := g.table.Update(time.Now(), func(r member.Record) member.Record {
		r.Successor, r.Leaving, r.Confirmed = successor, true, true
		return r.WithStatus(member.Left)
	})
	to := g.table.Pick(3*fanout, rand.IntN)
	g.mu.Unlock()
	g.send(ctx, to, Message{Members: []member.Record{r}})
}

// serveGossip merges a message. The answer holds this node's configuration
// version and, if the sender sent checksums, the buckets that differ with this
// node's records in them.
func (g *Service) serveGossip(w http.ResponseWriter, r *http.Request) {
	var m Message
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&m); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	g.messages.Add(1)
	now := time.Now()
	g.Receive(now, m)
	answer := g.newMessage()
	answer.Members = g.unhealthyRecord(m.From)
	if len(m.Checksums) == buckets*checksumSize {
		answer.Want = differingBuckets(m.Checksums, checksums(g.topics))
		answer = answer.WithRecords(gather(now, g.topics, answer.Want))
	}
	writeJSON(w, answer)
}

// unhealthyRecord returns this node's record of a sender that it does not
// consider alive, which lets the sender refute it.
func (g *Service) unhealthyRecord(from member.Record) []member.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.table.Get(from.ID)
	if !ok || r.Status == member.Alive {
		return nil
	}
	return []member.Record{r}
}

// Receive merges a message and broadcasts the records that were new.
func (g *Service) Receive(now time.Time, m Message) {
	if m.From.ID != "" {
		m.Members = append(m.Members, m.From)
	}
	var fresh Message
	for _, t := range g.topics {
		fresh = fresh.WithRecords(t.Merge(now, m))
	}
	if m.Head != nil {
		g.config.HandleOffer(active.Offer{Head: *m.Head, Address: m.From.Address})
	}
	g.Broadcast(fresh)
}

// newMessage returns a message with the node's own record and the version of
// its configuration. A receiver with an older version fetches the rest.
func (g *Service) newMessage() Message {
	m := Message{From: g.Self()}
	if c := g.config.Get(); c != nil {
		m.Head = &active.Head{Version: c.Head.Version}
	}
	return m
}

// exchange sends a message and merges the answer. If the answer requests
// buckets, it sends their records in a second message.
func (g *Service) exchange(ctx context.Context, to string, m Message) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer Message
	if err := g.client.PostJSON(ctx, to, gossipPath, m, &answer); err != nil {
		return fmt.Errorf("gossip with %s: %w", to, err)
	}
	now := time.Now()
	g.Receive(now, answer)
	if len(answer.Want) == 0 {
		return nil
	}
	records := gather(now, g.topics, answer.Want)
	records.From = g.Self()
	return g.client.PostJSON(ctx, to, gossipPath, records, &answer)
}

// broadcastLoop sends the queued messages to a few random peers, merged into
// one message.
func (g *Service) broadcastLoop(ctx context.Context) error {
	for {
		batch, err := g.broadcasts.Take(ctx)
		if err != nil {
			return nil
		}
		var m Message
		for _, queued := range batch {
			m = m.WithRecords(queued)
		}
		g.send(ctx, g.pick(fanout), m)
	}
}

// send exchanges a message with several peers at once. Errors are ignored:
// probes find failed peers.
func (g *Service) send(ctx context.Context, to []member.Record, m Message) {
	m.From = g.Self()
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range to {
		group.Go(func() error {
			_ = g.exchange(ctx, peer.Address, m)
			return nil
		})
	}
	_ = group.Wait()
}

// shouldWatch reports whether this node is among the watchersPerZone live nodes
// with the lowest IDs in its availability zone.
func (g *Service) shouldWatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.table.Self()
	lower := 0
	g.table.Each(func(r *member.Record) {
		if r.Zone == self.Zone && r.Status == member.Alive && r.ID < self.ID {
			lower++
		}
	})
	return lower < watchersPerZone
}

// State implements kernel.Service.
func (g *Service) State() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	sent, bytes := g.client.ControlTraffic()
	return struct {
		Self     member.Record   `json:"self"`
		Watcher  bool            `json:"watcher"`
		Sent     uint64          `json:"control_messages"`
		Bytes    uint64          `json:"control_bytes"`
		Messages uint64          `json:"messages"`
		Dropped  uint64          `json:"dropped"`
		Members  []member.Record `json:"members"`
	}{g.table.Self(), g.watching.Load(), sent, bytes, g.messages.Load(), g.broadcasts.Dropped(), g.table.All()}
}
