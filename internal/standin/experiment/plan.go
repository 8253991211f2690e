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

// Variant is one way to run the same plan.
type Variant struct {
	Name string
	// Rules are the options of the admission controllers.
	Rules admission.Options
	// Unlimited leaves queueing to the targets.
	Unlimited bool
	// PerHop repeats three times at each hop instead of within a root's budget.
	PerHop bool
	// Cancel ends work whose deadline has passed.
	Cancel bool
	// Health, Poison and Rates switch these mechanisms.
	Health bool
	Poison bool
	Rates  bool
}

// Variants returns the baselines and the standard, and with all set the
// alternatives that were weighed.
func Variants(all bool) []Variant {
	standard := Variant{Name: "standard", Rules: admission.Standard(), Cancel: true, Health: true, Poison: true, Rates: true}
	variants := []Variant{
		{Name: "none", Rules: admission.Options{Order: queue.FIFO{}}, Unlimited: true, PerHop: true},
		{Name: "static-fifo", Rules: admission.Options{Order: queue.FIFO{}}, PerHop: true, Cancel: true},
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
	with("no-levels", func(v *Variant) { v.Rules.Shedding = false })
	with("by-share", func(v *Variant) { v.Rules.Order = queue.WeightedFair{} })
	with("by-newest", func(v *Variant) { v.Rules.Order = queue.LIFO{} })
	with("by-arrival", func(v *Variant) { v.Rules.Order = queue.FIFO{} })
	with("per-hop", func(v *Variant) { v.PerHop = true })
	return variants
}

// scenario is what goes wrong in a run.
type scenario struct {
	name   string
	length time.Duration
	// demand multiplies an organisation's arrivals while the trigger is on.
	demand func(o *org) float64
	// limit is each organisation's rate over its usual demand.
	limit float64
	begin func(s *sim)
	end   func(s *sim)
	// slow is the factor of the deepest stage's service time in the ideal.
	slow float64
}

// The times of a run.
const (
	warmTime  = 15 * time.Second
	afterTime = 25 * time.Second
	// load is the usual demand over what the chain can do.
	load = 0.8
	// surge, flood and slowdown are the factors of the triggers.
	surge    = 3
	flood    = 8
	slowdown = 5
	// retryBudget and retryRatio are those of a root and of a node.
	retryBudget = 3
	retryRatio  = 0.1
)

func nothing(*sim) {}

func usual(*org) float64 { return 1 }

// scenarios lists what can be run, by the letter of the design.
func scenarios() []scenario {
	last := func(s *sim) []*server { return s.stages[len(s.stages)-1] }
	return []scenario{
		{name: "steady", length: 30 * time.Second, demand: usual, limit: 1.5, begin: nothing, end: nothing, slow: 1},
		{
			name: "slow", length: 30 * time.Second, demand: usual, limit: 4, slow: slowdown,
			begin: func(s *sim) { setSlow(last(s), slowdown) },
			end:   func(s *sim) { setSlow(last(s), 1) },
		},
		{
			name: "surge", length: 60 * time.Second, limit: 4, slow: 1, begin: nothing, end: nothing,
			demand: func(*org) float64 { return surge },
		},
		{
			name: "flood", length: 30 * time.Second, limit: 1.25, slow: 1, begin: nothing, end: nothing,
			demand: func(o *org) float64 { return floodOf(o) },
		},
		{
			name: "flood-unlimited", length: 30 * time.Second, limit: 20, slow: 1, begin: nothing, end: nothing,
			demand: func(o *org) float64 { return floodOf(o) },
		},
		{
			name: "crash", length: 15 * time.Second, demand: usual, limit: 1.5, slow: 1, end: nothing,
			begin: func(s *sim) { last(s)[0].crash(5 * time.Second) },
		},
		{name: "poison", length: 30 * time.Second, demand: usual, limit: 1.5, slow: 1, begin: sendPoison, end: nothing},
		{
			name: "lying", length: 30 * time.Second, demand: usual, limit: 1.5, slow: 1,
			begin: func(s *sim) { last(s)[0].failing = true },
			end:   func(s *sim) { last(s)[0].failing = false },
		},
		{name: "silent", length: 15 * time.Second, demand: usual, limit: 1.5, slow: 1, end: nothing, begin: goSilent},
	}
}

func floodOf(o *org) float64 {
	if o.index == 0 {
		return flood
	}
	return 1
}

func setSlow(all []*server, factor float64) {
	for _, v := range all {
		v.slow = factor
	}
}

// sendPoison sends a request that crashes targets, again every two seconds.
func sendPoison(s *sim) {
	if !s.triggered() {
		return
	}
	s.wish(&s.plan.orgs[1], s.plan.kinds[0], true)
	s.after(2*time.Second, func() { sendPoison(s) })
}

// goSilent silences half the connections to one node of the deepest stage.
func goSilent(s *sim) {
	to := s.stages[len(s.stages)-1][0]
	for _, v := range s.all {
		v.silent[to.id] = silentConns
	}
}

// org is one organisation of a plan.
type org struct {
	index int
	name  string
	share float64
	// rate is its usual demand, limit its fleet-wide rate, both a second.
	rate  float64
	limit float64
}

// plan is a scenario on a deployment.
type plan struct {
	deployment string
	scenario   scenario
	stages     []deployment.Service
	zones      []string
	apart      time.Duration
	away       time.Duration
	orgs       []org
	kinds      []kind
	budget     int
	ratio      float64
	length     time.Duration
	from       time.Duration
	until      time.Duration
}

// chains orders each deployment's services from the entry to the deepest.
func chainOf(name string) []string {
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
		deployment: name,
		zones:      d.Zones,
		apart:      time.Duration(d.ZoneLatency),
		away:       time.Duration(d.CallerLatency),
		budget:     retryBudget,
		ratio:      retryRatio,
	}
	for _, service := range chainOf(name) {
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
		return p, trace.NotFound("no scenario %q; there are %v", scenarioName, ScenarioNames())
	}
	p.from, p.until = warmTime, warmTime+p.scenario.length
	p.length = p.until + afterTime
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

// kinds are the roots: most go down the whole chain, some only two stages.
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

func (p *plan) kindOf(random *rand.Rand) kind {
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
		rate := load * capacity * o.Rate / total
		p.orgs = append(p.orgs, org{
			index: i,
			name:  o.Name,
			share: o.Share,
			rate:  rate,
			limit: rate * p.scenario.limit,
		})
	}
}

// demand is an organisation's present demand a second.
func (p *plan) demand(s *sim, o *org) float64 {
	if s.triggered() {
		return o.rate * p.scenario.demand(o)
	}
	return o.rate
}

// capacity is the greatest number of whole roots a second in the usual mix.
func (p *plan) capacity() float64 {
	most := math.Inf(1)
	for i := range p.stages {
		perRoot := 0.0
		for _, k := range p.kinds {
			perRoot += k.weight * p.hold(i, k.stages, 1)
		}
		most = min(most, p.slotsOf(i)/perRoot)
	}
	return most
}

// ideal is the number of whole roots a second of each kind, of a demand in the
// usual mix, that can be done without shedding a more important root before a
// less important one, when the deepest stage is slowed.
func (p *plan) ideal(slow, demand float64) []float64 {
	free := make([]float64, len(p.stages))
	for i := range free {
		free[i] = p.slotsOf(i)
	}
	done := make([]float64, len(p.kinds))
	for _, n := range p.byImportance() {
		k := p.kinds[n]
		most := demand * k.weight
		for i := range k.stages {
			most = min(most, free[i]/p.hold(i, k.stages, slow))
		}
		for i := range k.stages {
			free[i] -= most * p.hold(i, k.stages, slow)
		}
		done[n] = most
	}
	return done
}

// byImportance lists the kinds, the most important first.
func (p *plan) byImportance() []int {
	order := make([]int, len(p.kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(p.kinds[b].importance, p.kinds[a].importance) })
	return order
}

func (p *plan) slotsOf(stage int) float64 {
	return float64(p.stages[stage].Targets * p.stages[stage].Slots)
}

// hold is how long a root holds a slot of a stage, in seconds: for its own
// time and that of all stages below.
func (p *plan) hold(stage, stages int, slow float64) float64 {
	sum := 0.0
	for i := stage; i < stages; i++ {
		t := p.stages[i].MeanServiceTime().Seconds()
		if i == len(p.stages)-1 {
			t *= slow
		}
		sum += t
		if i > stage {
			sum += 2 * p.apart.Seconds()
		}
	}
	return sum
}
