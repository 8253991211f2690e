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

	"chestnutshed.example/chestnutshed/internal/config/follow"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

var org = rules.Organisation{Name: "o", Rate: 100, Burst: 100}

// source always has the one configuration.
type source struct{}

func (source) Current(context.Context) (follow.Snapshot, error) {
	return follow.Snapshot{Text: []byte("1"), Revision: 1}, nil
}

func (source) Changes(ctx context.Context, _ uint64, wait time.Duration) (follow.Snapshot, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return follow.Snapshot{Revision: 1}, nil
}

func (source) Decode([]byte) (*rules.Set, error) {
	return rules.New(1, nil, nil, []rules.Organisation{org}, rules.DefaultLimits())
}

// network joins the services of a test.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
}

type node struct {
	network *network
	id      string
	rates   *quota.Service
	// cut stops messages from and to the node.
	cut bool
}

func (n *node) Name() string                                { return "roster" }
func (n *node) Start(context.Context, *kernel.Kernel) error { return nil }
func (n *node) Stop(context.Context) error                  { return nil }
func (n *node) State() any                                  { return nil }
func (n *node) ConfirmRank(time.Time) int                   { return 0 }
func (n *node) SpreadVersion()                              {}
func (n *node) Self() member.Record                         { return member.Record{ID: n.id} }
func (n *node) Silent(_ time.Time, id string) bool          { return !n.network.reach(n.id, id) }

func (n *node) Running(time.Time) ([]string, int) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	var ids []string
	for id, other := range n.network.nodes {
		if id == n.id || (!n.cut && !other.cut) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids, len(n.network.nodes)
}

func (n *node) Get(id string) (member.Record, bool) { return member.Record{ID: id}, true }

func (n *node) Send(_ time.Time, id, _ string, body any) error {
	text, err := json.Marshal(body)
	if err != nil || !n.network.reach(n.id, id) {
		return err
	}
	time.AfterFunc(3*time.Millisecond, func() { n.network.nodes[id].rates.Message(time.Now(), n.id, text) })
	return nil
}

func (w *network) reach(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a == b || (!w.nodes[a].cut && !w.nodes[b].cut)
}

func (w *network) cut(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id].cut = true
}

// cutThird cuts off the last four of twelve nodes, one by one.
func (w *network) cutThird() {
	for i := 8; i < 12; i++ {
		w.cut(fmt.Sprintf("n%02d", i))
	}
}

// notes passes claims between nodes, as exchanges do.
func (w *network) notes(ctx context.Context) {
	for ctx.Err() == nil {
		for id, n := range w.nodes {
			note := n.rates.Note()
			for other, o := range w.nodes {
				if note != nil && w.reach(id, other) {
					o.rates.Noted(time.Now(), id, note)
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
		config := follow.New(source{}, 5*time.Second, logrus.NewEntry(log))
		n.rates = quota.New(time.Now, n, config, logrus.NewEntry(log))
		k := kernel.New()
		for _, s := range []kernel.Service{n, config, n.rates} {
			is.New(t).NoErr(k.Register(s))
		}
		is.New(t).NoErr(k.Start(context.Background()))
		t.Cleanup(func() { _ = k.Stop(context.Background()) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.notes(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// spend lets every node ask at a rate for a time and returns the tokens taken
// and refused.
func (w *network) spend(perNode float64, d time.Duration) (taken, refused int) {
	return w.spendRank(0, perNode, d)
}

// spendRank is spend for requests on routes of some rank.
func (w *network) spendRank(rank int, perNode float64, d time.Duration) (taken, refused int) {
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
			time.Sleep(lag) // callers of different nodes don't act in step
			for time.Now().Before(end) {
				group.Add(1)
				go func() {
					defer group.Done()
					got := n.rates.Take(context.Background(), time.Now(), &org, rank)
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

// allowed is what the platform tolerates in a window.
func allowed(window time.Duration) int {
	return int((org.Rate*window.Seconds()+org.Burst)*1.1 + 20)
}

// settle is the time until a holder is there and its buckets are full.
const settle = 2800 * time.Millisecond

func TestDemandWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(settle)
		// Small demands at many nodes: nothing can be drawn ahead.
		taken, refused := w.spend(org.Rate*0.95/12, 3*time.Second)
		is.True(taken > 200)
		is.Equal(refused, 0)
	})
}

func TestHotOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(settle)
		window := 3 * time.Second
		taken, refused := w.spend(org.Rate*8/12, window)
		is.True(refused > 0)
		is.True(taken <= allowed(window))
		is.True(float64(taken) >= org.Rate*window.Seconds()) // the rate itself is granted
	})
}

// A third of the nodes are cut off one by one, each with callers over the rate.
func TestNodesCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(settle)
		w.cutThird()
		window := 3 * time.Second
		taken, _ := w.spend(org.Rate*8/12, window)
		is.True(taken <= allowed(window))
	})
}

// The same over the users' window, with the holder's bucket full at its start:
// what the nodes that are cut off may spend is held back by the holder.
func TestNodesCutOffForAWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(settle)
		w.cutThird()
		time.Sleep(time.Second)
		window := 5 * time.Second
		taken, _ := w.spend(org.Rate*8/12, window)
		t.Logf("%d taken, %d allowed", taken, allowed(window))
		is.True(taken <= allowed(window))
		is.True(float64(taken) >= org.Rate*window.Seconds())
	})
}

// The holder goes; its successor grants nothing twice, and soon the rate.
func TestHolderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(settle)
		w.cut("n00")
		window := 4 * time.Second
		taken, _ := w.spend(org.Rate*8/12, window)
		is.True(taken <= allowed(window))
		is.True(float64(taken) >= org.Rate*window.Seconds()*0.5)
	})
}

// A node that starts alone, out of its peers' reach, spends its part of what the
// holder leaves, not an equal part of the whole rate.
func TestFreshNodeAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		w.cut("n05")
		alone := w.nodes["n05"].rates
		const window, standingPart = 4 * time.Second, 0.4
		taken := 0
		for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if alone.Take(context.Background(), time.Now(), &org, 0) != quota.Exceeded {
				taken++
			}
		}
		is.True(taken > 0)
		is.True(float64(taken) <= 2+org.Rate*standingPart/12*window.Seconds())
	})
}

// Callers that repeat lookups use up the rate of their organisation; its requests
// of the highest rank still pass, and the bound holds for both together.
func TestRanksOfOneOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(settle)
		window := 3 * time.Second
		var group sync.WaitGroup
		lookups := 0
		group.Go(func() { lookups, _ = w.spendRank(2, org.Rate*8/12, window) })
		orders, refused := w.spendRank(0, org.Rate*0.3/12, window)
		group.Wait()
		is.Equal(refused, 0)
		is.True(lookups+orders <= allowed(window))
		is.True(float64(lookups+orders) >= org.Rate*window.Seconds()*0.95)
	})
}

func TestNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 1)
		is.Equal(w.nodes["n00"].rates.Take(context.Background(), time.Now(), &rules.Organisation{Name: "free"}, 0), quota.Taken)
	})
}

// All nodes start anew under load: what fits the rate is served at once, and
// the bound holds over the time without a holder.
func TestFreshFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(20 * time.Millisecond)
		taken, refused := w.spend(org.Rate*0.6/12, 4*time.Second)
		is.True(float64(refused) <= 0.05*float64(taken+refused))
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(20 * time.Millisecond)
		window := 4 * time.Second
		taken, _ := w.spend(org.Rate*8/12, window)
		is.True(taken <= allowed(window))
	})
}
