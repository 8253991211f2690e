package bucket_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// A drawer gets at most half of the burst at once; what it has not reported
// as spent counts as outstanding.
func ExampleBucket_Draw() {
	p := bucket.NewFull(start, bucket.Limits{Rate: 10, Burst: 100})
	g := p.Draw(start, bucket.Request{Node: "n", Want: 80})
	fmt.Println(g.Tokens)
	fmt.Println(p.Draw(start, bucket.Request{Node: "n", Want: 80, Spent: []bucket.Usage{{Grant: g.ID, Tokens: 20}}}).Tokens)
	// Output:
	// 50
	// 20
}

func TestPurse(t *testing.T) {
	is := is.New(t)
	p := bucket.NewPurse()
	is.True(!p.Spend(start))
	p.Add(start, bucket.Source{}, bucket.Grant{ID: 7, Tokens: 2})
	is.True(p.Spend(start))
	is.True(!p.Spend(start.Add(bucket.TokenLife))) // expired
	is.Equal(p.Ask("n", bucket.Source{}, 5), bucket.Request{Node: "n", Want: 5, Spent: []bucket.Usage{{Grant: 7, Tokens: 1}}})
	is.Equal(len(p.Ask("n", bucket.Source{}, 5).Spent), 0) // reported once
}

// holder is one incarnation's view of the part in the property test.
type holder struct {
	part   *bucket.Bucket
	epoch  uint64
	leased time.Time
	sole   bool
}

const (
	leaseTime = 30 * time.Second
	margin    = 5 * time.Second
)

func (h *holder) claim(now time.Time) bucket.Claim {
	switch {
	case now.Sub(h.leased) >= leaseTime:
		return bucket.Lapsed
	case !h.sole:
		return bucket.Remainder
	}
	return bucket.Whole
}

// Over every window, no more is spent than burst plus rate times the window:
// with several drawers, lost draws, late answers, a holder that lapses, is
// paused and comes back, and a successor that takes the remainder or the whole.
func TestBoundProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := bucket.Limits{Rate: 20, Burst: float64(rapid.IntRange(4, 60).Draw(t, "burst"))}
		now := start
		holders := []*holder{{part: bucket.NewFull(now, terms), leased: now, sole: true}}
		purses := []*bucket.Purse{bucket.NewPurse(), bucket.NewPurse(), bucket.NewPurse()}
		var spent []time.Time
		// attack spends all that can be had at one moment.
		attack := func() {
			for range 4 {
				for n, p := range purses {
					for p.Spend(now) {
						spent = append(spent, now)
					}
					for _, h := range holders {
						source := bucket.Source{Epoch: h.epoch}
						h.part.SetClaim(now, h.claim(now))
						p.Add(now, source, h.part.Draw(now, p.Ask(fmt.Sprint(n), source, 200)))
					}
				}
			}
		}
		for range 200 {
			pause := rapid.SampledFrom([]int{0, 0, 0, 10, 300, 1500, 1900}).Draw(t, "ms")
			now = now.Add(time.Duration(pause) * time.Millisecond)
			n := rapid.IntRange(0, len(purses)-1).Draw(t, "purse")
			switch rapid.IntRange(0, 14).Draw(t, "step") {
			case 14:
				attack()
			case 0:
				newest := holders[len(holders)-1]
				if len(holders) == 1 || newest.sole {
					newest.leased = now
				}
			case 1:
				now = now.Add(leaseTime + margin)
				if len(holders) == 1 {
					h := &holder{leased: now, epoch: holders[0].epoch + 1}
					h.part = bucket.New(now, terms, h.claim(now))
					holders = append(holders, h)
				}
			case 2:
				if len(holders) == 2 { // evidence that the former one has stopped
					holders = holders[1:]
					holders[0].sole = true
					holders[0].part.Inherit(now)
				}
			case 3, 4, 5, 6, 7, 8:
				h := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
				asked := now
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 200}).Draw(t, "way")) * time.Millisecond)
				h.part.SetClaim(now, h.claim(now))
				source := bucket.Source{Epoch: h.epoch}
				granted := h.part.Draw(now, purses[n].Ask(fmt.Sprint(n), source, rapid.SampledFrom([]int{1, 20, 200}).Draw(t, "want")))
				if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					purses[n].Add(asked, source, granted)
				}
			default:
				for range rapid.SampledFrom([]int{1, 10, 200}).Draw(t, "requests") {
					if purses[n].Spend(now) {
						spent = append(spent, now)
					}
				}
			}
		}
		for i := range spent {
			for j := i; j < len(spent); j++ {
				window := spent[j].Sub(spent[i]).Seconds()
				if float64(j-i+1) > terms.Burst+terms.Rate*window+1e-6 {
					t.Fatalf("%d tokens spent within %.3f s; burst %g, rate %g", j-i+1, window, terms.Burst, terms.Rate)
				}
			}
		}
	})
}
