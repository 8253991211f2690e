package quota_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

var org = rules.Organisation{Name: "o", Rate: 100, Burst: 100}

// source always returns the same configuration.
type source struct{}

func (source) Current(context.Context) (confsync.Snapshot, error) {
	return confsync.Snapshot{Text: []byte("1"), Revision: 1}, nil
}

func (source) Changes(ctx context.Context, _ uint64, wait time.Duration) (confsync.Snapshot, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return confsync.Snapshot{Revision: 1}, nil
}

func (source) Decode([]byte) (*rules.Set, error) {
	return rules.New(1, nil, nil, []rules.Organisation{org}, rules.DefaultLimits())
}

// network connects the services of a test.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
}

type node struct {
	network *network
	id      string
	service *quota.Service
	// isolate drops messages from and to the node, from isolatedAt on.
	isolate    bool
	isolatedAt time.Time
	// mute drops messages of the service, while the node counts as running.
	mute bool
}

func (n *node) Name() string                                { return "roster" }
func (n *node) Start(context.Context, *kernel.Kernel) error { return nil }
func (n *node) Stop(context.Context) error                  { return nil }
func (n *node) State() any                                  { return nil }
func (n *node) ConfirmRank(time.Time) int                   { return 0 }
func (n *node) BroadcastVersion()                           {}
func (n *node) Self() member.Record                         { return member.Record{ID: n.id} }
func (n *node) Silent(_ time.Time, id string) bool          { return !n.network.reachable(n.id, id) }

func (n *node) Running(time.Time) ([]string, int) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	var ids []string
	for id, other := range n.network.nodes {
		if id == n.id || (!n.isolate && !other.isolate) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, len(n.network.nodes)
}

func (n *node) Unmet(time.Time) int { return 0 }

func (n *node) LastContact() time.Time {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.isolate {
		return n.isolatedAt
	}
	return time.Now()
}

func (n *node) Get(id string) (member.Record, bool) { return member.Record{ID: id}, true }

func (n *node) Send(_ time.Time, id, _ string, body any) error {
	text, err := json.Marshal(body)
	if err != nil || !n.network.reachable(n.id, id) || n.network.isMute(id) {
		return err
	}
	time.AfterFunc(3*time.Millisecond, func() { n.network.nodes[id].service.Message(time.Now(), n.id, text) })
	return nil
}

func (w *network) reachable(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a == b || (!w.nodes[a].isolate && !w.nodes[b].isolate)
}

func (w *network) isMute(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id].mute
}

func (w *network) setMute(id string, mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id].mute = mute
}

func (w *network) isolate(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id].isolate, w.nodes[id].isolatedAt = true, time.Now()
}

// isolateThird isolates the last four of twelve nodes, one by one.
func (w *network) isolateThird() {
	for i := 8; i < 12; i++ {
		w.isolate(fmt.Sprintf("n%02d", i))
	}
}

// exchangeNotes passes holder claims between nodes, as roster exchanges do.
func (w *network) exchangeNotes(ctx context.Context) {
	for ctx.Err() == nil {
		for id, n := range w.nodes {
			note := n.service.Note()
			for other, o := range w.nodes {
				if note != nil && w.reachable(id, other) {
					o.service.Noted(time.Now(), id, note)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func newNetwork(t *testing.T, size int) *network {
	t.Helper()
	w := &network{nodes: map[string]*node{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range size {
		n := &node{network: w, id: fmt.Sprintf("n%02d", i)}
		w.nodes[n.id] = n
		config := confsync.New(source{}, 5*time.Second, logrus.NewEntry(log))
		n.service = quota.New(time.Now, n, config, logrus.NewEntry(log))
		k := kernel.New()
		for _, s := range []kernel.Service{n, config, n.service} {
			is.New(t).NoErr(k.Register(s))
		}
		is.New(t).NoErr(k.Start(context.Background()))
		t.Cleanup(func() { _ = k.Stop(context.Background()) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.exchangeNotes(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// offer sends requests on every node at a rate of perNode a second for a time. It
// returns how many requests got a token and how many were refused.
func (w *network) offer(perNode float64, d time.Duration) (taken, refused int) {
	return w.offerRank(0, perNode, d)
}

// offerRank is offer for requests of the given rank.
func (w *network) offerRank(rank int, perNode float64, d time.Duration) (taken, refused int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(d)
	started := 0
	for _, n := range w.nodes {
		group.Add(1)
		lag := time.Duration(float64(started) * float64(time.Second) / perNode / float64(len(w.nodes)))
		started++
		go func() {
			defer group.Done()
			time.Sleep(lag) // staggers the callers of different nodes
			for time.Now().Before(end) {
				group.Add(1)
				go func() {
					defer group.Done()
					got := n.service.Take(context.Background(), time.Now(), &org, quota.Request{Rank: rank})
					mu.Lock()
					defer mu.Unlock()
					if got == quota.Exceeded {
						refused++
					} else {
						taken++
					}
				}()
				time.Sleep(time.Duration(float64(time.Second) / perNode))
			}
		}()
	}
	group.Wait()
	return taken, refused
}

// tolerated is the maximum number of tokens that the platform tolerates in a
// window.
func tolerated(window time.Duration) int {
	return int((org.Rate*window.Seconds()+org.Burst)*1.1 + 20)
}

// warmUp is the time until a holder is elected and its buckets are full.
const warmUp = 2800 * time.Millisecond

func TestDemandBelowRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		// The demand of each node is too small to draw tokens in advance.
		taken, refused := w.offer(org.Rate*0.95/12, 3*time.Second)
		is.True(taken > 200)
		is.Equal(refused, 0)
	})
}

// The holder answers nothing for a while, for instance because it parses a large
// configuration. Once it answers again, the nodes draw from it again and refuse nothing
// below the rate.
func TestHolderStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		w.setMute("n00", true)
		w.offer(org.Rate*0.6/12, time.Second)
		w.setMute("n00", false)
		w.offer(org.Rate*0.6/12, time.Second)
		taken, refused := w.offer(org.Rate*0.6/12, 3*time.Second)
		t.Logf("%d taken, %d refused", taken, refused)
		is.Equal(refused, 0)
	})
}

func TestDemandAboveRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		window := 3 * time.Second
		taken, refused := w.offer(org.Rate*8/12, window)
		is.True(refused > 0)
		is.True(taken <= tolerated(window))
		is.True(float64(taken) >= org.Rate*window.Seconds()) // the rate itself is granted
	})
}

// A third of the nodes are isolated one by one, each with demand above the rate.
// The fallback shares and the holder's grants together must stay within the bound.
func TestIsolatedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		w.isolateThird()
		window := 3 * time.Second
		taken, _ := w.offer(org.Rate*8/12, window)
		is.True(taken <= tolerated(window))
	})
}

// As TestIsolatedNodes over a window of 5 s, with the holder's bucket full at its
// start. The holder must subtract the fallback shares of the isolated nodes from
// what it grants.
func TestIsolatedNodesFullBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		w.isolateThird()
		time.Sleep(time.Second)
		window := 5 * time.Second
		taken, _ := w.offer(org.Rate*8/12, window)
		t.Logf("%d taken, %d tolerated", taken, tolerated(window))
		is.True(taken <= tolerated(window))
		is.True(float64(taken) >= org.Rate*window.Seconds())
	})
}

// The holder is isolated. Its successor must not grant the same tokens again, and
// must soon grant at the rate.
func TestIsolatedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		w.isolate("n00")
		window := 4 * time.Second
		taken, _ := w.offer(org.Rate*8/12, window)
		is.True(taken <= tolerated(window))
		is.True(float64(taken) >= org.Rate*window.Seconds()*0.5)
	})
}

// A node that starts isolated must spend only its fallback share of the rate, not
// an equal share of the whole rate, since a holder may grant that to the others.
func TestIsolatedFromStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		w.isolate("n05")
		alone := w.nodes["n05"].service
		const window, fallbackFraction = 4 * time.Second, 0.4
		taken := 0
		for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if alone.Take(context.Background(), time.Now(), &org, quota.Request{}) != quota.Exceeded {
				taken++
			}
		}
		is.True(taken > 0)
		is.True(float64(taken) <= 2+org.Rate*fallbackFraction/12*window.Seconds())
	})
}

// Callers that retry lookups use up the rate of their organisation. Its requests of
// the highest rank must still pass, and the bound must hold for both together.
func TestReserveForHighestRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		window := 3 * time.Second
		var group sync.WaitGroup
		lookups := 0
		group.Go(func() { lookups, _ = w.offerRank(2, org.Rate*8/12, window) })
		orders, refused := w.offerRank(0, org.Rate*0.3/12, window)
		group.Wait()
		is.Equal(refused, 0)
		is.True(lookups+orders <= tolerated(window))
		is.True(float64(lookups+orders) >= org.Rate*window.Seconds()*0.95)
	})
}

func TestUnlimitedOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 1)
		is.Equal(w.nodes["n00"].service.Take(context.Background(), time.Now(), &rules.Organisation{Name: "free"}, quota.Request{}), quota.Taken)
	})
}

// All nodes restart under load. Demand below the rate must be served at once, and
// the bound must hold while there is no holder.
func TestFleetRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(20 * time.Millisecond)
		taken, refused := w.offer(org.Rate*0.6/12, 4*time.Second)
		is.True(float64(refused) <= 0.05*float64(taken+refused))
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(20 * time.Millisecond)
		window := 4 * time.Second
		taken, _ := w.offer(org.Rate*8/12, window)
		is.True(taken <= tolerated(window))
	})
}
