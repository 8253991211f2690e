// Package experiment measures the decision packages in virtual time, against
// one chain of modelled targets and impatient callers. It holds no network,
// VMs, platform or membership, and no second copy of any decision.
package experiment

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
)

const (
	// silence is how long a sender waits on a connection without a sign.
	silence = 1200 * time.Millisecond
	// newsTime is how long peers take to hear that a target is gone or back.
	newsTime = 200 * time.Millisecond
	// coldTime and coldFactor slow a target that has come back.
	coldTime   = 10 * time.Second
	coldFactor = 3
	// unlimited are the slots of a gate that limits nothing.
	unlimited = 1 << 20
	// perHop is how often the variants without a budget repeat at each hop.
	perHop = 3
	// silentConns is how many of a pool's eight connections go silent.
	silentConns = 4
	poolConns   = 8
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim is one run.
type sim struct {
	plan    plan
	variant Variant
	random  *rand.Rand
	now     time.Time
	queue   events
	seq     uint64

	stages  [][]*server
	all     []*server
	buckets map[string]*bucket.Bucket
	spent   map[string][]bucket.Usage
	table   *poison.Table
	nextID  uint64
	result  *collector
}

// server is one target with its node.
type server struct {
	sim   *sim
	id    string
	zone  string
	stage int
	slots int

	intake  *overload.Controller
	chooser *balancer.Balancer
	ratio   *budget.Ratio
	ranker  *rank.Ranker

	running map[uint64]*work
	waiting map[uint64]*work
	// fifo holds requests that the target itself queues, when nothing in front
	// limits them.
	fifo   []*work
	busy   int
	up     bool
	listed bool
	since  time.Time
	silent map[string]int
	// suspect is set while a suspect of a crash runs here; others wait in held.
	suspect bool
	held    []*work
	// slow multiplies service times, failing answers errors.
	slow    float64
	failing bool
}

func newSim(p plan, v Variant, seed uint64) *sim {
	s := &sim{
		plan:    p,
		variant: v,
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     time.Unix(0, 0),
		buckets: map[string]*bucket.Bucket{},
		spent:   map[string][]bucket.Usage{},
		table:   poison.New(),
		result:  newCollector(p),
	}
	for i, st := range p.stages {
		var group []*server
		for n := range st.Targets {
			group = append(group, s.newServer(i, n))
		}
		s.stages = append(s.stages, group)
		s.all = append(s.all, group...)
	}
	for _, o := range p.orgs {
		s.buckets[o.name] = bucket.NewFull(s.now, bucket.Limits{Rate: o.limit, Burst: 2 * o.limit})
	}
	return s
}

func (s *sim) newServer(stage, n int) *server {
	st := s.plan.stages[stage]
	zone := s.plan.zones[n%len(s.plan.zones)]
	v := &server{
		sim:     s,
		id:      st.Name + string(rune('a'+n)),
		zone:    zone,
		stage:   stage,
		slots:   st.Slots,
		intake:  overload.New(s.variant.Rules),
		chooser: balancer.New(zone, rand.New(rand.NewPCG(s.random.Uint64(), 1))),
		ratio:   budget.NewRatio(s.plan.ratio),
		ranker:  rank.New(),
		running: map[uint64]*work{},
		waiting: map[uint64]*work{},
		silent:  map[string]int{},
		up:      true,
		listed:  true,
		slow:    1,
	}
	v.setSlots()
	return v
}

func (v *server) setSlots() {
	slots := v.slots
	if v.sim.variant.Unlimited {
		slots = unlimited
	}
	if !v.up {
		slots = 0
	}
	v.apply(v.intake.SetSlots(v.sim.now, slots))
}

// after does something a while later.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

// run works off all events up to the end of the plan.
func (s *sim) run() {
	end := s.now.Add(s.plan.length)
	s.start()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.do()
	}
}

// start schedules arrivals, ticks and the scenario's trigger.
func (s *sim) start() {
	s.arrive()
	var tick func()
	tick = func() {
		for _, v := range s.all {
			v.intake.Tick(s.now)
		}
		s.after(cutoff.Tick, tick)
	}
	s.after(cutoff.Tick, tick)
	s.after(s.plan.from, func() { s.plan.scenario.begin(s) })
	s.after(s.plan.until, func() { s.plan.scenario.end(s) })
}

// triggered reports whether the trigger is on.
func (s *sim) triggered() bool {
	past := s.now.Sub(time.Unix(0, 0))
	return past >= s.plan.from && past < s.plan.until
}

// candidates are the nodes that serve a stage, as peers know them.
func (s *sim) candidates(stage int) []balancer.Candidate {
	var found []balancer.Candidate
	for _, v := range s.stages[stage] {
		if v.listed {
			found = append(found, balancer.Candidate{
				ID:         v.id,
				Address:    v.id,
				Zone:       v.zone,
				Slots:      v.slots,
				ReadySince: v.since,
				Failing:    s.variant.Health && v.intake.Failing(),
			})
		}
	}
	return found
}

func (s *sim) server(id string) *server {
	for _, v := range s.all {
		if v.id == id {
			return v
		}
	}
	return nil
}

// latency is the time between two nodes.
func (s *sim) latency(a, b *server) time.Duration {
	if a.zone == b.zone {
		return s.plan.apart / 10
	}
	return s.plan.apart
}

// down is what calls of the next stage meet, as this node has heard.
func (v *server) down(c overload.Child) []balancer.Downstream {
	return v.chooser.Downstream(v.sim.now, v.sim.candidates(v.stage+1), c.Service, c.Route)
}

// crash ends a target with all that it runs; it comes back cold.
func (v *server) crash(back time.Duration) {
	if !v.up {
		return
	}
	s := v.sim
	v.up = false
	s.result.lost++
	s.accuse(v)
	v.fifo = nil
	for _, id := range slices.Sorted(maps.Keys(v.running)) {
		v.end(v.running[id], lostAnswer(), admission.Aborted, true)
	}
	v.setSlots()
	s.after(newsTime, func() { v.listed = v.up })
	s.after(back, func() {
		v.up = true
		v.since = s.now
		v.intake.ResetHealth()
		v.setSlots()
		s.after(newsTime, func() { v.listed = v.up })
	})
}

// accuse notes the requests in flight at a crash.
func (s *sim) accuse(v *server) {
	var prints []poison.Fingerprint
	for _, w := range v.running {
		prints = append(prints, w.call.root.print)
	}
	if s.variant.Poison {
		s.table.Crashed(s.now, v.id+v.since.String(), prints)
	}
}
