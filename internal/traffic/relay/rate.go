package relay

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
)

// rateTTL is how long a target's rate limit is remembered after its last answer.
const rateTTL = time.Minute

// incarnation identifies a start of a target.
type incarnation struct {
	id   string
	born int64
}

func incarnationOf(r member.Record) incarnation { return incarnation{r.Instance, r.Born} }

// targetRate is the rate limit that a target named last, in requests per second.
type targetRate struct {
	perSecond float64
	at        time.Time
}

// recordRate remembers the rate limit that came with an outcome, 0 for none. The target's
// node may restart, and learns it again from the calls of the others. Without an answer
// of the target it may not know the limit yet.
func (s *Service) recordRate(now time.Time, of incarnation, o call.Outcome, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if perSecond > 0 {
		s.rates[of] = targetRate{perSecond, now}
	} else if _, answered := o.(call.Answered); answered {
		delete(s.rates, of)
	}
}

// rateOf returns the rate limit that a target named last, 0 if it named none.
func (s *Service) rateOf(of incarnation) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rates[of].perSecond
}

// pruneRates forgets targets that have not answered for rateTTL. The caller holds mu.
func (s *Service) pruneRates(now time.Time) {
	for of, rate := range s.rates {
		if now.Sub(rate.at) > rateTTL {
			delete(s.rates, of)
		}
	}
}
