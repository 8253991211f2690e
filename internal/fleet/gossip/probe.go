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

// probeLoop probes a random peer every probeInterval.
func (g *Service) probeLoop(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		g.expire()
		g.watching.Store(g.shouldWatch())
		m := g.newMessage()
		if round%roundsPerCompare == 0 {
			m.Checksums = checksums(g.topics)
		}
		g.probePeer(ctx, m)
		if round%roundsPerReconnect == 0 {
			g.reconnect(ctx)
		}
	}
}

// expire updates records whose timeout has passed and broadcasts the changes.
func (g *Service) expire() {
	g.mu.Lock()
	changed := g.table.Expire(time.Now())
	g.mu.Unlock()
	g.Broadcast(Message{Members: changed})
}

// pick returns up to n random peers.
func (g *Service) pick(n int) []member.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Pick(n, rand.IntN)
}

// probePeer exchanges m with a random peer. A peer that refuses the connection
// is marked dead at once, one that answers no probe, direct or indirect, is
// marked suspect.
func (g *Service) probePeer(ctx context.Context, m Message) {
	for _, peer := range g.pick(1) {
		err := g.exchange(ctx, peer.Address, m)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.ReportRefused(peer.ID)
			continue
		}
		if !g.probeIndirectly(ctx, peer) {
			g.markSuspect(peer)
		}
	}
}

// ReportRefused marks a node as dead because its port refuses connections: its
// process no longer runs.
func (g *Service) ReportRefused(id string) {
	g.mu.Lock()
	r, changed := g.table.MarkDead(time.Now(), id)
	g.mu.Unlock()
	if changed {
		g.log.WithField("peer", r.Address).Warn("peer refuses connections; marked dead")
		g.Broadcast(Message{Members: []member.Record{r}})
	}
}

// ReportError records that a request to an address failed. A refused connection
// marks the node there as dead; other errors are ignored.
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

// markSuspect marks a peer as suspect and broadcasts the change.
func (g *Service) markSuspect(peer member.Record) {
	g.mu.Lock()
	r, changed := g.table.MarkSuspect(time.Now(), peer.ID)
	g.mu.Unlock()
	if changed {
		g.log.WithField("peer", peer.Address).Warn("peer answers neither direct nor indirect probes; marked suspect")
		g.Broadcast(Message{Members: []member.Record{r}})
	}
}

type probeRequest struct {
	Address string `json:"addr"`
}

type probeReply struct {
	Reached bool `json:"reached"`
}

// probeIndirectly asks other nodes to probe a peer and reports whether one of
// them got an answer.
func (g *Service) probeIndirectly(ctx context.Context, peer member.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	var reached atomic.Bool
	group, ctx := errgroup.WithContext(ctx)
	for _, prober := range g.pick(indirectProbers) {
		if prober.ID == peer.ID {
			continue
		}
		group.Go(func() error {
			var answer probeReply
			if g.client.PostJSON(ctx, prober.Address, probePath, probeRequest{peer.Address}, &answer) == nil && answer.Reached {
				reached.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reached.Load()
}

func (g *Service) serveProbe(w http.ResponseWriter, r *http.Request) {
	var req probeRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&req); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	err := g.exchange(r.Context(), req.Address, g.newMessage())
	writeJSON(w, probeReply{Reached: err == nil})
}

// reconnect tries to reach one random node whose death is not confirmed. This
// rejoins the two sides of a network partition after it heals.
func (g *Service) reconnect(ctx context.Context) {
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
	m := g.newMessage()
	m.Members = []member.Record{peer}
	_ = g.exchange(ctx, peer.Address, m)
}
