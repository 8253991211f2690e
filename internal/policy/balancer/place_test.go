package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

// pool is targets of unequal speed and their senders. Results are the only reports, and a
// sender has few calls, so that most of what it knows is old.
type pool struct {
	random  *rand.Rand
	targets []*unequal
	senders []*balancer.Balancer
	list    []balancer.Candidate
	now     time.Time
	running []running
}

type unequal struct {
	speed, usual float64
	slowUntil    time.Time
	slots        int
	busy         int
	// work is the time that slots were in use, in seconds.
	work float64
}

type running struct {
	sender, target int
	ends           time.Time
	pace           float64
}

func newPool(targets, senders int, speeds []float64, usual float64) *pool {
	p := &pool{random: rand.New(rand.NewPCG(3, 4)), now: start}
	for i := range targets {
		speed := speeds[i%len(speeds)]
		p.targets = append(p.targets, &unequal{speed: speed, usual: usual / speed, slots: 78})
		p.list = append(p.list, balancer.Candidate{ID: fmt.Sprint("t", i), Zone: "here", Slots: 78})
	}
	for i := range senders {
		p.senders = append(p.senders, balancer.New("here", rand.New(rand.NewPCG(uint64(i), 5))))
	}
	return p
}

const tick = 5 * time.Millisecond

// run plays a time with a number of calls per second, of an objective.
func (p *pool) run(d time.Duration, perSecond float64, objective time.Duration, noise bool) {
	due := 0.0
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		for i, t := range p.targets {
			if noise && p.now.After(t.slowUntil) && p.random.Float64() < 0.25*tick.Seconds() {
				t.slowUntil = p.now.Add(600 * time.Millisecond)
			}
			p.targets[i].work += float64(t.busy) * tick.Seconds()
		}
		p.end()
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			p.send(objective)
		}
	}
}

// pace is how long work takes on a target now, as a multiple of the usual.
func (p *pool) pace(t *unequal) float64 {
	if p.now.Before(t.slowUntil) {
		return 2.5
	}
	return 1
}

func (p *pool) send(objective time.Duration) {
	s := p.random.IntN(len(p.senders))
	pick, refusal := p.senders[s].Choose(p.now, p.list, balancer.Call{Route: "r", Score: call().Score, Depth: 1, Objective: objective})
	if refusal != nil {
		return
	}
	p.senders[s].Sent(pick.Candidate.ID)
	i := slices.IndexFunc(p.list, func(k balancer.Candidate) bool { return k.ID == pick.Candidate.ID })
	t := p.targets[i]
	t.busy++
	took := t.usual * p.pace(t) * math.Exp(0.5*p.random.NormFloat64()-0.125) * max(1, float64(t.busy)/float64(t.slots))
	p.running = append(p.running, running{s, i, p.now.Add(time.Duration(took * float64(time.Second))), p.pace(t)})
}

func (p *pool) end() {
	p.running = slices.DeleteFunc(p.running, func(r running) bool {
		if r.ends.After(p.now) {
			return false
		}
		t := p.targets[r.target]
		t.busy--
		p.senders[r.sender].Answered(p.now, p.list[r.target].ID, balancer.Report{
			Route: "r", Load: float64(t.busy) / float64(t.slots) * p.pace(t), Cutoff: priority.AdmitAll, ServiceTime: t.usual, Pace: p.pace(t), Zone: "here",
		})
		return true
	})
}

// busiest is the work of the busiest target over the mean.
func (p *pool) busiest() float64 {
	most, sum := 0.0, 0.0
	for _, t := range p.targets {
		most, sum = max(most, t.work), sum+t.work
	}
	return most / sum * float64(len(p.targets))
}

func (p *pool) reset() {
	for _, t := range p.targets {
		t.work = 0
	}
}

// Targets of 0.55 to 1.2 times the usual speed, and 26 senders with 6 calls a second each, so
// that most reports are a second old. The busiest target is busy for at most 1.3 times as long
// as the mean, idle or under load, also while neighbours slow single targets 2.5 times.
func TestUnequalTargets(t *testing.T) {
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	tests := []struct {
		name      string
		senders   int
		perSecond float64
		noise     bool
	}{
		{"few calls", 26, 26 * 6, false},
		{"many calls", 78, 4000, false},
		{"many calls, neighbours", 78, 3500, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(12, tt.senders, speeds, 0.1)
			p.run(5*time.Second, tt.perSecond, 1500*time.Millisecond, tt.noise)
			p.reset()
			p.run(15*time.Second, tt.perSecond, 1500*time.Millisecond, tt.noise)
			t.Logf("busiest over mean %.2f", p.busiest())
			is.True(p.busiest() < 1.3)
		})
	}
}

// A call whose objective leaves little room goes to the faster targets while they have room.
func TestTightObjective(t *testing.T) {
	is := is.New(t)
	p := newPool(3, 20, []float64{0.6, 1, 1.4}, 0.084)
	p.run(5*time.Second, 500, 250*time.Millisecond, false)
	p.reset()
	p.run(20*time.Second, 500, 250*time.Millisecond, false)
	is.True(p.targets[0].work < 0.1*(p.targets[1].work+p.targets[2].work))
}

// A neighbour slows a target. While that is told, calls go to the others.
func TestSlowedTarget(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "slowed", Zone: "here", Slots: 10}, {ID: "usual", Zone: "here", Slots: 10}}
	for _, k := range all {
		b.Answered(start, k.ID, balancer.Report{Route: "r", Load: 0.5, Pace: 1, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	}
	b.Answered(start, "slowed", balancer.Report{Route: "r", Load: 0.5 * 2.5, Pace: 2.5, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	is.Equal(countPicks(b, start, all)["usual"], 1000)
	picked := map[string]int{}
	for range 10 {
		pick, refusal := b.Choose(start.Add(4*time.Second), all, call())
		is.True(refusal == nil)
		b.Sent(pick.Candidate.ID)
		picked[pick.Candidate.ID]++
	}
	is.Equal(picked["slowed"], 5) // the figures are too old
}

// A new target gets less than its share where service times are known, too.
func TestWarmupByServiceTime(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "warm", Zone: "here", Slots: 10}, {ID: "cold", Zone: "here", Slots: 10, ReadySince: start}}
	for _, k := range all {
		b.Answered(start, k.ID, balancer.Report{Route: "r", Load: 0.3, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	}
	is.Equal(countPicks(b, start, all)["cold"], 0)
}
