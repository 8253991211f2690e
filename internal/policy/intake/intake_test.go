package intake_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/intake"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

const (
	mb    = 1 << 20
	bound = 64 * mb
	// high, normal and low are classes.
	high, normal, low = priority.Grades, 2 * priority.Grades, 3 * priority.Grades
)

var start = time.Unix(1000, 0)

func ExampleController_Offer() {
	c := intake.New(bound)
	offer := func(id uint64, size int64, wait time.Duration) {
		verdict, _ := c.Offer(start, intake.Body{ID: id, Organisation: fmt.Sprint("o", id), Bytes: size, Until: start.Add(wait)})
		fmt.Printf("%T\n", verdict)
	}
	offer(1, 40*mb, 0)
	offer(2, 40*mb, time.Second)
	offer(3, 40*mb, 0)
	offer(4, 10<<10, 0)
	fmt.Println(c.Release(start, 1))
	// Output:
	// intake.Admit
	// intake.Wait
	// intake.Refuse
	// intake.Admit
	// map[2:{}]
}

// upload is a load of bodies: size bytes, perSecond for the whole time, each held for hold.
type upload struct {
	organisation string
	class        int
	size         int64
	perSecond    float64
	hold         time.Duration
}

// tally is what became of the bodies of a load.
type tally struct {
	offered, admitted int
	// longest is the longest wait of one that was admitted.
	longest time.Duration
}

const (
	tick    = 5 * time.Millisecond
	lasts   = 10 * time.Second
	waiting = 200 * time.Millisecond
)

type body struct {
	load       int
	at, ends   time.Time
	isAdmitted bool
}

// replay offers loads to a controller, or, without decisions, admits in the order of arrival
// what fits. It returns their tallies and the most bytes held.
func replay(decides bool, loads ...upload) (got []tally, most int64) {
	c := intake.New(bound)
	got = make([]tally, len(loads))
	bodies := map[uint64]*body{}
	due := make([]float64, len(loads))
	held, last := int64(0), uint64(0)
	apply := func(now time.Time, changes intake.Changes) {
		for id, v := range changes {
			b := bodies[id]
			if _, refused := v.(intake.Refuse); refused {
				delete(bodies, id)
				continue
			}
			b.isAdmitted, b.ends = true, now.Add(loads[b.load].hold)
			got[b.load].admitted++
			got[b.load].longest = max(got[b.load].longest, now.Sub(b.at))
		}
	}
	for now := start; now.Before(start.Add(lasts)); now = now.Add(tick) {
		for _, id := range slices.Sorted(maps.Keys(bodies)) {
			b, ok := bodies[id]
			if !ok {
				continue // refused meanwhile
			}
			switch {
			case b.isAdmitted && !now.Before(b.ends):
				delete(bodies, id)
				held -= loads[b.load].size
				if decides {
					apply(now, c.Release(now, id))
				}
			case !b.isAdmitted && now.Sub(b.at) >= waiting:
				if _, changes, waited := c.Cancel(now, id); waited {
					delete(bodies, id)
					apply(now, changes)
				}
			}
		}
		for i, l := range loads {
			for due[i] += l.perSecond * tick.Seconds(); due[i] >= 1; due[i]-- {
				last++
				got[i].offered++
				b := &body{load: i, at: now}
				if !decides {
					if held+l.size <= bound {
						bodies[last] = b
						held += l.size
						apply(now, intake.Changes{last: intake.Admit{}})
					}
					continue
				}
				bodies[last] = b
				verdict, changes := c.Offer(now, intake.Body{
					ID: last, Organisation: l.organisation, Class: l.class, Bytes: l.size, Until: now.Add(waiting),
				})
				apply(now, changes)
				if verdict != (intake.Wait{}) {
					apply(now, intake.Changes{last: verdict})
				}
			}
		}
		most = max(most, c.State().Held, held)
	}
	return got, most
}

func (t tally) part() float64 { return float64(t.admitted) / float64(t.offered) }

// Many large uploads at once take no more than the bound, which they use, and wait no longer
// than they may.
func TestManyLargeUploads(t *testing.T) {
	is := is.New(t)
	got, most := replay(true, upload{"a", normal, 8 * mb, 40, 400 * time.Millisecond}, upload{"b", normal, 8 * mb, 40, 400 * time.Millisecond})
	t.Log(got, most)
	is.True(most <= bound)
	is.True(got[0].admitted+got[1].admitted > 100) // of 160 that 64 MB have room for
	is.True(got[0].longest <= waiting && got[1].longest <= waiting)
}

// One organisation's large uploads beside small requests and rare uploads of others. In the
// order of arrival the large ones leave no room for either.
func TestOneOrganisationBesideOthers(t *testing.T) {
	is := is.New(t)
	loads := []upload{
		{"large", normal, 8 * mb, 100, 400 * time.Millisecond},
		{"other", normal, 30 << 10, 200, 100 * time.Millisecond},
		{"rare", normal, 8 * mb, 2, 400 * time.Millisecond},
	}
	arrival, _ := replay(false, loads...)
	got, _ := replay(true, loads...)
	t.Log(arrival, got)
	is.Equal(got[1].admitted, got[1].offered)
	is.Equal(got[2].admitted, got[2].offered)
	is.True(arrival[2].part() < 0.5)
	is.True(got[0].admitted > 80) // half of what 64 MB have room for
}

// Important uploads go before others that alone would fill the bound.
func TestImportantUploadsFirst(t *testing.T) {
	is := is.New(t)
	loads := []upload{{"a", low, 8 * mb, 100, 400 * time.Millisecond}, {"b", high, 8 * mb, 8, 400 * time.Millisecond}}
	arrival, _ := replay(false, loads...)
	got, _ := replay(true, loads...)
	t.Log(arrival, got)
	is.Equal(got[1].admitted, got[1].offered)
	is.True(arrival[1].part() < 0.5)
	is.True(got[0].admitted > 50)
}

// Small bodies that fill their part and compete for the rest don't keep a large one out.
func TestLargeAmongSmall(t *testing.T) {
	is := is.New(t)
	loads := []upload{{"a", normal, 60 << 10, 4000, 400 * time.Millisecond}, {"b", normal, 8 * mb, 1, 400 * time.Millisecond}}
	arrival, _ := replay(false, loads...)
	got, most := replay(true, loads...)
	t.Log(arrival, got, most)
	is.True(most <= bound+bound/16)
	is.True(arrival[1].admitted == 0)
	is.Equal(got[1].admitted, got[1].offered)
	is.True(got[0].part() > 0.3)
}

// A body that is too large for the bound is never admitted, one of unknown length only grows
// while it fits, and what is given back is free again.
func TestSizes(t *testing.T) {
	is := is.New(t)
	c := intake.New(bound)
	verdict, _ := c.Offer(start, intake.Body{ID: 1, Bytes: bound + 1, Until: start.Add(time.Second)})
	is.Equal(verdict, intake.Refuse{Never: true})
	for id := uint64(2); id <= 3; id++ {
		verdict, _ = c.Offer(start, intake.Body{ID: id, Organisation: fmt.Sprint(id), Bytes: 4 << 10})
		is.Equal(verdict, intake.Admit{})
	}
	fits, _ := c.Resize(2, bound) // the only one that is not small
	is.True(fits)
	fits, _ = c.Resize(3, intake.Small+1)
	is.True(!fits)
	_, _ = c.Resize(2, 8*mb)
	fits, _ = c.Resize(3, 8*mb)
	is.True(fits)
	is.Equal(c.State().Held, int64(16*mb))
	c.Release(start, 2)
	c.Release(start, 3)
	is.Equal(c.State(), intake.State{Bound: bound})
}

// What waits is bounded: the more important displace others, which are told so at once.
func TestWaitingBounded(t *testing.T) {
	is := is.New(t)
	c := intake.New(bound)
	offer := func(id uint64, class int, size int64) intake.Verdict {
		verdict, changes := c.Offer(start, intake.Body{ID: id, Organisation: fmt.Sprint(id), Class: class, Bytes: size, Until: start.Add(time.Second)})
		for _, v := range changes {
			_, refused := v.(intake.Refuse)
			is.True(refused)
		}
		return verdict
	}
	is.Equal(offer(1, low, 48*mb), intake.Admit{})
	for id := uint64(2); id < 6; id++ {
		is.Equal(offer(id, low, 16*mb), intake.Wait{})
	}
	_, refused := offer(6, low, 16*mb).(intake.Refuse)
	is.True(refused)
	is.Equal(offer(7, normal, 32*mb), intake.Wait{})
	is.Equal(c.State().Waiting, 3)
	is.Equal(c.Release(start, 1)[7], intake.Admit{})
}

// A body whose turn does not come in time is refused at once, with the time when it would.
func TestNoRoomInTime(t *testing.T) {
	is := is.New(t)
	c := intake.New(bound)
	offer := func(id uint64, wait time.Duration) intake.Verdict {
		verdict, _ := c.Offer(start, intake.Body{ID: id, Organisation: fmt.Sprint(id), Class: high, Bytes: 20 * mb, Until: start.Add(wait)})
		return verdict
	}
	for id := uint64(1); id <= 3; id++ {
		is.Equal(offer(id, 0), intake.Admit{})
	}
	c.Release(start, 1) // 20 MB/s
	is.Equal(offer(4, 0), intake.Admit{})
	refusal, refused := offer(5, 500*time.Millisecond).(intake.Refuse)
	is.True(refused)
	is.True(refusal.After > 900*time.Millisecond && refusal.After < 1100*time.Millisecond)
	is.Equal(offer(6, 2*time.Second), intake.Wait{})
}
