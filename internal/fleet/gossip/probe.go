package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"golang.org/x/sync/errgroup"
)

// probe checks a random peer every second.
func (g *Service) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		g.expire()
		g.watching.Store(g.isWatcher())
		m := g.hello()
		if round%compareEvery == 0 {
			m.Sums = sumsOf(g.topics)
		}
		g.probeOne(ctx, m)
		if round%reviveEvery == 0 {
			g.revive(ctx)
		}
	}
}

func (g *Service) expire() {
	g.mu.Lock()
	changed := g.table.Expire(time.Now())
	g.mu.Unlock()
	g.Broadcast(Message{Members: changed})
}

func (g *Service) pick(n int) []member.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Pick(n, rand.IntN)
}

func (g *Service) probeOne(ctx context.Context, m Message) {
	for _, peer := range g.pick(1) {
		err := g.exchange(ctx, peer.Address, m)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.ReportRefused(peer.ID)
			continue
		}
		if !g.probedByOthers(ctx, peer) {
			g.doubt(peer)
		}
	}
}

// ReportRefused notes that a node's port refuses connections: its process is gone.
func (g *Service) ReportRefused(id string) {
	g.mu.Lock()
	r, changed := g.table.MarkDead(time.Now(), id)
	g.mu.Unlock()
	if changed {
		g.log.WithField("peer", r.Address).Warn("peer is gone: its port refuses connections")
		g.Broadcast(Message{Members: []member.Record{r}})
	}
}

// ReportError notes an error of a message to an address: a refused connection
// tells that the node there is gone.
func (g *Service) ReportError(address string, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	r, ok := g.table.At(address)
	g.mu.Unlock()
	if ok {
		g.ReportRefused(r.ID)
	}
}

func (g *Service) doubt(peer member.Record) {
	g.mu.Lock()
	r, changed := g.table.MarkSuspect(time.Now(), peer.ID)
	g.mu.Unlock()
	if changed {
		g.log.WithField("peer", peer.Address).Warn("peer does not answer")
		g.Broadcast(Message{Members: []member.Record{r}})
	}
}

type probeRequest struct {
	Address string `json:"addr"`
}

type probeReply struct {
	Reached bool `json:"reached"`
}

// probedByOthers asks other nodes whether they reach a silent one.
func (g *Service) probedByOthers(ctx context.Context, peer member.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	var reached atomic.Bool
	group, ctx := errgroup.WithContext(ctx)
	for _, helper := range g.pick(helpers) {
		if helper.ID == peer.ID {
			continue
		}
		group.Go(func() error {
			var answer probeReply
			if g.client.PostJSON(ctx, helper.Address, probePath, probeRequest{peer.Address}, &answer) == nil && answer.Reached {
				reached.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reached.Load()
}

func (g *Service) serveProbe(w http.ResponseWriter, r *http.Request) {
	var ask probeRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&ask); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	err := g.exchange(r.Context(), ask.Address, g.hello())
	reply(w, probeReply{Reached: err == nil})
}

// revive tries one node that counts as dead, so that both sides of a healed
// network find each other again.
func (g *Service) revive(ctx context.Context) {
	var dead []member.Record
	g.mu.Lock()
	g.table.Each(func(r *member.Record) {
		if r.Status == member.Dead && !r.Confirmed {
			dead = append(dead, *r)
		}
	})
	g.mu.Unlock()
	if len(dead) == 0 {
		return
	}
	peer := dead[rand.IntN(len(dead))]
	m := g.hello()
	m.Members = []member.Record{peer}
	_ = g.exchange(ctx, peer.Address, m)
}
