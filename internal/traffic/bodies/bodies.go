// Package bodies holds the request bodies of a server within a bound. Decisions are those of
// policy/intake.
package bodies

import (
	"context"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/policy/intake"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// logInterval is the time between log lines while bodies are refused.
const logInterval = 5 * time.Second

// Decisions as counted: admitted at once or after a wait, refused unread, dropped while it grew,
// and not read because its request is refused anyway.
const (
	admitted = "admitted"
	waited   = "waited"
	refused  = "refused"
	dropped  = "dropped"
	unwanted = "unwanted"
)

// Options are the settings and dependencies of a gate.
type Options struct {
	// Name of the listener, in logs and metrics.
	Name string
	// Bound returns the most that bodies may hold at this moment, in bytes.
	Bound func() int64
	// Describe returns whose body it is, how important, and until when it may wait. ID and
	// Bytes are left out. It reports false if the request is refused whatever its body. Nil is
	// for bodies that are all the same and do not wait.
	Describe func(now time.Time, r *httpconn.Request) (intake.Body, bool)
	Metrics  *metrics.Set
	Log      *logrus.Entry
}

// Gate implements httpconn.Intake.
type Gate struct {
	options  Options
	counters map[string]*metrics.Counter

	mu         sync.Mutex
	controller *intake.Controller
	waiting    map[uint64]chan intake.Verdict
	lastID     uint64
	// unlogged is the number of bodies refused since loggedAt.
	unlogged int
	loggedAt time.Time
}

// New returns a gate without bodies.
func New(o Options) *Gate {
	g := &Gate{options: o, controller: intake.New(o.Bound()), waiting: map[uint64]chan intake.Verdict{}, counters: map[string]*metrics.Counter{}}
	for _, decision := range []string{admitted, waited, refused, dropped, unwanted} {
		g.counters[decision] = o.Metrics.NewCounter("request_bodies_total{listener=\"" + o.Name + "\",decision=\"" + decision + "\"}")
	}
	label := "{listener=\"" + o.Name + "\"}"
	o.Metrics.NewGauge("request_bodies"+label, func() float64 { return float64(g.state().Bodies) })
	o.Metrics.NewGauge("request_bodies_waiting"+label, func() float64 { return float64(g.state().Waiting) })
	o.Metrics.NewGauge("request_body_bound_bytes"+label, func() float64 { return float64(g.state().Bound) })
	return g
}

// Held is the memory of the bodies, in bytes.
func (g *Gate) Held() int64 { return g.state().Held }

func (g *Gate) state() intake.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.State()
}

// Admit implements httpconn.Intake.
func (g *Gate) Admit(ctx context.Context, r *httpconn.Request, length int64) (httpconn.Room, *httpconn.NoRoom) {
	now := clock.Now()
	g.mu.Lock()
	var b intake.Body
	if g.options.Describe != nil && (length < 0 || !g.controller.Fits(length)) {
		g.mu.Unlock()
		var wanted bool
		if b, wanted = g.options.Describe(now, r); !wanted && length > intake.Small {
			g.count(unwanted)
			return nil, &httpconn.NoRoom{}
		} else if !wanted {
			b = intake.Body{Class: priority.Classes - 1}
		}
		g.mu.Lock()
	}
	g.lastID++
	b.ID, b.Bytes = g.lastID, length
	if length < 0 {
		b.Bytes = httpconn.FirstBuffer
	}
	g.notify(g.controller.SetBound(g.options.Bound()))
	verdict, changes := g.controller.Offer(now, b)
	g.notify(changes)
	var ch chan intake.Verdict
	if verdict == (intake.Wait{}) {
		ch = make(chan intake.Verdict, 1)
		g.waiting[b.ID] = ch
	}
	g.mu.Unlock()
	decision := admitted
	if ch != nil {
		decision, verdict = waited, g.await(ctx, b, ch)
	}
	if v, ok := verdict.(intake.Refuse); ok {
		return nil, g.refuse(now, b, v)
	}
	g.count(decision)
	return &room{gate: g, id: b.ID}, nil
}

// await waits for the verdict on a waiting body.
func (g *Gate) await(ctx context.Context, b intake.Body, ch chan intake.Verdict) intake.Verdict {
	timer := time.NewTimer(b.Until.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case v := <-ch:
		return v
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	refusal, changes, isWaiting := g.controller.Cancel(clock.Now(), b.ID)
	g.notify(changes)
	delete(g.waiting, b.ID)
	g.mu.Unlock()
	if !isWaiting {
		// The verdict came before the cancellation.
		return <-ch
	}
	return refusal
}

// notify passes verdicts to waiting bodies. The caller holds mu.
func (g *Gate) notify(changes intake.Changes) {
	for id, v := range changes {
		if ch, ok := g.waiting[id]; ok {
			delete(g.waiting, id)
			ch <- v
		}
	}
}

// refuse counts a refusal and logs the first one of some time.
func (g *Gate) refuse(now time.Time, b intake.Body, v intake.Refuse) *httpconn.NoRoom {
	g.count(refused)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unlogged++; now.Sub(g.loggedAt) >= logInterval {
		state := g.controller.State()
		g.options.Log.WithFields(logrus.Fields{
			"listener": g.options.Name, "refused": g.unlogged, "bytes": b.Bytes, "organisation": b.Organisation, "class": b.Class,
			"held": state.Held, "bound": state.Bound, "bodies": state.Bodies, "waiting": state.Waiting, "after_ms": v.After.Milliseconds(),
		}).Warn("no room for request bodies")
		g.unlogged, g.loggedAt = 0, now
	}
	return &httpconn.NoRoom{After: v.After, Never: v.Never}
}

func (g *Gate) count(decision string) { g.counters[decision].Inc() }

// room is the room of an admitted body.
type room struct {
	gate *Gate
	id   uint64
}

// Resize implements httpconn.Room.
func (r *room) Resize(bytes int64) bool {
	g := r.gate
	g.mu.Lock()
	fits, changes := g.controller.Resize(r.id, bytes)
	g.notify(changes)
	g.mu.Unlock()
	if !fits {
		g.count(dropped)
	}
	return fits
}

// Release implements httpconn.Room.
func (r *room) Release() {
	g := r.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.controller.Release(clock.Now(), r.id))
}
