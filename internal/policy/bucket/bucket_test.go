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

// A node gets at most half of the burst at once. Tokens that it has not reported as
// spent count as outstanding.
func ExampleBucket_Draw() {
	p := bucket.NewFull(start, bucket.Limits{Rate: 10, Burst: 100})
	g := p.Draw(start, bucket.Request{Node: "n", Want: 80})
	fmt.Println(g.Tokens)
	fmt.Println(p.Draw(start, bucket.Request{Node: "n", Want: 80, Spent: []bucket.Usage{{Grant: g.ID, Tokens: 20}}}).Tokens)
	// Output:
	// 50
	// 20
}

func TestCache(t *testing.T) {
	is := is.New(t)
	p := bucket.NewCache()
	is.True(!p.Spend(start))
	p.Add(start, bucket.Source{}, bucket.Grant{ID: 7, Tokens: 2})
	is.True(p.Spend(start))
	is.True(!p.Spend(start.Add(bucket.TokenTTL))) // expired
	is.Equal(p.Request("n", bucket.Source{}, 5), bucket.Request{Node: "n", Want: 5, Spent: []bucket.Usage{{Grant: 7, Tokens: 1}}})
	is.Equal(len(p.Request("n", bucket.Source{}, 5).Spent), 0) // reported once
}

// holder is one incarnation that holds the bucket in the property test.
type holder struct {
	shard     *bucket.Bucket
	epoch     uint64
	renewed   time.Time
	exclusive bool
}

const (
	leaseDuration = 30 * time.Second
	margin        = 5 * time.Second
)

func (h *holder) leaseState(now time.Time) bucket.LeaseState {
	switch {
	case now.Sub(h.renewed) >= leaseDuration:
		return bucket.Expired
	case !h.exclusive:
		return bucket.Shared
	}
	return bucket.Exclusive
}

// Over every window, at most burst plus rate times the window is spent. The steps
// are draws by several nodes, lost and late answers, a holder whose lease expires
// while it is paused and that comes back, and a successor with a shared or an
// exclusive lease.
func TestSpendingBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := bucket.Limits{Rate: 20, Burst: float64(rapid.IntRange(4, 60).Draw(t, "burst"))}
		now := start
		holders := []*holder{{shard: bucket.NewFull(now, limits), renewed: now, exclusive: true}}
		caches := []*bucket.Cache{bucket.NewCache(), bucket.NewCache(), bucket.NewCache()}
		var spent []time.Time
		// spendAll draws and spends all available tokens at one moment.
		spendAll := func() {
			for range 4 {
				for n, p := range caches {
					for p.Spend(now) {
						spent = append(spent, now)
					}
					for _, h := range holders {
						source := bucket.Source{Epoch: h.epoch}
						h.shard.SetLeaseState(now, h.leaseState(now))
						p.Add(now, source, h.shard.Draw(now, p.Request(fmt.Sprint(n), source, 200)))
					}
				}
			}
		}
		for range 200 {
			pause := rapid.SampledFrom([]int{0, 0, 0, 10, 300, 1500, 1900}).Draw(t, "ms")
			now = now.Add(time.Duration(pause) * time.Millisecond)
			n := rapid.IntRange(0, len(caches)-1).Draw(t, "cache")
			switch rapid.IntRange(0, 14).Draw(t, "step") {
			case 14:
				spendAll()
			case 0:
				newest := holders[len(holders)-1]
				if len(holders) == 1 || newest.exclusive {
					newest.renewed = now
				}
			case 1:
				now = now.Add(leaseDuration + margin)
				if len(holders) == 1 {
					h := &holder{renewed: now, epoch: holders[0].epoch + 1}
					h.shard = bucket.New(now, limits, h.leaseState(now))
					holders = append(holders, h)
				}
			case 2:
				if len(holders) == 2 { // evidence that the predecessor has stopped
					holders = holders[1:]
					holders[0].exclusive = true
					holders[0].shard.TakeOver(now)
				}
			case 3, 4, 5, 6, 7, 8:
				h := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
				asked := now
				now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 200}).Draw(t, "way")) * time.Millisecond)
				h.shard.SetLeaseState(now, h.leaseState(now))
				source := bucket.Source{Epoch: h.epoch}
				granted := h.shard.Draw(now, caches[n].Request(fmt.Sprint(n), source, rapid.SampledFrom([]int{1, 20, 200}).Draw(t, "want")))
				if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					caches[n].Add(asked, source, granted)
				}
			default:
				for range rapid.SampledFrom([]int{1, 10, 200}).Draw(t, "requests") {
					if caches[n].Spend(now) {
						spent = append(spent, now)
					}
				}
			}
		}
		for i := range spent {
			for j := i; j < len(spent); j++ {
				window := spent[j].Sub(spent[i]).Seconds()
				if float64(j-i+1) > limits.Burst+limits.Rate*window+1e-6 {
					t.Fatalf("%d tokens spent within %.3f s; burst %g, rate %g", j-i+1, window, limits.Burst, limits.Rate)
				}
			}
		}
	})
}
