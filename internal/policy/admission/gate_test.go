package admission_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func request(id uint64, i manifest.Importance, rank float64, deadline time.Time) admission.Request {
	return admission.Request{ID: id, Route: "r", Score: priority.New(i, rank), Organisation: "a", Share: 1, Depth: 1, Deadline: deadline}
}

// With one slot, the second request waits until the first is done.
func ExampleController() {
	g := admission.New(admission.Standard())
	g.SetSlots(start, 1)
	late := start.Add(time.Minute)
	first, _ := g.Offer(start, request(1, manifest.Low, 1, late))
	second, _ := g.Offer(start, request(2, manifest.Low, 1, late))
	moves := g.Release(start, 1, admission.Answered)
	fmt.Printf("%T %T %v\n", first, second, moves.Started)
	// Output: gate.Start gate.Wait [2]
}

func TestOfferPastDeadline(t *testing.T) {
	is := is.New(t)
	g := admission.New(admission.Standard())
	g.SetSlots(start, 1)
	verdict, _ := g.Offer(start, request(1, manifest.Low, 1, start))
	is.Equal(verdict, admission.Refuse{Reason: failure.Deadline})
}

func TestNoSlotsSendsWaitingElsewhere(t *testing.T) {
	is := is.New(t)
	g := admission.New(admission.Standard())
	g.SetSlots(start, 1)
	g.Offer(start, request(1, manifest.Low, 1, start.Add(time.Minute)))
	g.Offer(start, request(2, manifest.Low, 1, start.Add(time.Minute)))
	moves := g.SetSlots(start, 0)
	is.Equal(moves.Dropped, []admission.Dropped{{ID: 2, Reason: failure.NotReady}})
}

func TestRefusalsLowerTheLimit(t *testing.T) {
	is := is.New(t)
	g := admission.New(admission.Standard())
	g.SetSlots(start, 100)
	for id := range uint64(50) {
		g.Offer(start, request(id, manifest.Low, 1, start.Add(time.Minute)))
	}
	g.Release(start, 0, admission.Rejected)
	is.Equal(g.State().Limit, 90)
	g.Release(start, 1, admission.Rejected)
	is.Equal(g.State().Limit, 90) // was running before the decrease
}

// The gate never runs more than its limit, never refuses a request for
// overload while a less important one waits, and answers for each exactly once.
func TestGateProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := admission.New(admission.Standard())
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		g.SetSlots(start, slots)
		now := start
		running, waiting := map[uint64]bool{}, map[uint64]manifest.Importance{}
		refusedFor := func(importance manifest.Importance, reason failure.Reason) {
			for id, other := range waiting {
				if reason == failure.Overload && other < importance {
					t.Fatalf("%v refused while request %d of %v waits", importance, id, other)
				}
			}
		}
		apply := func(moves admission.Changes) {
			for _, id := range moves.Started {
				if _, ok := waiting[id]; !ok {
					t.Fatalf("request %d started, but did not wait", id)
				}
				delete(waiting, id)
				running[id] = true
			}
			for _, left := range moves.Dropped {
				importance, ok := waiting[left.ID]
				if !ok {
					t.Fatalf("request %d left, but did not wait", left.ID)
				}
				delete(waiting, left.ID)
				refusedFor(importance, left.Reason)
			}
		}
		for id := range uint64(200) {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if len(running) > 0 {
					r := slices.Min(slices.Collect(maps.Keys(running)))
					delete(running, r)
					apply(g.Release(now, r, admission.Answered))
				}
			case 1:
				g.Tick(now)
			default:
				importance := manifest.Importance(rapid.IntRange(0, 3).Draw(t, "importance"))
				r := request(id, importance, rapid.Float64Range(0, 100).Draw(t, "rank"), now.Add(time.Second))
				verdict, moves := g.Offer(now, r)
				switch v := verdict.(type) {
				case admission.Start:
					running[id] = true
				case admission.Wait:
					waiting[id] = importance
				case admission.Refuse:
					apply(moves)
					refusedFor(importance, v.Reason)
					moves = admission.Changes{}
				}
				apply(moves)
			}
			if len(running) > slots {
				t.Fatalf("%d run, %d slots", len(running), slots)
			}
		}
	})
}

// Under steady overload the cut settles so that little more is let in than can
// be done, and it opens within seconds once the overload ends.
func TestCutFollowsOverload(t *testing.T) {
	is := is.New(t)
	g := admission.New(admission.Standard())
	g.SetSlots(start, 10)
	now, id := start, uint64(0)
	var running []uint64
	run := func(offered, done int) {
		now = now.Add(cutoff.Tick)
		for range min(done, len(running)) {
			moves := g.Release(now, running[0], admission.Answered)
			running = append(running[1:], moves.Started...)
		}
		for range offered {
			id++
			r := request(id, manifest.Low, float64(id%97), now.Add(time.Second))
			if verdict, _ := g.Offer(now, r); verdict == (admission.Start{}) {
				running = append(running, id)
			}
		}
		g.Tick(now)
	}
	for range 200 {
		run(15, 5)
	}
	is.True(g.Cutoff() < priority.AdmitAll) // three times the capacity is offered
	for range 60 {                          // three seconds
		run(1, 5)
	}
	is.Equal(g.Cutoff(), priority.AdmitAll)
}

// A cut that was low when the target went away opens again once it is back,
// though nothing was done meanwhile.
func TestCutOpensAfterTheTargetWasAway(t *testing.T) {
	is := is.New(t)
	g := admission.New(admission.Standard())
	g.SetSlots(start, 2)
	now, id := start, uint64(0)
	late := start.Add(time.Hour)
	running := []uint64{}
	for range 100 {
		now = now.Add(cutoff.Tick)
		for range 20 {
			id++
			if verdict, _ := g.Offer(now, request(id, manifest.Critical, float64(id%97), late)); verdict == (admission.Start{}) {
				running = append(running, id)
			}
		}
		if len(running) > 0 {
			moves := g.Release(now, running[0], admission.Answered)
			running = append(running[1:], moves.Started...)
		}
		g.Tick(now)
	}
	is.True(g.Cutoff() < 1) // part of the critical ones is refused
	g.SetSlots(now, 0)
	for _, r := range running {
		g.Release(now, r, admission.Aborted)
	}
	for range 600 { // 30 seconds
		now = now.Add(cutoff.Tick)
		g.Tick(now)
	}
	g.SetSlots(now, 2)
	admitted := false
	for range 200 { // 10 seconds
		now = now.Add(cutoff.Tick)
		id++
		verdict, _ := g.Offer(now, request(id, manifest.Low, 1, late))
		admitted = admitted || verdict == (admission.Start{})
		g.Tick(now)
	}
	is.True(admitted)
}

// A holding time learned while the target was slow doesn't refuse a route for
// good when its deadline is shorter now.
func TestHoldingTimeIsForgotten(t *testing.T) {
	is := is.New(t)
	g := admission.New(admission.Standard())
	g.SetSlots(start, 1)
	now, id := start, uint64(0)
	for range 200 {
		id++
		g.Offer(now, request(id, manifest.Low, 1, now.Add(time.Minute)))
		now = now.Add(5 * time.Second)
		g.Release(now, id, admission.Answered)
	}
	admitted := false
	for range 2000 {
		id++
		now = now.Add(time.Millisecond)
		if verdict, _ := g.Offer(now, request(id, manifest.Low, 1, now.Add(time.Second))); verdict == (admission.Start{}) {
			admitted = true
			break
		}
	}
	is.True(admitted)
}

// replayed is a target's node in virtual time: callers ask it for long requests,
// and targets of other services make short calls, whose roots were let in elsewhere
// by what the cut was a while before.
type replayed struct {
	gate   *admission.Controller
	random *rand.Rand
	id     uint64
	// ends and givesUp are when running and waiting requests do so.
	ends, givesUp map[uint64]time.Time
	holds         map[uint64]time.Duration
	coming        []arrival
}

// arrival is a call whose root was let in.
type arrival struct {
	at   time.Time
	root priority.Score
}

const (
	longTime  = 600 * time.Millisecond
	shortTime = 40 * time.Millisecond
	// rootTime is what a root does before it makes its call.
	rootTime = 300 * time.Millisecond
	// replaySlots are the slots of the target.
	replaySlots = 30
	step        = 2 * time.Millisecond
)

func (p *replayed) score() priority.Score { return priority.New(manifest.Low, p.random.Float64()) }

func (p *replayed) started(now time.Time, ids ...uint64) {
	for _, id := range ids {
		p.ends[id] = now.Add(p.holds[id])
		delete(p.givesUp, id)
	}
}

// offer asks for a slot, which a waiting request gives up after its patience.
func (p *replayed) offer(now time.Time, r admission.Request, hold, patience time.Duration) {
	p.id++
	r.ID, r.Share, r.Deadline = p.id, 1, now.Add(time.Minute)
	p.holds[r.ID] = hold
	verdict, moves := p.gate.Offer(now, r)
	switch verdict.(type) {
	case admission.Start:
		p.started(now, r.ID)
	case admission.Wait:
		p.givesUp[r.ID] = now.Add(patience)
	}
	p.started(now, moves.Started...)
	for _, l := range moves.Dropped {
		delete(p.givesUp, l.ID)
	}
}

func (p *replayed) settle(now time.Time) (long, short float64) {
	for _, id := range slices.Sorted(maps.Keys(p.ends)) {
		if now.Before(p.ends[id]) {
			continue
		}
		delete(p.ends, id)
		if p.holds[id] == longTime {
			long++
		} else {
			short++
		}
		p.started(now, p.gate.Release(now, id, admission.Answered).Started...)
	}
	for _, id := range slices.Sorted(maps.Keys(p.givesUp)) {
		if !now.Before(p.givesUp[id]) {
			delete(p.givesUp, id)
			p.gate.Cancel(id)
		}
	}
	return long, short
}

// replay returns the parts of the long and of the short requests that were done, each
// of which together ask for a number of slots.
func replay(longSlots, shortSlots float64) (long, short float64) {
	p := &replayed{
		gate: admission.New(admission.Sidecar()), random: rand.New(rand.NewPCG(1, 1)),
		ends: map[uint64]time.Time{}, givesUp: map[uint64]time.Time{}, holds: map[uint64]time.Duration{},
	}
	p.gate.SetSlots(start, replaySlots)
	var askedLong, askedShort, doneLong, doneShort float64
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
		l, s := p.settle(now)
		doneLong, doneShort = doneLong+l, doneShort+s
		for len(p.coming) > 0 && !now.Before(p.coming[0].at) {
			p.offer(now, admission.Request{Route: "short", Score: priority.New(manifest.Critical, 0), RootScore: p.coming[0].root, Depth: 2}, shortTime, 150*time.Millisecond)
			p.coming = p.coming[1:]
		}
		if p.random.Float64() < longSlots*step.Seconds()/longTime.Seconds() {
			askedLong++
			p.offer(now, admission.Request{Route: "long", Score: p.score(), Depth: 1}, longTime, 300*time.Millisecond)
		}
		for range 2 {
			if p.random.Float64() < shortSlots*step.Seconds()/shortTime.Seconds()/2 {
				askedShort++
				if root := p.score(); p.gate.Cutoff().Admits(root, 1) {
					p.coming = append(p.coming, arrival{now.Add(rootTime), root})
				}
			}
		}
		if now.Sub(start)%cutoff.Tick == 0 {
			p.gate.Tick(now)
		}
	}
	return doneLong / askedLong, doneShort / askedShort
}

// Long requests of callers and short calls whose roots are of the same importance,
// together half as much again as there are slots for: neither loses nearly all, and
// the slots are used.
func TestFewLongAgainstManyShort(t *testing.T) {
	for _, asked := range []struct{ long, short float64 }{{20, 25}, {10, 35}, {30, 15}} {
		t.Run(fmt.Sprint(asked), func(t *testing.T) {
			is := is.New(t)
			long, short := replay(asked.long, asked.short)
			t.Logf("done: long %.2f, short %.2f", long, short)
			is.True(long >= 0.24 && short >= 0.24) // the floor of the users' day of this load
			used := long*asked.long + short*asked.short
			is.True(used > 0.9*replaySlots)
		})
	}
}

// A free slot that nobody waits for is not withheld by a cut that is still low.
func TestFreeSlotWithheld(t *testing.T) {
	is := is.New(t)
	g := admission.New(admission.Sidecar())
	g.SetSlots(start, 2)
	now, id := start, uint64(0)
	late := start.Add(time.Hour)
	var running []uint64
	for range 100 {
		now = now.Add(cutoff.Tick)
		for range 20 {
			id++
			if verdict, _ := g.Offer(now, request(id, manifest.High, float64(id%97), late)); verdict == (admission.Start{}) {
				running = append(running, id)
			}
		}
		if len(running) > 0 {
			moves := g.Release(now, running[0], admission.Answered)
			running = append(running[1:], moves.Started...)
		}
		g.Tick(now)
	}
	is.True(!g.Cutoff().Admits(priority.New(manifest.Low, 1), 1))
	for i := range id {
		g.Cancel(i + 1)
	}
	for _, r := range running {
		g.Release(now, r, admission.Answered)
	}
	verdict, _ := g.Offer(now, request(id+1, manifest.Low, 1, late))
	is.Equal(verdict, admission.Start{})
}
