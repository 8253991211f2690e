package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/queue"
	"chestnutshed.example/chestnutshed/internal/standin/deployment"
	"github.com/gravitational/trace"
)

// Variant is a configuration of the mechanisms under test.
type Variant struct {
	Name string
	// Admission sets the options of the admission controllers.
	Admission admission.Options
	// Unlimited sets no concurrency limit, so that targets queue.
	Unlimited bool
	// PerHopRetries retries retriesPerHop times at each hop instead of within
	// the retry budget of the root.
	PerHopRetries bool
	// Cancel cancels work at its deadline.
	Cancel bool
	// Health, Poison and RateLimits enable these mechanisms.
	Health     bool
	Poison     bool
	RateLimits bool
}

// Variants returns the baselines and the standard variant. With all set it also
// returns the alternatives to the standard.
func Variants(all bool) []Variant {
	standard := Variant{Name: "standard", Admission: admission.Standard(), Cancel: true, Health: true, Poison: true, RateLimits: true}
	variants := []Variant{
		{Name: "none", Admission: admission.Options{Order: queue.FIFO{}}, Unlimited: true, PerHopRetries: true},
		{Name: "static-fifo", Admission: admission.Options{Order: queue.FIFO{}}, PerHopRetries: true, Cancel: true},
		standard,
	}
	if !all {
		return variants
	}
	with := func(name string, change func(v *Variant)) {
		v := standard
		v.Name = name
		change(&v)
		variants = append(variants, v)
	}
	with("no-levels", func(v *Variant) { v.Admission.Shedding = false })
	with("by-share", func(v *Variant) { v.Admission.Order = queue.WeightedFair{} })
	with("by-newest", func(v *Variant) { v.Admission.Order = queue.LIFO{} })
	with("by-arrival", func(v *Variant) { v.Admission.Order = queue.FIFO{} })
	with("per-hop", func(v *Variant) { v.PerHopRetries = true })
	return variants
}

// scenario is a fault or load change, the trigger, that a run applies.
type scenario struct {
	name        string
	triggerTime time.Duration
	// demandFactor multiplies the arrival rate of an organisation during the
	// trigger.
	demandFactor func(o *org) float64
	// limitFactor is the rate limit of an organisation divided by its usual
	// demand.
	limitFactor float64
	begin       func(s *sim)
	end         func(s *sim)
	// slowdown multiplies the service time of the deepest stage when the ideal
	// goodput is computed.
	slowdown float64
}

// Parameters of a run.
const (
	baselineTime = 15 * time.Second
	recoveryTime = 25 * time.Second
	// baseLoad is the usual demand divided by the capacity of the chain.
	baseLoad = 0.8
	// surgeFactor, flood and slowdown are the factors of the
	// scenarios with these names (slowdownFactor: slow).
	surgeFactor    = 3
	floodFactor    = 8
	slowdownFactor = 5
	// retryBudget and retryRatio are the retries per root and the retries
	// per first attempt of a node.
	retryBudget = 3
	retryRatio  = 0.1
)

func noTrigger(*sim) {}

func usualDemand(*org) float64 { return 1 }

// scenarios lists the scenarios of the design.
func scenarios() []scenario {
	last := func(s *sim) []*server { return s.stages[len(s.stages)-1] }
	return []scenario{
		{name: "steady", triggerTime: 30 * time.Second, demandFactor: usualDemand, limitFactor: 1.5, begin: noTrigger, end: noTrigger, slowdown: 1},
		{
			name: "slow", triggerTime: 30 * time.Second, demandFactor: usualDemand, limitFactor: 4, slowdown: slowdownFactor,
			begin: func(s *sim) { setSlowdown(last(s), slowdownFactor) },
			end:   func(s *sim) { setSlowdown(last(s), 1) },
		},
		{
			name: "surge", triggerTime: 60 * time.Second, limitFactor: 4, slowdown: 1, begin: noTrigger, end: noTrigger,
			demandFactor: func(*org) float64 { return surgeFactor },
		},
		{
			name: "flood", triggerTime: 30 * time.Second, limitFactor: 1.25, slowdown: 1, begin: noTrigger, end: noTrigger,
			demandFactor: func(o *org) float64 { return floodDemand(o) },
		},
		{
			name: "flood-unlimited", triggerTime: 30 * time.Second, limitFactor: 20, slowdown: 1, begin: noTrigger, end: noTrigger,
			demandFactor: func(o *org) float64 { return floodDemand(o) },
		},
		{
			name: "crash", triggerTime: 15 * time.Second, demandFactor: usualDemand, limitFactor: 1.5, slowdown: 1, end: noTrigger,
			begin: func(s *sim) { last(s)[0].crash(5 * time.Second) },
		},
		{name: "poison", triggerTime: 30 * time.Second, demandFactor: usualDemand, limitFactor: 1.5, slowdown: 1, begin: sendPoison, end: noTrigger},
		{
			name: "lying", triggerTime: 30 * time.Second, demandFactor: usualDemand, limitFactor: 1.5, slowdown: 1,
			begin: func(s *sim) { last(s)[0].failing = true },
			end:   func(s *sim) { last(s)[0].failing = false },
		},
		{name: "silent", triggerTime: 15 * time.Second, demandFactor: usualDemand, limitFactor: 1.5, slowdown: 1, end: noTrigger, begin: stallConns},
	}
}

func floodDemand(o *org) float64 {
	if o.index == 0 {
		return floodFactor
	}
	return 1
}

func setSlowdown(all []*server, factor float64) {
	for _, v := range all {
		v.slowdown = factor
	}
}

// sendPoison sends a request that crashes targets, every two seconds during the
// trigger.
func sendPoison(s *sim) {
	if !s.triggerActive() {
		return
	}
	s.startRequest(&s.plan.orgs[1], s.plan.kinds[0], true)
	s.schedule(2*time.Second, func() { sendPoison(s) })
}

// stallConns stalls half the connections of each node to one node of the
// deepest stage.
func stallConns(s *sim) {
	to := s.stages[len(s.stages)-1][0]
	for _, v := range s.all {
		v.stalled[to.id] = stalledConns
	}
}

// org is an organisation of a plan.
type org struct {
	index int
	name  string
	share float64
	// demand is the usual demand and rateLimit the fleet-wide rate limit, both
	// in requests per second.
	demand    float64
	rateLimit float64
}

// plan is a scenario applied to a deployment. Times count from the start of the
// run.
type plan struct {
	deployment    string
	scenario      scenario
	stages        []deployment.Service
	zones         []string
	zoneLatency   time.Duration
	callerLatency time.Duration
	orgs          []org
	kinds         []kind
	retryBudget   int
	retryRatio    float64
	duration      time.Duration
	triggerStart  time.Duration
	triggerEnd    time.Duration
}

// serviceChain lists the services of a deployment in call order.
func serviceChain(name string) []string {
	if name == "mexico" {
		return []string{"routes", "remittances", "deposits", "counting"}
	}
	return []string{"prints", "fees", "records", "tracking"}
}

func newPlan(name, scenarioName string) (plan, error) {
	d, err := deployment.Load(name)
	if err != nil {
		return plan{}, err
	}
	p := plan{
		deployment:    name,
		zones:         d.Zones,
		zoneLatency:   time.Duration(d.ZoneLatency),
		callerLatency: time.Duration(d.CallerLatency),
		retryBudget:   retryBudget,
		retryRatio:    retryRatio,
	}
	for _, service := range serviceChain(name) {
		s, _ := d.Service(service)
		p.stages = append(p.stages, s)
	}
	p.kinds = kinds(len(p.stages))
	found := false
	for _, s := range scenarios() {
		if s.name == scenarioName {
			p.scenario, found = s, true
		}
	}
	if !found {
		return p, trace.NotFound("unknown scenario %q; known scenarios: %v", scenarioName, ScenarioNames())
	}
	p.triggerStart, p.triggerEnd = baselineTime, baselineTime+p.scenario.triggerTime
	p.duration = p.triggerEnd + recoveryTime
	p.addOrgs(d)
	return p, nil
}

// ScenarioNames lists the scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// kinds lists the kinds of requests. Most call all stages, one only two.
func kinds(stages int) []kind {
	all := []kind{
		{name: "lookup", importance: manifest.Low, weight: 0.4, stages: stages},
		{name: "brief", importance: manifest.Normal, weight: 0.2, stages: 2},
		{name: "order", importance: manifest.High, weight: 0.25, stages: stages},
		{name: "payment", importance: manifest.Critical, weight: 0.15, stages: stages},
	}
	for i := range all {
		for s := range stages {
			all[i].routes = append(all[i].routes, fmt.Sprintf("%s/%d", all[i].name, s))
		}
	}
	return all
}

func (p *plan) randomKind(random *rand.Rand) kind {
	at := random.Float64()
	for _, k := range p.kinds {
		if at -= k.weight; at < 0 {
			return k
		}
	}
	return p.kinds[0]
}

func (p *plan) addOrgs(d deployment.Deployment) {
	capacity := p.capacity()
	total := 0.0
	for _, o := range d.Manifest.Organisations {
		total += o.Rate
	}
	for i, o := range d.Manifest.Organisations {
		rate := baseLoad * capacity * o.Rate / total
		p.orgs = append(p.orgs, org{
			index:     i,
			name:      o.Name,
			share:     o.Share,
			demand:    rate,
			rateLimit: rate * p.scenario.limitFactor,
		})
	}
}

// currentDemand is the demand of an organisation now, in requests per second.
func (p *plan) currentDemand(s *sim, o *org) float64 {
	if s.triggerActive() {
		return o.demand * p.scenario.demandFactor(o)
	}
	return o.demand
}

// capacity is the maximum number of complete requests per second in the usual
// mix.
func (p *plan) capacity() float64 {
	most := math.Inf(1)
	for i := range p.stages {
		perRoot := 0.0
		for _, k := range p.kinds {
			perRoot += k.weight * p.slotSeconds(i, k.stages, 1)
		}
		most = min(most, p.stageSlots(i)/perRoot)
	}
	return most
}

// idealGoodput is the maximum number of complete requests per second of each kind
// if less important requests are shed first. Demand is in requests per second of
// the usual mix. Slow multiplies the service time of the deepest stage.
func (p *plan) idealGoodput(slow, demand float64) []float64 {
	free := make([]float64, len(p.stages))
	for i := range free {
		free[i] = p.stageSlots(i)
	}
	done := make([]float64, len(p.kinds))
	for _, n := range p.byImportance() {
		k := p.kinds[n]
		most := demand * k.weight
		for i := range k.stages {
			most = min(most, free[i]/p.slotSeconds(i, k.stages, slow))
		}
		for i := range k.stages {
			free[i] -= most * p.slotSeconds(i, k.stages, slow)
		}
		done[n] = most
	}
	return done
}

// byImportance lists the indexes of the kinds, most important first.
func (p *plan) byImportance() []int {
	order := make([]int, len(p.kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(p.kinds[b].importance, p.kinds[a].importance) })
	return order
}

func (p *plan) stageSlots(stage int) float64 {
	return float64(p.stages[stage].Targets * p.stages[stage].Slots)
}

// slotSeconds is the time in seconds that a request holds a slot of a stage: the
// service times of this stage and the later ones, and the round trips between
// them.
func (p *plan) slotSeconds(stage, stages int, slow float64) float64 {
	sum := 0.0
	for i := stage; i < stages; i++ {
		t := p.stages[i].MeanServiceTime().Seconds()
		if i == len(p.stages)-1 {
			t *= slow
		}
		sum += t
		if i > stage {
			sum += 2 * p.zoneLatency.Seconds()
		}
	}
	return sum
}
