// Package admin serves the operator listener: state dump, metrics, configuration
// version and drain.
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

// Paths of the operator listener.
const (
	StatePath   = "/state"
	MetricsPath = "/metrics"
	DrainPath   = "/drain"
	VersionPath = "/config"
)

// Dump is the state dump of a process.
type Dump struct {
	At       time.Time             `json:"at"`
	Started  time.Time             `json:"started"`
	Services []kernel.ServiceState `json:"services"`
}

// Service runs the operator listener.
type Service struct {
	settings settings.Settings
	set      *metrics.Set
	started  time.Time
	drain    func()
	config   VersionSource
	kernel   *kernel.Kernel
	server   *listen.Server
}

// Version is the response with a node's active configuration version.
type Version struct {
	Version uint64 `json:"version"`
}

// VersionSource returns the version of the active configuration.
type VersionSource interface{ Version() uint64 }

// configName is the name of the service that implements VersionSource.
const configName = "config"

// New returns the service. The function drain starts a graceful shutdown and
// returns at once.
func New(s settings.Settings, set *metrics.Set, drain func()) *Service {
	return &Service{settings: s, set: set, drain: drain, started: time.Now()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	var err error
	if s.config, err = kernel.Find[VersionSource](k, configName); err != nil {
		return fmt.Errorf("find configuration service: %w", err)
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
		return fmt.Errorf("start operator listener: %w", err)
	}
	return nil
}

// serveState writes the state dump as JSON.
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
