package experiment

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
)

// settleTime is how much of a trigger's start is left out of its goodput.
const settleTime = 3 * time.Second

// recoverWindow is the time over which goodput counts as recovered, in seconds.
const recoverWindow = 3

// Result is what one run measured.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	// Demand, Ideal and Goodput are whole requests a second during the trigger.
	// The ideal sheds no more important request before a less important one.
	Demand  float64 `json:"demand"`
	Ideal   float64 `json:"ideal"`
	Goodput float64 `json:"goodput"`
	// Ratio is Goodput over Ideal.
	Ratio float64 `json:"ratio"`
	// Recovery is the time from the trigger's end to 95 % of the goodput
	// before, in seconds; negative when it never came.
	Recovery float64 `json:"recovery"`
	// Worst is the worst-served organisation's goodput over its fair share.
	Worst float64 `json:"worst"`
	// Wrongful is the part of requests that failed although their
	// organisation was within its rate, over the trigger and after.
	Wrongful float64 `json:"wrongful"`
	// MeanSends and MaxSends count the sends of a root; MaxExtra those beyond
	// its distinct calls.
	MeanSends float64 `json:"mean_sends"`
	MaxSends  int     `json:"max_sends"`
	MaxExtra  int     `json:"max_extra"`
	// Wasted is the part of slot time spent for roots that failed.
	Wasted float64 `json:"wasted"`
	// Disorder counts refusals for overload while a less important request
	// waited at the same node.
	Disorder int `json:"disorder"`
	// Lost is the number of targets that crashed.
	Lost int `json:"lost"`
	// Classes is the part answered whole of each kind's requests in the trigger.
	Classes []Class `json:"classes"`
	// Series is goodput per second of the run.
	Series []float64 `json:"-"`
	// Refusals counts roots' refusals by reason over the run.
	Refusals map[failure.Reason]int `json:"refusals"`
}

// Class is the part of one kind of requests that was answered whole.
type Class struct {
	Kind  string  `json:"kind"`
	Whole float64 `json:"whole"`
}

// tally counts wishes.
type tally struct{ wished, whole int }

type collector struct {
	plan     plan
	series   []float64
	byOrg    map[string]*tally
	byKind   map[string]*tally
	late     tally
	roots    int
	sent     int
	maxSends int
	maxExtra int
	slot     time.Duration
	useful   time.Duration
	disorder int
	lost     int
	refusals map[failure.Reason]int
}

func newCollector(p plan) *collector {
	return &collector{
		plan:     p,
		series:   make([]float64, int(p.length/time.Second)+1),
		byOrg:    map[string]*tally{},
		byKind:   map[string]*tally{},
		refusals: map[failure.Reason]int{},
	}
}

func past(now time.Time) time.Duration { return now.Sub(time.Unix(0, 0)) }

// inTrigger reports whether a wish counts for the goodput of the trigger.
func (c *collector) inTrigger(began time.Time) bool {
	at := past(began)
	return at >= c.plan.from+settleTime && at < c.plan.until
}

func count(m map[string]*tally, key string) *tally {
	t, ok := m[key]
	if !ok {
		t = &tally{}
		m[key] = t
	}
	return t
}

func (c *collector) wished(now time.Time, w *wish) {
	if w.poison {
		return
	}
	if c.inTrigger(now) {
		count(c.byOrg, w.org.name).wished++
		count(c.byKind, w.kind.name).wished++
	}
}

func (c *collector) wishEnded(now time.Time, w *wish, good bool) {
	if w.poison {
		return
	}
	if past(w.began) >= c.plan.from {
		c.late.wished++
		if good {
			c.late.whole++
		}
	}
	if !good {
		return
	}
	c.series[int(past(now)/time.Second)]++
	if c.inTrigger(w.began) {
		count(c.byOrg, w.org.name).whole++
		count(c.byKind, w.kind.name).whole++
	}
}

func (c *collector) rootEnded(_ time.Time, r *root, result retry.Result, good bool) {
	c.roots++
	c.sent += r.sends
	if good {
		c.useful += r.slotTime
	}
	if x, ok := result.(retry.Refused); ok {
		c.refusals[x.Refusal.Reason]++
	}
}

// sends looks at a root after each send.
func (c *collector) sends(r *root) {
	c.maxSends = max(c.maxSends, r.sends)
	c.maxExtra = max(c.maxExtra, r.sends-r.wish.kind.stages)
}

func (c *collector) slotTime(d time.Duration) { c.slot += d }

// refusedAt looks for a less important request waiting where one was refused.
// One that doesn't go as deep doesn't count: the service that the refused one
// lacks may be further down.
func (c *collector) refusedAt(v *server, r *root) {
	for _, w := range v.waiting {
		other := w.call.root.wish.kind
		if other.importance < r.wish.kind.importance && other.stages >= r.wish.kind.stages {
			c.disorder++
			return
		}
	}
}

// result sums up a run.
func (c *collector) result(v Variant, seed uint64) Result {
	seconds := (c.plan.until - c.plan.from - settleTime).Seconds()
	r := Result{
		Deployment: c.plan.deployment,
		Scenario:   c.plan.scenario.name,
		Variant:    v.Name,
		Seed:       seed,
		Demand:     c.triggerDemand(),
		Goodput:    c.mean(c.plan.from+settleTime, c.plan.until),
		Recovery:   c.recovery(),
		Worst:      c.worst(seconds),
		Wrongful:   1 - float64(c.late.whole)/math.Max(1, float64(c.late.wished)),
		MeanSends:  float64(c.sent) / math.Max(1, float64(c.roots)),
		MaxSends:   c.maxSends,
		MaxExtra:   c.maxExtra,
		Wasted:     1 - c.useful.Seconds()/math.Max(1e-9, c.slot.Seconds()),
		Disorder:   c.disorder,
		Lost:       c.lost,
		Series:     c.series,
		Refusals:   c.refusals,
	}
	for _, rate := range c.plan.ideal(c.plan.scenario.slow, r.Demand) {
		r.Ideal += rate
	}
	r.Ratio = r.Goodput / r.Ideal
	for _, k := range c.plan.kinds {
		t := count(c.byKind, k.name)
		r.Classes = append(r.Classes, Class{k.name, float64(t.whole) / math.Max(1, float64(t.wished))})
	}
	return r
}

func (c *collector) triggerDemand() float64 {
	sum := 0.0
	for i := range c.plan.orgs {
		o := &c.plan.orgs[i]
		sum += c.orgDemand(o)
	}
	return sum
}

// orgDemand is what an organisation asks for in the trigger and may have.
func (c *collector) orgDemand(o *org) float64 {
	return math.Min(o.rate*c.plan.scenario.demand(o), o.limit)
}

func (c *collector) mean(from, until time.Duration) float64 {
	a, b := int(from/time.Second), int(until/time.Second)
	sum := 0.0
	for _, n := range c.series[a:b] {
		sum += n
	}
	return sum / float64(b-a)
}

// recovery looks for the first window after the trigger with 95 % of the
// goodput before it.
func (c *collector) recovery() float64 {
	before := c.mean(5*time.Second, c.plan.from)
	end := int(c.plan.until / time.Second)
	for at := end; at+recoverWindow < len(c.series); at++ {
		sum := 0.0
		for i := range recoverWindow {
			sum += c.series[at+i]
		}
		if sum/recoverWindow >= 0.95*before {
			return float64(at - end)
		}
	}
	return -1
}

// worst is the least part of its fair share that an organisation got. The fair
// share divides what the ideal does of each kind, since importance goes before
// fairness.
func (c *collector) worst(seconds float64) float64 {
	fair := make([]float64, len(c.plan.orgs))
	for n, rate := range c.plan.ideal(c.plan.scenario.slow, c.triggerDemand()) {
		for i, part := range c.fairShares(rate, c.plan.kinds[n].weight) {
			fair[i] += part
		}
	}
	worst := math.Inf(1)
	for i, o := range c.plan.orgs {
		got := float64(count(c.byOrg, o.name).whole) / seconds
		worst = math.Min(worst, got/fair[i])
	}
	return worst
}

// fairShares divides the rate of one kind: weighted max-min of the
// organisations' demands for it.
func (c *collector) fairShares(total, weight float64) []float64 {
	fair := make([]float64, len(c.plan.orgs))
	for low, high, i := 0.0, 1e9, 0; i < 100; i++ {
		mid := (low + high) / 2
		sum := 0.0
		for n := range c.plan.orgs {
			o := &c.plan.orgs[n]
			fair[n] = math.Min(weight*c.orgDemand(o), mid*o.share)
			sum += fair[n]
		}
		if sum > total {
			high = mid
		} else {
			low = mid
		}
	}
	return fair
}

// Run runs one variant of a scenario on a deployment.
func Run(deployment, scenario string, v Variant, seed uint64) (Result, error) {
	p, err := newPlan(deployment, scenario)
	if err != nil {
		return Result{}, err
	}
	s := newSim(p, v, seed)
	s.run()
	return s.result.result(v, seed), nil
}
