// Package peers has the listener for calls from other nodes of the fleet, and the
// client that calls them.
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

// Name is the name of the service.
const Name = "peers"

// Service runs the listener for peers. Other services add their handlers before the
// kernel starts it.
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

// Token is the token that authenticates a peer: an HMAC under the fleet secret, in hex.
// The secret itself is not sent.
func Token(secret []byte) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("peer"))
	return hex.EncodeToString(h.Sum(nil))
}

// Handle adds a handler for a pattern as http.ServeMux takes it.
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

// authenticate serves requests that carry the token of the fleet secret, and rejects
// others with 403.
func (s *Service) authenticate(w http.ResponseWriter, r *http.Request) {
	got := r.Header.Get(wire.SecretHeader)
	if !hmac.Equal([]byte(got), []byte(s.token)) {
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

// maxCallBody bounds the body of a call between nodes, in bytes.
const maxCallBody = 64 << 20

// ReadCall reads a call from another node with its body. If the request is malformed,
// truncated or too large, it responds with 400 and ok is false.
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

// heartbeatInterval is the time between heartbeats while a response is prepared.
const heartbeatInterval = 400 * time.Millisecond

// firstHeartbeat is the delay until the first heartbeat. Faster responses need none.
const firstHeartbeat = 100 * time.Millisecond

// WithHeartbeats runs work and sends "102 Processing" as a heartbeat until it returns,
// so that the peer can tell a slow response from a broken connection.
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
