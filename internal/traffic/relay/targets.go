package relay

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"github.com/sirupsen/logrus"
)

// How long what a target has said of itself is remembered after its last answer: its rate
// limit, and that it leaves.
const (
	rateTTL = time.Minute
	leftTTL = 10 * time.Minute
)

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

// targets remembers what targets have said of themselves. Their nodes may restart and
// forget it. It is not safe for concurrent use.
type targets struct {
	rates map[incarnation]targetRate
	left  map[incarnation]time.Time
}

func newTargets() targets {
	return targets{rates: map[incarnation]targetRate{}, left: map[incarnation]time.Time{}}
}

// recordRate remembers the rate limit that came with an outcome, 0 for none. The target's
// node may restart, and learns it again from the calls of the others. Without an answer
// of the target it may not know the limit yet.
func (t targets) recordRate(now time.Time, of incarnation, o call.Outcome, perSecond float64) {
	if perSecond > 0 {
		t.rates[of] = targetRate{perSecond, now}
	} else if _, answered := o.(call.Answered); answered {
		delete(t.rates, of)
	}
}

// rate returns the rate limit that a target named last, 0 if it named none.
func (t targets) rate(of incarnation) float64 { return t.rates[of].perSecond }

// recordLeft remembers that a target leaves. It reports whether that is new.
func (t targets) recordLeft(now time.Time, of incarnation) bool {
	_, known := t.left[of]
	t.left[of] = now
	return !known
}

// hasLeft reports whether a target has said that it leaves.
func (t targets) hasLeft(of incarnation) bool {
	_, ok := t.left[of]
	return ok
}

// prune forgets targets that have not answered for long.
func (t targets) prune(now time.Time) {
	for of, rate := range t.rates {
		if now.Sub(rate.at) > rateTTL {
			delete(t.rates, of)
		}
	}
	for of, at := range t.left {
		if now.Sub(at) > leftTTL {
			delete(t.left, of)
		}
	}
}

// recordTarget remembers what the outcome of a call says of its target.
func (s *Service) recordTarget(now time.Time, to member.Record, o call.Outcome, load call.Load) {
	of := incarnationOf(to)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.recordRate(now, of, o, load.TargetRate)
	if load.TargetLeft && s.targets.recordLeft(now, of) {
		s.Log.WithFields(logrus.Fields{"target": of.id, "born": of.born, "member": to.ID}).Info("target said that it leaves")
	}
}
