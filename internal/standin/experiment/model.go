// Package experiment simulates the decision packages in virtual time, with one
// chain of modelled targets and callers that retry. It models no network, VMs,
// platform or membership, and calls the real decision code.
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
	// stallTimeout is how long a sender waits on a stalled connection.
	stallTimeout = 1200 * time.Millisecond
	// propagationDelay is the time until peers learn that a target is down or up.
	propagationDelay = 200 * time.Millisecond
	// A restarted target is slower by warmUpSlowdown for warmUpTime.
	warmUpTime     = 10 * time.Second
	warmUpSlowdown = 3
	// unlimitedSlots is the concurrency limit of variants without a limit.
	unlimitedSlots = 1 << 20
	// retriesPerHop is the number of retries at each hop in variants without a
	// retry budget.
	retriesPerHop = 3
	// stalledConns is the number of a pool's poolConns connections that stall.
	stalledConns = 4
	poolConns    = 8
)

// event is a callback at a virtual time. Events at the same time run in the
// order of seq.
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

// sim is the state of one run.
type sim struct {
	plan    plan
	variant Variant
	random  *rand.Rand
	now     time.Time
	queue   events
	seq     uint64

	stages      [][]*server
	all         []*server
	buckets     map[string]*bucket.Bucket
	usage       map[string][]bucket.Usage
	poisonTable *poison.Table
	nextID      uint64
	collector   *collector
}

// server is a target with its node.
type server struct {
	sim   *sim
	id    string
	zone  string
	stage int
	slots int

	controller *overload.Controller
	balancer   *balancer.Balancer
	retryRatio *budget.Ratio
	ranker     *rank.Ranker

	running map[uint64]*work
	waiting map[uint64]*work
	// fifo is the target's own queue, used when its node does not limit
	// concurrency.
	fifo       []*work
	busy       int
	up         bool
	listed     bool
	readySince time.Time
	stalled    map[string]int
	// suspectRunning is set while a request suspected of a crash runs or waits
	// for a slot here. Further suspects wait in heldSuspects.
	suspectRunning bool
	heldSuspects   []*work
	// slowdown multiplies service times. A failing target answers with
	// status 500.
	slowdown float64
	failing  bool
}

func newSim(p plan, v Variant, seed uint64) *sim {
	s := &sim{
		plan:        p,
		variant:     v,
		random:      rand.New(rand.NewPCG(seed, 7)),
		now:         time.Unix(0, 0),
		buckets:     map[string]*bucket.Bucket{},
		usage:       map[string][]bucket.Usage{},
		poisonTable: poison.New(),
		collector:   newCollector(p),
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
		s.buckets[o.name] = bucket.NewFull(s.now, bucket.Limits{Rate: o.rateLimit, Burst: 2 * o.rateLimit})
	}
	return s
}

func (s *sim) newServer(stage, n int) *server {
	st := s.plan.stages[stage]
	zone := s.plan.zones[n%len(s.plan.zones)]
	v := &server{
		sim:        s,
		id:         st.Name + string(rune('a'+n)),
		zone:       zone,
		stage:      stage,
		slots:      st.Slots,
		controller: overload.New(s.variant.Admission),
		balancer:   balancer.New(zone, rand.New(rand.NewPCG(s.random.Uint64(), 1))),
		retryRatio: budget.NewRatio(s.plan.retryRatio),
		ranker:     rank.New(),
		running:    map[uint64]*work{},
		waiting:    map[uint64]*work{},
		stalled:    map[string]int{},
		up:         true,
		listed:     true,
		slowdown:   1,
	}
	v.setSlots()
	return v
}

func (v *server) setSlots() {
	slots := v.slots
	if v.sim.variant.Unlimited {
		slots = unlimitedSlots
	}
	if !v.up {
		slots = 0
	}
	v.apply(v.controller.SetSlots(v.sim.now, slots))
}

// schedule runs do after d of virtual time.
func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

// run processes events until the end of the plan.
func (s *sim) run() {
	end := s.now.Add(s.plan.duration)
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

// start schedules the arrivals, the controller ticks and the trigger.
func (s *sim) start() {
	s.arrive()
	var tick func()
	tick = func() {
		for _, v := range s.all {
			v.apply(v.controller.Tick(s.now))
		}
		s.schedule(cutoff.Tick, tick)
	}
	s.schedule(cutoff.Tick, tick)
	s.schedule(s.plan.triggerStart, func() { s.plan.scenario.begin(s) })
	s.schedule(s.plan.triggerEnd, func() { s.plan.scenario.end(s) })
}

// triggerActive reports whether the trigger is active.
func (s *sim) triggerActive() bool {
	past := s.now.Sub(time.Unix(0, 0))
	return past >= s.plan.triggerStart && past < s.plan.triggerEnd
}

// candidates lists the nodes that serve a stage, as peers see them.
func (s *sim) candidates(stage int) []balancer.Candidate {
	var found []balancer.Candidate
	for _, v := range s.stages[stage] {
		if v.listed {
			found = append(found, balancer.Candidate{
				ID:         v.id,
				Address:    v.id,
				Zone:       v.zone,
				Slots:      v.slots,
				ReadySince: v.readySince,
				Failing:    s.variant.Health && v.controller.Failing(),
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

// latency is the one-way latency between two nodes. Within an availability zone
// it is a tenth of that between zones.
func (s *sim) latency(a, b *server) time.Duration {
	if a.zone == b.zone {
		return s.plan.zoneLatency / 10
	}
	return s.plan.zoneLatency
}

// downstream lists the cutoffs of the next stage that this node knows from
// reports.
func (v *server) downstream(c overload.Child) []balancer.Downstream {
	return v.balancer.Downstream(v.sim.now, v.sim.candidates(v.stage+1), c.Service, c.Route)
}

// crash stops a target and loses its running calls. The target restarts after
// downtime and is slower for warmUpTime.
func (v *server) crash(downtime time.Duration) {
	if !v.up {
		return
	}
	s := v.sim
	v.up = false
	s.collector.crashes++
	s.reportCrash(v)
	v.fifo = nil
	for _, id := range slices.Sorted(maps.Keys(v.running)) {
		v.finish(v.running[id], lost(), admission.Aborted, true)
	}
	v.setSlots()
	s.schedule(propagationDelay, func() { v.listed = v.up })
	s.schedule(downtime, func() {
		v.up = true
		v.readySince = s.now
		v.controller.ResetHealth()
		v.setSlots()
		s.schedule(propagationDelay, func() { v.listed = v.up })
	})
}

// reportCrash records the requests that were in flight at a crash.
func (s *sim) reportCrash(v *server) {
	var runs []poison.Run
	for _, w := range v.running {
		runs = append(runs, poison.Run{Fingerprint: w.call.root.fingerprint, Suspect: w.suspect})
	}
	if s.variant.Poison {
		s.poisonTable.Crashed(s.now, v.id+v.readySince.String(), runs)
	}
}
