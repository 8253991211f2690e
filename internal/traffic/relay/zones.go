package relay

import (
	"fmt"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"github.com/sirupsen/logrus"
)

// recordZones counts a call that leaves the availability zone, and logs larger changes of the
// fractions that do. The caller holds mu.
func (s *Service) recordZones(service string, pick balancer.Pick, refusal *failure.Refusal) {
	for _, change := range s.balancer.PlanChanges() {
		s.Log.WithFields(logrus.Fields{
			"service": change.Service, "route": change.Route, "fraction": change.Fraction, "reason": change.Reason, "shares": change.Shares,
		}).Info("fraction of calls that leave the zone changed")
		s.Metrics.GetOrCreateGauge(fmt.Sprintf("zone_fraction{service=%q,route=%q}", change.Service, change.Route), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.balancer.PlanFraction(change.Service, change.Route)
		})
	}
	if refusal == nil && pick.Left != "" {
		s.count(fmt.Sprintf("zone_calls_total{service=%q,reason=%q}", service, pick.Left))
	}
}
