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

// Name of the service.
const Name = "gossip"

const (
	// probeEvery is the time between probes of a random peer.
	probeEvery = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 800 * time.Millisecond
	// compareEvery is the number of probes between comparisons of all records.
	compareEvery = 10
	// reviveEvery is the number of probes between tries to reach a dead node.
	reviveEvery = 5
	// fanout is the number of peers that news is sent to at once.
	fanout = 3
	// helpers is the number of peers asked to probe a silent one.
	helpers = 2
	// newsRoom bounds news that waits to be sent.
	newsRoom = 256
	// maxMessage bounds a message, in bytes.
	maxMessage = 8 << 20
	// watchers is the number of nodes per availability zone that watch the
	// platform.
	watchers = 2
)

// Paths of the messages between nodes.
const (
	gossipPath = "/peer/gossip"
	probePath  = "/peer/probe"
	configPath = "/peer/config"
)

// Service keeps the table of members and spreads news.
type Service struct {
	settings settings.Settings
	client   *peers.Client
	config   *active.Service
	store    *object.Client
	log      *logrus.Entry
	news     *ring.Ring[Message]

	mu     sync.Mutex
	table  *member.Table
	topics []Topic

	watching atomic.Bool
	asked    chan struct{}
	messages atomic.Uint64
}

// New returns the service of a node with its own record.
func New(s settings.Settings, self member.Record, client *peers.Client, config *active.Service, store *object.Client, log *logrus.Entry) *Service {
	g := &Service{
		settings: s,
		client:   client,
		config:   config,
		store:    store,
		log:      log,
		news:     ring.New[Message](newsRoom),
		asked:    make(chan struct{}),
		table:    member.New(time.Now(), self),
	}
	g.topics = []Topic{(*memberTopic)(g)}
	return g
}

// AddTopic adds a topic; call it before the kernel starts the service.
func (g *Service) AddTopic(t Topic) { g.topics = append(g.topics, t) }

// Routes adds the handlers to the peers' listener.
func (g *Service) Routes(p *peers.Service) {
	p.Handle("POST "+gossipPath, g.serveGossip)
	p.Handle("POST "+probePath, g.serveProbe)
	p.Handle("POST "+configPath, g.serveConfig)
}

// WithTable runs f with the table of members; f must not keep it.
func (g *Service) WithTable(f func(t *member.Table)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.table)
}

// Self is the node's own record.
func (g *Service) Self() member.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Self()
}

// Update changes the node's own record and tells peers.
func (g *Service) Update(change func(member.Record) member.Record) {
	g.mu.Lock()
	r := g.table.Update(time.Now(), change)
	g.mu.Unlock()
	g.Broadcast(Message{Members: []member.Record{r}})
}

// Broadcast sends news to a few random peers.
func (g *Service) Broadcast(m Message) {
	if !m.Empty() {
		g.news.Push(m)
	}
}

// BroadcastHead implements active.Peers.
func (g *Service) BroadcastHead(h active.Head) { g.Broadcast(Message{Head: &h}) }

// IsWatcher implements active.Peers. A node that knows no other watches.
func (g *Service) IsWatcher() bool { return g.watching.Load() }

// FetchUpdate implements active.Peers.
func (g *Service) FetchUpdate(ctx context.Context, address string, have uint64) (active.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var news active.Update
	if err := g.client.PostJSON(ctx, address, configPath, configRequest{have}, &news); err != nil {
		return news, fmt.Errorf("ask %s for its configuration: %w", address, err)
	}
	return news, nil
}

type configRequest struct {
	Have uint64 `json:"have"`
}

func (g *Service) serveConfig(w http.ResponseWriter, r *http.Request) {
	var ask configRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&ask); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	reply(w, g.config.UpdateSince(ask.Have))
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Name implements kernel.Service.
func (g *Service) Name() string { return Name }

// Start implements kernel.Service.
func (g *Service) Start(_ context.Context, k *kernel.Kernel) error {
	g.watching.Store(true)
	k.Go(g.probe)
	k.Go(g.spread)
	k.Go(g.rendezvous)
	return nil
}

// Stop implements kernel.Service.
func (g *Service) Stop(context.Context) error { return nil }

// Leave tells peers that this node stops for good and who has its tickets. It
// waits until some of them have heard it or ctx is done.
func (g *Service) Leave(ctx context.Context, heir string) {
	g.mu.Lock()
	r := g.table.Update(time.Now(), func(r member.Record) member.Record {
		r.Successor, r.Leaving, r.Confirmed = heir, true, true
		return r.WithStatus(member.Left)
	})
	to := g.table.Pick(3*fanout, rand.IntN)
	g.mu.Unlock()
	g.send(ctx, to, Message{Members: []member.Record{r}})
}

// serveGossip takes a message and answers with what the sender lacks.
func (g *Service) serveGossip(w http.ResponseWriter, r *http.Request) {
	var m Message
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&m); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	g.messages.Add(1)
	now := time.Now()
	g.Receive(now, m)
	answer := g.hello()
	answer.Members = g.viewOf(m.From)
	if len(m.Sums) == buckets*sumSize {
		answer.Want = differing(m.Sums, sumsOf(g.topics))
		answer = answer.WithRecords(gather(now, g.topics, answer.Want))
	}
	reply(w, answer)
}

// viewOf is what this node believes of a sender that it doubts.
func (g *Service) viewOf(from member.Record) []member.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.table.Get(from.ID)
	if !ok || r.Status == member.Alive {
		return nil
	}
	return []member.Record{r}
}

// Receive learns from a message and passes on what was news.
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

// hello is a message with nothing but who sends it and which configuration it
// has; a receiver that is behind asks for the rest.
func (g *Service) hello() Message {
	m := Message{From: g.Self()}
	if c := g.config.Get(); c != nil {
		m.Head = &active.Head{Version: c.Head.Version}
	}
	return m
}

// exchange sends a message and learns from the answer.
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
	back := gather(now, g.topics, answer.Want)
	back.From = g.Self()
	return g.client.PostJSON(ctx, to, gossipPath, back, &answer)
}

// spread sends news to a few random peers as it comes.
func (g *Service) spread(ctx context.Context) error {
	for {
		batch, err := g.news.Take(ctx)
		if err != nil {
			return nil
		}
		var m Message
		for _, one := range batch {
			m = m.WithRecords(one)
		}
		g.send(ctx, g.pick(fanout), m)
	}
}

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

// isWatcher reports whether this node is among the first of its zone.
func (g *Service) isWatcher() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.table.Self()
	before := 0
	g.table.Each(func(r *member.Record) {
		if r.Zone == self.Zone && r.Status == member.Alive && r.ID < self.ID {
			before++
		}
	})
	return before < watchers
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
	}{g.table.Self(), g.watching.Load(), sent, bytes, g.messages.Load(), g.news.Dropped(), g.table.All()}
}
