package inbound

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/fleet/evacuation"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/sirupsen/logrus"
)

const (
	// healthDelay is how long after the start of the process the target is asked itself,
	// if the store has not told by then which targets have left.
	healthDelay = time.Second
	// healthInterval is the time between two health checks, and their timeout.
	healthInterval = time.Second
	// maxHealthBody bounds the body of the answer to a health check, in bytes.
	maxHealthBody = 16 << 10
)

// healthCheck asks the target whether it leaves.
type healthCheck struct {
	pool *httpconn.Pool
	path func(service string) string
	// running is set while a check runs.
	running atomic.Bool
	// last is when the last check began. Only the goroutine of applyHistory uses it.
	last time.Time
}

func newHealthCheck(address string, path func(service string) string) *healthCheck {
	return &healthCheck{pool: httpconn.NewPool(address, httpconn.Options{DialTimeout: dialTimeout, MaxBody: maxHealthBody}), path: path}
}

// confirm asks the target beside the node whether it leaves, when the store does not tell
// what earlier processes acknowledged. Only targets of an open zone are asked.
func (s *Service) confirm(now time.Time, target lifecycle.Target) {
	a, ok := target.Pending()
	if !ok || now.Sub(s.startedAt) < healthDelay || now.Sub(s.health.last) < healthInterval {
		return
	}
	path := s.health.path(a.Service)
	if path == "" || s.ownZone(now) != evacuation.Open || s.hasLeft(a.ID, a.Born) || !s.health.running.CompareAndSwap(false, true) {
		return
	}
	s.health.last = now
	s.mu.Lock()
	s.overload.Cold().RecordSent(now)
	s.mu.Unlock()
	go func() {
		defer s.health.running.Store(false)
		info, err := s.checkHealth(path)
		id := info.ID
		log := s.log.WithFields(logrus.Fields{"target": a.ID, "confirmed": id})
		if err != nil {
			log = log.WithError(err)
		}
		log.Info("target asked whether it leaves")
		if id != "" {
			now := clock.Now()
			s.update(now, func(t lifecycle.Target) (lifecycle.Target, bool) { return t.WithConfirmation(now, id) })
		}
	}()
}

// checkHealth returns what the target says of itself.
func (s *Service) checkHealth(path string) (call.HealthInfo, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthInterval)
	defer cancel()
	resp, err := s.health.pool.Do(ctx, &httpconn.Request{Method: http.MethodGet, Target: path, Host: s.health.pool.Address(), Header: http.Header{}}, httpconn.Reuse{Fresh: true})
	if err != nil {
		return call.HealthInfo{}, fmt.Errorf("check health of target: %w", err)
	}
	return s.dialect.ParseHealth(resp.Status, resp.Header), nil
}
