package quota_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"chestnutshed.example/chestnutshed/internal/policy/returns"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// pressed is what callers of an organisation over its rate got.
type pressed struct {
	mu sync.Mutex
	// taken are the tokens by turn, and refused the requests without one.
	taken, refused map[returns.Turn]int
}

func (p *pressed) count(r quota.Result, t returns.Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r == quota.Exceeded {
		p.refused[t]++
	} else {
		p.taken[t]++
	}
}

// press sends requests of a lower rank on every node at a rate of perNode a second for a
// time. Refused callers come back once, when they were told.
func (w *network) press(perNode float64, d time.Duration) *pressed {
	p := &pressed{taken: map[returns.Turn]int{}, refused: map[returns.Turn]int{}}
	c := returns.Caller{Organisation: org.Name, Left: 5 * time.Second, Objective: 1500 * time.Millisecond}
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for _, n := range w.nodes {
		group.Go(func() {
			for time.Now().Before(end) {
				group.Go(func() {
					r := quota.Request{Rank: 1, Reach: c.Reach()}
					got := n.service.Take(context.Background(), time.Now(), &org, r)
					p.count(got, r.Turn)
					if got != quota.Exceeded {
						return
					}
					told := n.service.Refuse(time.Now(), &org, r, c, rand.Float64())
					time.Sleep(min(told.After, c.Left/3))
					if r.Turn = returns.WithoutPlace; told.Place {
						r.Turn = returns.WithPlace
					}
					p.count(n.service.Take(context.Background(), time.Now(), &org, r), r.Turn)
				})
				time.Sleep(time.Duration(rand.ExpFloat64() / perNode * float64(time.Second)))
			}
		})
	}
	group.Wait()
	return p
}

// An organisation sends at eight times its rate. Who is told a place finds a token, and
// about half of the rate is left for callers that come for the first time. All of the rate
// is used.
func TestPlacesOverTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		const lasts = 6 * time.Second
		p := w.press(8*org.Rate/12, lasts)
		t.Logf("taken %v, refused %v", p.taken, p.refused)
		kept := p.taken[returns.WithPlace]
		is.True(kept > 20*p.refused[returns.WithPlace])
		is.True(float64(kept) > 0.4*org.Rate*lasts.Seconds())
		is.True(float64(p.taken[returns.First]) > 0.4*org.Rate*lasts.Seconds())
		all := p.taken[returns.First] + kept + p.taken[returns.WithoutPlace]
		is.True(float64(all) > org.Rate*lasts.Seconds())
		is.True(all <= tolerated(lasts+time.Second))
	})
}

// Requests of a lower rank, whose callers can wait for longer, get no place before those of
// a higher one.
func TestPlacesByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		patient := returns.Caller{Organisation: org.Name, Left: 5 * time.Second, Objective: 3 * time.Second}
		var group sync.WaitGroup
		placed, end := 0, time.Now().Add(3*time.Second)
		group.Go(func() {
			n := w.nodes["n00"]
			for ; time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				group.Go(func() {
					r := quota.Request{Rank: 2, Reach: patient.Reach()}
					if n.service.Take(context.Background(), time.Now(), &org, r) == quota.Exceeded && n.service.Refuse(time.Now(), &org, r, patient, 0).Place {
						placed++
					}
				})
			}
		})
		p := w.press(8*org.Rate/12, 3*time.Second)
		group.Wait()
		is.Equal(placed, 0)
		is.True(float64(p.taken[returns.WithPlace]) > 0.4*org.Rate*3)
	})
}

// A surge over the rate ends. Half a second later nobody is refused any more.
func TestRateSurgeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newNetwork(t, 12)
		time.Sleep(warmUp)
		w.press(4*org.Rate/12, 2*time.Second)
		w.press(0.8*org.Rate/12, 500*time.Millisecond)
		p := w.press(0.8*org.Rate/12, 3*time.Second)
		t.Logf("taken %v, refused %v", p.taken, p.refused)
		is.Equal(len(p.refused), 0)
	})
}

// A message of a peer may hold anything. What callers are told stays within bounds.
func FuzzMessage(f *testing.F) {
	f.Add(`{"e":1,"at":1,"grants":[{"org":"o","low":true,"n":0,"places":3,"wait":20,"step":10}]}`)
	f.Add(`{"e":1,"at":1,"grants":[{"org":"o","low":true,"places":1000000000,"wait":9223372036854775807,"step":1e300}]}`)
	f.Add(`{"e":1,"at":1,"draws":[{"org":"o","want":1,"now":1,"seek":-5,"reach":9223372036854775807}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := &node{network: &network{nodes: map[string]*node{}}, id: "n"}
		n.network.nodes["n"] = n
		n.service = quota.New(time.Now, n, confsync.New(source{}, time.Second, logrus.NewEntry(log)), logrus.NewEntry(log))
		r, c := quota.Request{Rank: 1, Reach: time.Second}, returns.Caller{Left: 3 * time.Second, Objective: 2 * time.Second}
		n.service.Refund(time.Now(), &org, r) // creates the cache
		n.service.Message(time.Now(), "peer", []byte(text))
		for range 3 {
			told := n.service.Refuse(time.Now(), &org, r, c, 0.5)
			is.True(told.After > 0 && told.After <= time.Minute)
			is.True(!told.Place || told.After <= c.Reach())
		}
	})
}
