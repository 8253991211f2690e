package experiment

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
)

// rampTime is the time after the start of the trigger that goodput leaves out.
const rampTime = 3 * time.Second

// recoveryWindow is the period in seconds over which goodput is averaged to
// detect recovery.
const recoveryWindow = 3

// Result holds the measurements of one run.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	// Demand, Ideal and Goodput are in complete requests per second during the
	// trigger. Ideal is the maximum goodput if less important requests are shed
	// first.
	Demand  float64 `json:"demand"`
	Ideal   float64 `json:"ideal"`
	Goodput float64 `json:"goodput"`
	// Ratio is Goodput divided by Ideal.
	Ratio float64 `json:"ratio"`
	// Recovery is the time in seconds from the end of the trigger until goodput
	// reaches 95 % of that before the trigger. It is negative if it never does.
	Recovery float64 `json:"recovery"`
	// WorstOrg is the lowest goodput of an organisation divided by its fair
	// share.
	WorstOrg float64 `json:"worst"`
	// WrongfulFailures is the share of failed requests among those that started
	// at or after the start of the trigger.
	WrongfulFailures float64 `json:"wrongful"`
	// MeanAttempts and MaxAttempts count the attempts of a root at all stages.
	// MaxRetries counts those beyond one per stage.
	MeanAttempts float64 `json:"mean_sends"`
	MaxAttempts  int     `json:"max_sends"`
	MaxRetries   int     `json:"max_extra"`
	// Wasted is the share of slot time spent on failed roots.
	Wasted float64 `json:"wasted"`
	// PriorityInversions counts overload refusals while a less important
	// request waited at the same node.
	PriorityInversions int `json:"disorder"`
	// Crashes is the number of target crashes.
	Crashes int `json:"lost"`
	// Classes holds the success rate of each kind during the trigger.
	Classes []Class `json:"classes"`
	// Series is the goodput of each second of the run.
	Series []float64 `json:"-"`
	// Refusals counts refused roots of the run by reason.
	Refusals map[failure.Reason]int `json:"refusals"`
}

// Class is the success rate of one kind of requests.
type Class struct {
	Kind      string  `json:"kind"`
	Succeeded float64 `json:"whole"`
}

// tally counts requests and successes.
type tally struct{ requests, succeeded int }

type collector struct {
	plan           plan
	series         []float64
	byOrg          map[string]*tally
	byKind         map[string]*tally
	sinceTrigger   tally
	roots          int
	attempts       int
	maxAttempts    int
	maxRetries     int
	slotTime       time.Duration
	usefulSlotTime time.Duration
	inversions     int
	crashes        int
	refusals       map[failure.Reason]int
}

func newCollector(p plan) *collector {
	return &collector{
		plan:     p,
		series:   make([]float64, int(p.duration/time.Second)+1),
		byOrg:    map[string]*tally{},
		byKind:   map[string]*tally{},
		refusals: map[failure.Reason]int{},
	}
}

func elapsed(now time.Time) time.Duration { return now.Sub(time.Unix(0, 0)) }

// inTrigger reports whether a request that started at began counts for the
// goodput of the trigger.
func (c *collector) inTrigger(began time.Time) bool {
	at := elapsed(began)
	return at >= c.plan.triggerStart+rampTime && at < c.plan.triggerEnd
}

func tallyOf(m map[string]*tally, key string) *tally {
	t, ok := m[key]
	if !ok {
		t = &tally{}
		m[key] = t
	}
	return t
}

func (c *collector) requestStarted(now time.Time, w *request) {
	if w.poison {
		return
	}
	if c.inTrigger(now) {
		tallyOf(c.byOrg, w.org.name).requests++
		tallyOf(c.byKind, w.kind.name).requests++
	}
}

func (c *collector) requestEnded(now time.Time, w *request, good bool) {
	if w.poison {
		return
	}
	if elapsed(w.started) >= c.plan.triggerStart {
		c.sinceTrigger.requests++
		if good {
			c.sinceTrigger.succeeded++
		}
	}
	if !good {
		return
	}
	c.series[int(elapsed(now)/time.Second)]++
	if c.inTrigger(w.started) {
		tallyOf(c.byOrg, w.org.name).succeeded++
		tallyOf(c.byKind, w.kind.name).succeeded++
	}
}

func (c *collector) rootEnded(_ time.Time, r *root, result retry.Result, good bool) {
	c.roots++
	c.attempts += r.attempts
	if good {
		c.usefulSlotTime += r.slotTime
	}
	if x, ok := result.(retry.Refused); ok {
		c.refusals[x.Refusal.Reason]++
	}
}

// recordAttempt updates the maximum numbers after an attempt of a root.
func (c *collector) recordAttempt(r *root) {
	c.maxAttempts = max(c.maxAttempts, r.attempts)
	c.maxRetries = max(c.maxRetries, r.attempts-r.request.kind.stages)
}

func (c *collector) addSlotTime(d time.Duration) { c.slotTime += d }

// countInversion counts a refusal if a less important request waits at the same
// node. Requests that call fewer stages are ignored: the overloaded service may be
// one that they do not call.
func (c *collector) countInversion(v *server, r *root) {
	for _, w := range v.waiting {
		other := w.call.root.request.kind
		if other.importance < r.request.kind.importance && other.stages >= r.request.kind.stages {
			c.inversions++
			return
		}
	}
}

// result returns the measurements of the run.
func (c *collector) result(v Variant, seed uint64) Result {
	seconds := (c.plan.triggerEnd - c.plan.triggerStart - rampTime).Seconds()
	r := Result{
		Deployment:         c.plan.deployment,
		Scenario:           c.plan.scenario.name,
		Variant:            v.Name,
		Seed:               seed,
		Demand:             c.triggerDemand(),
		Goodput:            c.mean(c.plan.triggerStart+rampTime, c.plan.triggerEnd),
		Recovery:           c.recovery(),
		WorstOrg:           c.worstOrg(seconds),
		WrongfulFailures:   1 - float64(c.sinceTrigger.succeeded)/math.Max(1, float64(c.sinceTrigger.requests)),
		MeanAttempts:       float64(c.attempts) / math.Max(1, float64(c.roots)),
		MaxAttempts:        c.maxAttempts,
		MaxRetries:         c.maxRetries,
		Wasted:             1 - c.usefulSlotTime.Seconds()/math.Max(1e-9, c.slotTime.Seconds()),
		PriorityInversions: c.inversions,
		Crashes:            c.crashes,
		Series:             c.series,
		Refusals:           c.refusals,
	}
	for _, rate := range c.plan.idealGoodput(c.plan.scenario.slowdown, r.Demand) {
		r.Ideal += rate
	}
	r.Ratio = r.Goodput / r.Ideal
	for _, k := range c.plan.kinds {
		t := tallyOf(c.byKind, k.name)
		r.Classes = append(r.Classes, Class{k.name, float64(t.succeeded) / math.Max(1, float64(t.requests))})
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

// orgDemand is the demand of an organisation during the trigger, at most its rate
// limit, in requests per second.
func (c *collector) orgDemand(o *org) float64 {
	return math.Min(o.demand*c.plan.scenario.demandFactor(o), o.rateLimit)
}

func (c *collector) mean(from, until time.Duration) float64 {
	a, b := int(from/time.Second), int(until/time.Second)
	sum := 0.0
	for _, n := range c.series[a:b] {
		sum += n
	}
	return sum / float64(b-a)
}

// recovery returns the seconds from the end of the trigger to the first window
// with 95 % of the goodput before the trigger, or -1.
func (c *collector) recovery() float64 {
	before := c.mean(5*time.Second, c.plan.triggerStart)
	end := int(c.plan.triggerEnd / time.Second)
	for at := end; at+recoveryWindow < len(c.series); at++ {
		sum := 0.0
		for i := range recoveryWindow {
			sum += c.series[at+i]
		}
		if sum/recoveryWindow >= 0.95*before {
			return float64(at - end)
		}
	}
	return -1
}

// worstOrg is the lowest ratio of goodput to fair share of all organisations. The
// ideal goodput is divided for each kind on its own, because importance takes
// precedence over fairness.
func (c *collector) worstOrg(seconds float64) float64 {
	fair := make([]float64, len(c.plan.orgs))
	for n, rate := range c.plan.idealGoodput(c.plan.scenario.slowdown, c.triggerDemand()) {
		for i, part := range c.fairShares(rate, c.plan.kinds[n].weight) {
			fair[i] += part
		}
	}
	worst := math.Inf(1)
	for i, o := range c.plan.orgs {
		got := float64(tallyOf(c.byOrg, o.name).succeeded) / seconds
		worst = math.Min(worst, got/fair[i])
	}
	return worst
}

// fairShares divides the rate of one kind between the organisations by weighted
// max-min fairness. It finds the fair level by bisection.
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
	return s.collector.result(v, seed), nil
}
