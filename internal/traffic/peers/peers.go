// Package peers is the listener for other nodes of the fleet, and the client
// towards them.
package peers

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/core/listen"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
)

// Name of the service.
const Name = "peers"

// Service serves the peers' listener. Other services add their handlers before
// the kernel starts it.
type Service struct {
	settings settings.Settings
	mux      *http.ServeMux
	token    string
	server   *listen.Server
}

// New returns the service for a node's settings.
func New(s settings.Settings) *Service {
	return &Service{settings: s, mux: http.NewServeMux(), token: Token(s.FleetSecret())}
}

// Token is what a peer shows to prove that it knows the fleet secret.
func Token(secret []byte) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("peer"))
	return hex.EncodeToString(h.Sum(nil))
}

// Handle adds a handler for a pattern of http.ServeMux.
func (s *Service) Handle(pattern string, h http.HandlerFunc) { s.mux.HandleFunc(pattern, h) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	server, err := listen.Start(k, "peers", s.settings.Peers, http.HandlerFunc(s.authenticate))
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.server = server
	return nil
}

// authenticate lets only peers in that know the fleet secret.
func (s *Service) authenticate(w http.ResponseWriter, r *http.Request) {
	shown := r.Header.Get(wire.SecretHeader)
	if !hmac.Equal([]byte(shown), []byte(s.token)) {
		http.Error(w, "not a peer of this fleet", http.StatusForbidden)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// State implements kernel.Service.
func (s *Service) State() any {
	return struct {
		Address string `json:"address"`
	}{s.settings.Peers.Address}
}

// maxCallBody bounds a request between nodes, in bytes.
const maxCallBody = 64 << 20

// ReadCall reads a call of another node with its body. When it reports false,
// the request was malformed and is answered.
func ReadCall(w http.ResponseWriter, r *http.Request) (call wire.Call, body []byte, ok bool) {
	call, err := wire.DecodeCall(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, nil, false
	}
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBody))
	if err != nil {
		http.Error(w, "the body was cut", http.StatusBadRequest)
		return call, nil, false
	}
	return call, body, true
}

// heartbeatInterval is the time between signs of life while an answer is prepared.
const heartbeatInterval = 400 * time.Millisecond

// firstHeartbeat is when the first sign of life is sent.
const firstHeartbeat = 100 * time.Millisecond

// WithHeartbeats runs work and sends "102 Processing" answers while it lasts, so that
// the peer can tell a slow answer from a silent connection.
func WithHeartbeats(w http.ResponseWriter, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	timer := time.NewTimer(firstHeartbeat)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-timer.C:
			w.WriteHeader(http.StatusProcessing)
			timer.Reset(heartbeatInterval)
		}
	}
}
