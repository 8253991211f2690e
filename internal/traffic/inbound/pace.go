package inbound

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/pace"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"github.com/sirupsen/logrus"
)

// targetPace is the pace of an incarnation of the target.
type targetPace struct {
	pace.Pace
	// invalid is set once an invalid pace has been logged.
	invalid bool
}

// recordPace records the pace that a response to a call tells.
func (s *Service) recordPace(now time.Time, c call.Call, p call.Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.target.Is(c.Instance, c.Born) {
		return
	}
	switch p := p.(type) {
	case call.NoPace:
	case call.NamedPace:
		s.pace.Pace = s.pace.WithReported(now, p.Factor)
	case call.InvalidPace:
		if !s.pace.invalid {
			s.pace.invalid = true
			s.log.WithFields(logrus.Fields{"target": c.Instance, "text": p.Text[:min(len(p.Text), maxLimitText)]}).Warn("target told an invalid pace")
		}
	}
}
