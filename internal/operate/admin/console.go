// Package console is the listener for operators: state dump, metrics, summary
// and drain.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/listen"
	"github.com/VictoriaMetrics/metrics"
)

// Name of the service.
const Name = "console"

// Paths of the operators' interface.
const (
	StatePath   = "/state"
	MetricsPath = "/metrics"
	DrainPath   = "/drain"
	VersionPath = "/config"
)

// Dump is the state of one process.
type Dump struct {
	At       time.Time             `json:"at"`
	Started  time.Time             `json:"started"`
	Services []kernel.ServiceState `json:"services"`
}

// Service serves the operators' listener.
type Service struct {
	settings settings.Settings
	set      *metrics.Set
	started  time.Time
	drain    func()
	config   Versioned
	kernel   *kernel.Kernel
	server   *listen.Server
}

// Version tells which configuration a node has in force.
type Version struct {
	Version uint64 `json:"version"`
}

// Versioned knows the configuration in force.
type Versioned interface{ Version() uint64 }

// configName is the service that knows the configuration in force.
const configName = "config"

// New returns the service. Drain begins a planned stop and returns at once.
func New(s settings.Settings, set *metrics.Set, drain func()) *Service {
	return &Service{settings: s, set: set, drain: drain, started: time.Now()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	var err error
	if s.config, err = kernel.Find[Versioned](k, configName); err != nil {
		return fmt.Errorf("find the configuration: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+StatePath, s.serveState)
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		s.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+VersionPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Version{s.config.Version()})
	})
	mux.HandleFunc("POST "+DrainPath, func(w http.ResponseWriter, _ *http.Request) {
		s.drain()
		w.WriteHeader(http.StatusAccepted)
	})
	if s.server, err = listen.Start(k, "operators", s.settings.Operators, mux); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return nil
}

func (s *Service) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(Dump{At: time.Now(), Started: s.started, Services: s.kernel.Dump()})
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// State implements kernel.Service.
func (s *Service) State() any {
	return struct {
		Address string `json:"address"`
	}{s.settings.Operators.Address}
}
