package inbound

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/ratelimit"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"github.com/sirupsen/logrus"
)

const (
	// maxLimitText bounds the text of an invalid limit or pace in logs, in bytes.
	maxLimitText = 40
	// minLoggedChange is the least change of a limit that is logged, as a fraction.
	minLoggedChange = 0.1
)

// namedRate is the rate limit of an incarnation of the target.
type namedRate struct {
	// answered is set once the incarnation has answered this process.
	answered bool
	// logged is the last rate logged, 0 for none.
	logged float64
}

// recordLimit records the rate limit that a response to a call names.
func (s *Service) recordLimit(now, began time.Time, c call.Call, l call.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.target.Is(c.Instance, c.Born) {
		return
	}
	s.rate.answered = true
	rate := s.overload.Rate()
	switch l := l.(type) {
	case call.NoLimit:
		rate = rate.WithUnnamed(now, began)
	case call.NamedLimit:
		rate = rate.WithNamed(now, l.PerSecond)
	case call.InvalidLimit:
		s.log.WithFields(logrus.Fields{"target": c.Instance, "text": l.Text[:min(len(l.Text), maxLimitText)]}).Warn("target named an invalid limit")
		return
	}
	s.setRate(now, rate)
}

// adoptLimit uses the rate limit that another node has learned from the target, until the
// target itself has answered this process: the process may have restarted.
func (s *Service) adoptLimit(now time.Time, c call.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.TargetRate > 0 && !s.rate.answered && s.target.Is(c.Instance, c.Born) {
		s.setRate(now, s.overload.Rate().WithNamed(now, c.TargetRate))
	}
}

// setRate sets the rate limit of the target and logs larger changes. The caller holds mu.
func (s *Service) setRate(now time.Time, rate ratelimit.Limit) {
	s.overload.SetRate(now, rate)
	named := rate.Named()
	if math.Abs(named-s.rate.logged) <= minLoggedChange*s.rate.logged {
		return
	}
	s.rate.logged = named
	fields := logrus.Fields{"target": s.target.Last.ID}
	if named > 0 {
		fields["per_second"] = named
	}
	s.log.WithFields(fields).Info("limit named by the target changed")
}
