// Package rationing decides which requests may be retried at a service whose targets
// reject part of all attempts although they have free slots.
//
// A request that needs several calls completes only if each of them does. If all of
// them compete for the few retries that are allowed, hardly any request completes,
// and the retries are wasted. So retries go to the requests with the lowest scores, as
// many as the retry budget can bring to completion. The others are better refused at
// their entry: see balancer.Rejecting.
package rationing

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// rejectionWindow is the time constant of the numbers of recent attempts.
	rejectionWindow = 500 * time.Millisecond
	// demandWindow is the time constant of the distribution of the first attempts. It is
	// long, since requests refused at their entry no longer show in it.
	demandWindow = 5 * time.Second
	// spendTime is the time over which the available retries are spread. How long the
	// targets will reject is not known.
	spendTime = 4 * time.Second
	// demandFactor is how much greater than the demand seen that of requests which
	// complete is: a request makes no further calls after one that failed.
	demandFactor = 1.25
	// priorAttempts is the number of accepted attempts assumed beforehand, so that a
	// few rejections at targets with little traffic don't count as a failure.
	priorAttempts = 1.0
	// reserved is the fraction of the retry budget that requests at the cutoff and above
	// leave to more important ones.
	reserved = 0.75
	// entryFactor is the demand below the cutoff that entries are told, in multiples of
	// that below the own cutoff. Some requests complete without retries, and what others
	// don't use is left to them.
	entryFactor = 2.0
	// minObserved bounds observed from below, in seconds.
	minObserved = 0.1
	// minFraction is the fraction of rejected attempts from which retries are rationed.
	// At maxFraction retries help no more.
	minFraction = 0.05
	maxFraction = 0.95
)

// Sample is what the node of a target measures. All numbers can be averaged over the
// targets of a service.
type Sample struct {
	// Attempts and Rejections are decaying numbers of recent attempts and of those that
	// the target rejected.
	Attempts   float64
	Rejections float64
	// Demand is the number of first attempts per second, and Supply the number of
	// retries per second that the budget allows for a while.
	Demand float64
	Supply float64
}

// WithMean returns the mean of two samples, with a weight for the other one.
func (s Sample) WithMean(other Sample, weight float64) Sample {
	mean := func(a, b float64) float64 { return a + (b-a)*weight }
	return Sample{
		Attempts: mean(s.Attempts, other.Attempts), Rejections: mean(s.Rejections, other.Rejections),
		Demand: mean(s.Demand, other.Demand), Supply: mean(s.Supply, other.Supply),
	}
}

// Fraction is the fraction of attempts that is rejected, 0 if it is not worth mentioning.
func (s Sample) Fraction() float64 {
	f := s.Rejections / (s.Attempts + priorAttempts)
	if f < minFraction {
		return 0
	}
	return min(f, maxFraction)
}

// Controller decides for one target. It is not safe for concurrent use.
type Controller struct {
	own Sample
	// demand is the distribution of the first attempts over the scores of their root
	// requests, decaying with demandWindow.
	demand priority.Histogram
	// observed is the decaying time in seconds over which demand was counted.
	observed float64
	// cutoff is the highest score of requests that are retried as often as it takes, and
	// entryCutoff that of requests that are worth admitting at their entry.
	cutoff, entryCutoff priority.Cutoff
	// admitted is the part of the demand below the cutoff.
	admitted float64
	// rationing is set while the service rejects attempts.
	rationing bool
	// available is the number of retries that the budget has, and limit the number if
	// none had been sent lately.
	available, limit float64
	updated          time.Time
}

// New returns a controller of a target that has rejected nothing.
func New() *Controller { return &Controller{cutoff: priority.AdmitAll, entryCutoff: priority.AdmitAll} }

// RecordFirst counts a first attempt by the score of its root request.
func (c *Controller) RecordFirst(root priority.Score) { c.demand.Add(root, 1) }

// RecordResult counts an attempt that the target answered, and whether it rejected it.
func (c *Controller) RecordResult(rejected bool) {
	c.own.Attempts++
	if rejected {
		c.own.Rejections++
	}
}

// Allows reports whether a rejected request may be retried, by the score of its root
// request. The less important that is, the more of the budget must be left. Requests of
// the same importance are told apart only if they are inner calls: the other calls that
// their roots make need retries as well, so that some roots had better get all and others
// none.
func (c *Controller) Allows(root priority.Score, inner bool) bool {
	if !c.rationing {
		return true
	}
	if !inner {
		root = priority.Score(root.Class())
	}
	position := 1.0
	if c.cutoff.Admits(root, 1) {
		position = min(c.demand.Below(root)/max(c.admitted, 1), 1)
	}
	return c.available >= 1+reserved*(c.limit-1)*position
}

// RecordRetry counts a retry that was allowed.
func (c *Controller) RecordRetry() { c.available-- }

// Cutoff is the highest score of requests that are worth admitting at their entry.
func (c *Controller) Cutoff() priority.Cutoff { return c.entryCutoff }

// Measure ends a tick, with the number of retries that the budget has now and what it
// would have if none had been sent. It returns what the target's node measured.
func (c *Controller) Measure(now time.Time, available, limit float64) Sample {
	elapsed := time.Duration(0)
	if !c.updated.IsZero() {
		elapsed = min(max(now.Sub(c.updated), 0), time.Minute)
	}
	c.updated, c.available, c.limit = now, available, limit
	keep := math.Exp(-elapsed.Seconds() / rejectionWindow.Seconds())
	c.own.Attempts *= keep
	c.own.Rejections *= keep
	keep = math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	c.demand.Scale(keep)
	c.observed = c.observed*keep + (1-keep)*demandWindow.Seconds()
	c.own.Demand = c.demand.Total() / max(c.observed, minObserved)
	c.own.Supply = max(available, 0) / spendTime.Seconds()
	return c.own
}

// Adjust moves the cutoff to where the retries of the service last for a while, from the
// mean of what the nodes of its targets measured.
func (c *Controller) Adjust(mean Sample) {
	fraction := mean.Fraction()
	c.cutoff, c.entryCutoff = priority.AdmitAll, priority.AdmitAll
	if c.rationing = fraction > 0 && mean.Demand > 0; !c.rationing {
		return
	}
	// retries is the mean number of retries until an attempt is accepted.
	retries := fraction / (1 - fraction)
	share := mean.Supply / (retries * mean.Demand * demandFactor)
	c.admitted = min(share, 1) * c.demand.Total()
	c.cutoff, c.entryCutoff = c.quantile(share), c.quantile(entryFactor*share)
}

// quantile returns the cutoff below which a share of the demand lies.
func (c *Controller) quantile(share float64) priority.Cutoff {
	if share >= 1 {
		return priority.AdmitAll
	}
	return c.demand.Quantile(share * c.demand.Total())
}
