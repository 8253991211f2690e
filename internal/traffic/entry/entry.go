// Package entry takes requests in: those of callers, and those that the own
// target makes to other services.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/listen"
	"chestnutshed.example/chestnutshed/internal/fleet/shard"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"chestnutshed.example/chestnutshed/internal/traffic/owner"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
	"chestnutshed.example/chestnutshed/internal/traffic/serve"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "entry"

// Paths of the node's own interface on the listeners for callers and target.
const (
	ownPrefix    = "/chestnut/"
	ticketsPath  = ownPrefix + "tickets"
	healthPath   = ownPrefix + "health"
	announcePath = ownPrefix + "announce"
)

// Deps are what the service works with.
type Deps struct {
	Config *active.Service
	Sender *sender.Service
	Serve  *serve.Service
	Home   *owner.Service
	Rates  *shard.Service
	Poison *serve.Poison
	Set    *metrics.Set
	Log    *logrus.Entry
}

// Service serves callers and the own target.
type Service struct {
	Deps
	settings settings.Settings

	mu     sync.Mutex
	ranker *rank.Ranker
	open   bool
	counts map[tallyKey]*Tally

	callers *listen.Server
	target  *listen.Server
	latency *metrics.Summary
}

// New returns the service for a node's settings.
func New(s settings.Settings, p Deps) *Service {
	return &Service{
		Deps:     p,
		settings: s,
		ranker:   rank.New(),
		counts:   map[tallyKey]*Tally{},
		latency:  p.Set.NewSummary("chestnutshed_root_seconds"),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	target := http.NewServeMux()
	target.HandleFunc("PUT "+announcePath, s.Serve.HandleAnnouncement)
	target.HandleFunc("/", s.serveInner)
	var err error
	if s.target, err = listen.Start(k, "target", s.settings.Target, target); err != nil {
		return fmt.Errorf("listen for the target: %w", err)
	}
	if s.callers, err = listen.Start(k, "callers", s.settings.Callers, http.HandlerFunc(s.serveCaller)); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.setOpen(true)
	k.Go(s.forget)
	return nil
}

func (s *Service) setOpen(open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = open
}

func (s *Service) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// forget drops the demand of organisations that are silent.
func (s *Service) forget(ctx context.Context) error {
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.mu.Lock()
			s.ranker.Prune(now)
			s.mu.Unlock()
		}
	}
}

// Stop implements kernel.Service: it lets callers' requests finish, then those
// of the target.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.StopCallers(ctx); err != nil {
		return err
	}
	if err := s.target.Stop(ctx); err != nil {
		return fmt.Errorf("stop listening for the target: %w", err)
	}
	return nil
}

// StopCallers takes no new callers and waits for their requests under way.
func (s *Service) StopCallers(ctx context.Context) error {
	s.setOpen(false)
	if err := s.callers.Stop(ctx); err != nil {
		return fmt.Errorf("stop listening for callers: %w", err)
	}
	return nil
}

// serveCaller is the handler of the callers' listener.
func (s *Service) serveCaller(w http.ResponseWriter, r *http.Request) {
	if !s.isOpen() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case healthPath:
		s.serveHealth(w)
	case ticketsPath:
		s.serveTickets(w, r)
	default:
		s.serveRoot(w, r)
	}
}

// serveHealth tells callers' load balancers whether to use this node.
func (s *Service) serveHealth(w http.ResponseWriter) {
	switch {
	case !s.isOpen():
		failure.New(failure.Leaving, "the node is stopping").Write(w)
	case s.Config.Get() == nil:
		failure.New(failure.NotReady, "no configuration yet").Write(w)
	default:
		_, _ = w.Write([]byte("{\"ready\":true}\n"))
	}
}

// write sends the result of a call to the one who asked.
func write(w http.ResponseWriter, root string, r sender.Result) {
	w.Header().Set(wire.RootHeader, root)
	if r.Refusal != nil {
		r.Refusal.WithRoot(root).Write(w)
		return
	}
	h := w.Header()
	for name, values := range wire.EndToEnd(r.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Open  bool    `json:"open"`
		Flows int     `json:"flows"`
		Roots []Tally `json:"roots"`
	}{s.open, s.ranker.Flows(), s.tallies()}
}
