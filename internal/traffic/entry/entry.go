// Package entry accepts requests: those of callers (root requests), and the
// calls that the node's own target makes to other services (inner calls).
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
	"chestnutshed.example/chestnutshed/internal/core/status"
	"chestnutshed.example/chestnutshed/internal/fleet/shard"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"chestnutshed.example/chestnutshed/internal/traffic/owner"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
	"chestnutshed.example/chestnutshed/internal/traffic/serve"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name is the name of the kernel service.
const Name = "entry"

// Paths that the node serves itself, on the listeners for callers and for the
// target.
const (
	pathPrefix   = "/chestnut/"
	ticketsPath  = pathPrefix + "tickets"
	healthPath   = pathPrefix + "health"
	announcePath = pathPrefix + "announce"
)

// Deps are the dependencies of the service.
type Deps struct {
	Config *active.Service
	Sender *sender.Service
	Serve  *serve.Service
	Owner  *owner.Service
	Rates  *shard.Service
	Poison *serve.Poison
	Set    *metrics.Set
	Log    *logrus.Entry
}

// Service serves callers and the node's own target.
type Service struct {
	Deps
	settings settings.Settings

	mu        sync.Mutex
	ranker    *rank.Ranker
	accepting bool
	counts    map[tallyKey]*Tally

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
		return fmt.Errorf("start the listener for the target: %w", err)
	}
	if s.callers, err = listen.Start(k, "callers", s.settings.Callers, http.HandlerFunc(s.serveCaller)); err != nil {
		return fmt.Errorf("start the listener for callers: %w", err)
	}
	s.setAccepting(true)
	k.Go(s.pruneRanker)
	return nil
}

func (s *Service) setAccepting(accepting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = accepting
}

func (s *Service) isAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting
}

// pruneRanker removes the demand of organisations without recent requests once a
// minute.
func (s *Service) pruneRanker(ctx context.Context) error {
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

// Stop implements kernel.Service. It waits for the requests of callers to end
// before it closes the listener for the target, because they may still make
// inner calls.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.StopCallers(ctx); err != nil {
		return err
	}
	if err := s.target.Stop(ctx); err != nil {
		return fmt.Errorf("stop the listener for the target: %w", err)
	}
	return nil
}

// StopCallers closes the listener for callers and waits for running requests.
func (s *Service) StopCallers(ctx context.Context) error {
	s.setAccepting(false)
	if err := s.callers.Stop(ctx); err != nil {
		return fmt.Errorf("stop the listener for callers: %w", err)
	}
	return nil
}

// serveCaller handles requests on the listener for callers.
func (s *Service) serveCaller(w http.ResponseWriter, r *http.Request) {
	if !s.isAccepting() {
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

// serveHealth reports to callers' load balancers whether the node is ready.
func (s *Service) serveHealth(w http.ResponseWriter) {
	switch {
	case !s.isAccepting():
		failure.New(failure.Leaving, "the node is stopping").Write(w)
	case s.Config.Get() == nil:
		failure.New(failure.NotReady, "no configuration yet").Write(w)
	default:
		_, _ = w.Write([]byte("{\"ready\":true}\n"))
	}
}

// write sends the result of a call as the response to a request with this method.
func write(w http.ResponseWriter, method, root string, r sender.Result) {
	w.Header().Set(wire.RootHeader, root)
	if r.Refusal == nil && !status.Final(r.Status) {
		r.Refusal = failure.New(failure.BadResponse, "the response has status %d, which is no final one", r.Status).WithRan(failure.RanUnknown)
	}
	if r.Refusal != nil {
		r.Refusal.WithRoot(root).Write(w)
		return
	}
	h := w.Header()
	for name, values := range wire.EndToEnd(r.Header) {
		h[name] = values
	}
	if method != http.MethodHead { // the length of a body that is not at hand is unknown
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
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
	}{s.accepting, s.ranker.Flows(), s.tallies()}
}
