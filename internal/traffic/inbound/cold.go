package inbound

import (
	"context"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/fleet/evacuation"
	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"github.com/sirupsen/logrus"
)

// updateCold applies the bound of the target's service. It reports false while the bound
// is not known. The caller holds mu.
func (s *Service) updateCold() bool {
	bound, known := s.coldBound(s.target.Last.Service)
	if known {
		s.overload.Cold().SetBound(bound)
	}
	return known
}

// recordWarmth applies what a new announcement says of the target's cold time. The caller
// holds mu.
func (s *Service) recordWarmth(now time.Time, before, next lifecycle.Target) {
	if next.Last == before.Last {
		return
	}
	s.updateCold()
	cold := s.overload.Cold()
	warmth, a := cold.Warmth(), next.Last
	switch isNew := !next.Is(before.Last.ID, before.Last.Born); {
	case isNew && a.ColdKnown:
		warmth = warmth.WithStart(now, a.Cold)
	case isNew:
		warmth = warmth.WithDoubt(now, cold.Bound().Time)
	case a.ColdKnown:
		warmth = warmth.WithAnnouncement(now, a.Cold)
	}
	s.setWarmth(now, warmth)
}

// doubtWarmth records that the target may have become cold. The caller holds mu.
func (s *Service) doubtWarmth(now time.Time) {
	cold := s.overload.Cold()
	s.setWarmth(now, cold.Warmth().WithDoubt(now, cold.Bound().Time))
}

// setWarmth sets what is known of the target's warmth, and logs when it becomes cold. The
// caller holds mu.
func (s *Service) setWarmth(now time.Time, w coldstart.Warmth) {
	cold := s.overload.Cold()
	wasCold := cold.Active(now)
	cold.SetWarmth(w)
	if cold.Active(now) && !wasCold {
		s.log.WithFields(logrus.Fields{"target": s.target.Last.ID, "per_second": cold.Rate(now)}).Info("target is cold; requests bounded")
	}
}

// checkZone stops work for the target while its availability zone is evacuated. When the
// zone is taken back, its targets may be cold.
func (s *Service) checkZone(now time.Time) {
	zone := s.ownZone(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.zone
	if zone == before {
		return
	}
	s.zone = zone
	s.notifyWaiting(s.overload.SetSlots(now, s.slots()))
	s.log.WithFields(logrus.Fields{"was": before.String(), "zone": zone.String()}).Info("state of the availability zone changed")
	if before == evacuation.Evacuated && s.updateCold() && s.overload.Cold().Bound().PerSecond > 0 && s.target.State == lifecycle.Ready {
		s.doubtWarmth(now)
		s.overload.Cold().RecordSent(now)
		go s.askWarmth(now, s.target.Last)
	}
}

// askWarmth asks the target how long it stays cold.
func (s *Service) askWarmth(asked time.Time, a lifecycle.Announcement) {
	path := s.health.path(a.Service)
	if path == "" {
		return
	}
	info, err := s.checkHealth(path)
	log := s.log.WithField("target", a.ID)
	if err != nil {
		log.WithError(err).Info("target did not say whether it is cold")
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch cold := info.Cold.(type) {
	case call.InvalidColdness:
		log.WithField("text", cold.Text[:min(len(cold.Text), maxLimitText)]).Warn("invalid cold time of a health check ignored")
	case call.ColdFor:
		limiter := s.overload.Cold()
		if info.ID == a.ID && s.target.Is(a.ID, a.Born) && !limiter.Warmth().DoubtedAfter(asked) {
			s.setWarmth(now, limiter.Warmth().WithAnswer(now, cold.Left))
			log.WithField("cold_ms", cold.Left.Milliseconds()).Info("target said how long it stays cold")
		}
	case call.NoColdness:
	}
}

// checkOpen refuses a call unless the availability zone is open, or while it is not
// known what a cold target of the service takes. The caller holds mu.
func (s *Service) checkOpen() *call.Refused {
	if s.zone != evacuation.Open || !s.updateCold() {
		return &call.Refused{Reason: failure.NotReady, RetryAfter: unavailableRetryAfter}
	}
	return nil
}

// watchZone is one step of the task that follows the evacuations.
func (s *Service) watchZone(context.Context) { s.checkZone(clock.Now()) }
