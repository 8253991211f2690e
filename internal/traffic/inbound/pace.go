package inbound

import (
	"math"
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

// recordKnee records a call that has ended for the search of the target's knee. Occupied is
// the number of calls that ran when it began.
func (s *Service) recordKnee(now, began time.Time, c call.Call, occupied float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := float64(s.target.Slots())
	if slots < 1 || s.overload.MakesCalls(c.Route) || !s.target.Is(c.Instance, c.Born) {
		return
	}
	occupancy := math.Min(1, (occupied+s.running)/2/slots)
	s.knee.Record(c.Route, occupancy, time.Duration(float64(now.Sub(began))/s.pace.At(now)))
}

// applyKnee changes the number of usable slots to what the target does most work with. The
// caller holds mu.
func (s *Service) applyKnee(now time.Time) {
	bound := s.knee.Bound(now)
	if bound == s.bound {
		return
	}
	s.bound = bound
	s.notifyWaiting(s.overload.SetSlots(now, s.slots()))
	s.log.WithFields(logrus.Fields{"target": s.target.Last.ID, "bound": bound, "slots": s.slots()}).Info("usable slots of the target changed")
}
