package spill_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/spill"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func ExamplePlan() {
	view := spill.View{
		Own:    spill.Zone{Name: "a", Slots: 100, Load: 1.5, Known: true, Time: 0.1},
		Others: []spill.Zone{{Name: "b", Slots: 100, Load: 0.2, Known: true, Time: 0.1, Hop: 0.007}},
		Budget: 1, Price: 0.2,
	}
	p := spill.Plan{}.WithView(start, view)
	zone, leaves := p.Leaves(0.01)
	fmt.Println(p.Reason, zone, leaves)
	// Output: full b true
}

const (
	slots     = 600.0
	hold      = 0.25 // seconds
	senders   = 20
	step      = 50 * time.Millisecond
	toldAfter = 750 * time.Millisecond
)

// fleet is zones whose senders decide alone, by loads that each is told late and inexactly.
type fleet struct {
	names  []string
	random *rand.Rand
	price  float64
	hop    float64
	demand func(zone int, at time.Duration) float64
	plans  [][]spill.Plan
	load   []float64
	told   [][]float64
	now    time.Duration
	// Sums over time, in slots by zone: lost for want of room and sent away.
	lost, away []float64
	most       float64
	fractions  [][]float64
}

func newFleet(zones int, demand func(zone int, at time.Duration) float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), price: 0.2, hop: 0.007, demand: demand, lost: make([]float64, zones), away: make([]float64, zones), load: make([]float64, zones), fractions: make([][]float64, zones)}
	for z := range zones {
		f.names = append(f.names, fmt.Sprint("zone-", z))
		f.plans = append(f.plans, make([]spill.Plan, senders))
		f.load[z] = min(demand(z, 0), 1)
	}
	return f
}

func (f *fleet) zone(z int) spill.Zone {
	load := f.load[z]
	if late := len(f.told) - int(toldAfter/step); late >= 0 {
		load = f.told[late][z]
	}
	return spill.Zone{Name: f.names[z], Slots: slots, Load: load * (1 + 0.1*f.random.NormFloat64()), Known: true, Time: hold}
}

// run plays a time. Zones work off a queue at their slots, and lose what waits too long.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		f.told = append(f.told, append([]float64(nil), f.load...))
		arriving := make([]float64, len(f.names))
		for z := range f.names {
			each, sum := f.demand(z, f.now)/senders, 0.0
			for s := range senders {
				f.decide(z, s)
				for _, share := range f.plans[z][s].Shares {
					for to, name := range f.names {
						if name == share.Zone {
							arriving[to] += each * share.Fraction
						}
					}
					f.away[z] += each * share.Fraction * step.Seconds()
					sum += share.Fraction / senders
				}
				arriving[z] += each * (1 - f.plans[z][s].Fraction())
			}
			f.fractions[z] = append(f.fractions[z], sum)
		}
		for z := range f.names {
			f.load[z] += (arriving[z] - min(f.load[z], 1)) * step.Seconds() / hold
			if f.load[z] > 1.5 {
				f.lost[z] += (f.load[z] - 1.5) * hold
				f.load[z] = 1.5
			}
			f.most = max(f.most, f.load[z])
		}
	}
}

func (f *fleet) decide(z, s int) {
	now := start.Add(f.now)
	if !f.plans[z][s].Due(now) || f.random.Float64() < 0.3 {
		return
	}
	view := spill.View{Own: f.zone(z), Budget: 1.5, Price: f.price}
	for other := range f.names {
		if other != z {
			there := f.zone(other)
			there.Hop = f.hop
			view.Others = append(view.Others, there)
		}
	}
	f.plans[z][s] = f.plans[z][s].WithView(now, view)
}

func (f *fleet) fraction(z int) float64 { return f.fractions[z][len(f.fractions[z])-1] }

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// One zone has 1.4 times what its targets take, the three others half. What it sends away is
// what it lacks, and it goes to all of them.
func TestZoneAtItsPeak(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, func(zone int, _ time.Duration) float64 { return []float64{1.4, 0.5, 0.5, 0.5}[zone] })
	f.run(10 * time.Second)
	f.lost = make([]float64, 4)
	f.run(20 * time.Second)
	t.Logf("fraction %.2f, loads %.2f, lost %.2f", f.fraction(0), f.load, f.lost)
	is.True(math.Abs(1.4*(1-f.fraction(0))-0.85) < 0.1)
	is.Equal(sum(f.lost), 0.0)
	for _, load := range f.load[1:] {
		is.True(load < 0.8 && load > 0.6)
	}
	is.True(sum(f.away[1:])/(3*0.5*30) < 0.001)
}

// Without a plan, the same peak loses what the zone can't take.
func TestPeakWithoutPlanLoses(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, func(zone int, _ time.Duration) float64 { return []float64{1.4, 0.5, 0.5, 0.5}[zone] })
	f.price = 1
	f.run(20 * time.Second)
	is.True(f.lost[0] > 5)
	is.Equal(sum(f.away), 0.0)
}

// The zones with room get calls by their room, and the one that is nearly full gets none.
func TestSharesByRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, func(zone int, _ time.Duration) float64 { return []float64{1.2, 0.2, 0.5, 0.85}[zone] })
	f.run(20 * time.Second)
	got := map[string]float64{}
	for _, p := range f.plans[0] {
		for _, s := range p.Shares {
			got[s.Zone] += s.Fraction / senders
		}
	}
	t.Logf("%v", got)
	is.True(got["zone-1"] > got["zone-2"])
	is.True(got["zone-3"] < 0.02)
}

// All zones are full: nothing leaves, whatever the noise of what senders are told.
func TestAllFull(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, func(int, time.Duration) float64 { return 1.3 })
	f.run(10 * time.Second)
	f.away = make([]float64, 4)
	f.run(20 * time.Second)
	t.Logf("away %.4f of %.0f", f.away, 1.3*20)
	is.True(sum(f.away)/(4*1.3*20) < 0.01)
}

// The peak passes: calls come back within seconds, and none leave after that.
func TestPeakPasses(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, func(zone int, at time.Duration) float64 {
		if zone == 0 && at < 10*time.Second {
			return 1.4
		}
		return 0.5
	})
	f.run(10 * time.Second)
	is.True(f.fraction(0) > 0.3)
	f.run(6 * time.Second)
	is.True(f.fraction(0) < 0.02)
	f.away = make([]float64, 4)
	f.run(20 * time.Second)
	is.Equal(sum(f.away), 0.0)
}

// Demand of four zones swings by 0.55 with shifted phases. The sum fits, and hardly anything
// is lost; a zone sends away only while it is over its load, and fractions do not oscillate.
func TestShiftedPeaks(t *testing.T) {
	is := is.New(t)
	demand := func(zone int, at time.Duration) float64 {
		phase := []float64{0.1, 0.35, 0.6, 0.85}[zone]
		return 0.7 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/15+phase)))
	}
	with, without := newFleet(4, demand), newFleet(4, demand)
	without.price = 1
	with.run(60 * time.Second)
	without.run(60 * time.Second)
	t.Logf("lost %.3f with, %.3f without, of %.0f; away %.2f", sum(with.lost), sum(without.lost), 4*0.7*60, sum(with.away))
	is.True(sum(with.lost) <= 0.2*sum(without.lost))
	is.True(sum(with.away)/(4*0.7*60) < 0.12)
	for z := range 4 {
		is.True(turns(with.fractions[z]) <= 2*4+2) // one rise and fall for each of the four peaks
	}
}

// turns counts the changes of direction of more than 0.05.
func turns(list []float64) int {
	n, rising, extreme := 0, false, list[0]
	for _, x := range list {
		switch {
		case rising && x > extreme, !rising && x < extreme:
			extreme = x
		case math.Abs(x-extreme) > 0.05:
			n, rising, extreme = n+1, !rising, x
		}
	}
	return n
}

// A steady peak gives a steady fraction, also where three zones send to the same fourth.
func TestNoOscillation(t *testing.T) {
	for name, demands := range map[string][]float64{"one peak": {1.4, 0.5, 0.5, 0.5}, "three peaks": {1.1, 1.1, 1.1, 0.1}, "more than fits": {1.3, 1.3, 1.3, 0.3}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4, func(zone int, _ time.Duration) float64 { return demands[zone] })
			f.run(15 * time.Second)
			f.most = 0
			f.run(30 * time.Second)
			settled := f.fractions[0][len(f.fractions[0])/3:]
			t.Logf("loads %.2f, fractions %.2f to %.2f, turns %d", f.load, minimum(settled), maximum(settled), turns(settled))
			is.True(turns(settled) <= 1)
			is.True(f.load[len(f.load)-1] < 0.9) // a zone that helps isn't flooded
		})
	}
}

func minimum(list []float64) float64 {
	least := list[0]
	for _, x := range list {
		least = min(least, x)
	}
	return least
}

func maximum(list []float64) float64 {
	most := list[0]
	for _, x := range list {
		most = max(most, x)
	}
	return most
}

// The price of traffic decides where targets elsewhere are faster; where the own zone is full,
// calls leave unless the price takes up all of their time.
func TestPrice(t *testing.T) {
	tests := []struct {
		name              string
		price, own, other float64
		load              float64
		want              spill.Reason
	}{
		{"faster by more than the price", 0.2, 0.14, 0.06, 0.1, spill.Faster},
		{"faster by less than the price", 0.4, 0.14, 0.06, 0.1, ""},
		{"free traffic", 0, 0.14, 0.12, 0.1, spill.Faster},
		{"full", 0.5, 0.1, 0.1, 1.2, spill.Full},
		{"full, dear traffic", 1, 0.1, 0.1, 1.2, ""},
		{"not full", 0.2, 0.1, 0.1, 0.9, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := spill.Plan{}.WithView(start, spill.View{
				Own:    spill.Zone{Slots: 100, Load: tt.load, Known: true, Time: tt.own},
				Others: []spill.Zone{{Name: "b", Slots: 100, Load: 0.1, Known: true, Time: tt.other, Hop: 0.005}},
				Budget: 0.25, Price: tt.price,
			})
			is.Equal(p.Reason, tt.want)
			is.Equal(p.Fraction() > 0, tt.want != "")
		})
	}
}

// Calls of targets follow the time that is left to their root request: with little of it,
// a hop that takes all of it does not pay.
func TestShortBudget(t *testing.T) {
	is := is.New(t)
	view := spill.View{
		Own:    spill.Zone{Slots: 100, Load: 1.2, Known: true, Time: 0.05},
		Others: []spill.Zone{{Name: "b", Slots: 100, Load: 0.1, Known: true, Time: 0.05, Hop: 0.007}},
		Budget: 0.5, Price: 0.5,
	}
	is.True(spill.Plan{}.WithView(start, view).Fraction() > 0)
	view.Budget = 0.1
	is.Equal(spill.Plan{}.WithView(start, view).Fraction(), 0.0)
}

// A zone whose load is not known gets a few calls, which tell it.
func TestUnknownZone(t *testing.T) {
	is := is.New(t)
	f := spill.Plan{}.WithView(start, spill.View{
		Own:    spill.Zone{Slots: 100, Load: 1.4, Known: true, Time: 0.1},
		Others: []spill.Zone{{Name: "b", Slots: 100}}, Budget: 1, Price: 0.2,
	}).Fraction()
	is.True(f > 0 && f < 0.05)
}
