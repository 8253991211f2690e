package rank_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// lastRanks sends requests of organisations at steady rates per second for 10 s. It
// returns the highest rank that the last request of each organisation can get.
func lastRanks(perSecond map[string]int) map[string]float64 {
	r, ranks := rank.New(), map[string]float64{}
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		tick := int(now.Sub(start) / (10 * time.Millisecond))
		for org, n := range perSecond {
			if tick%(100/n) == 0 {
				ranks[org] = r.RelativeRank(now, rank.Flow{Organisation: org, Class: 1}, 10, 1)
			}
		}
	}
	return ranks
}

// The ranks of an organisation must not depend on the traffic of the node. Otherwise
// the requests that enter at a busy node are refused first.
func TestRelativeRankIgnoresNodeTraffic(t *testing.T) {
	is := is.New(t)
	busy, idle := lastRanks(map[string]int{"a": 50, "b": 50}), lastRanks(map[string]int{"a": 2, "b": 2})
	is.True(busy["a"] < 1.5*idle["a"])
	is.True(idle["a"] < 1.5*busy["a"])
}

// An organisation with more demand for its share than others gets higher ranks, so
// it is refused first.
func TestRelativeRankOfHighDemand(t *testing.T) {
	is := is.New(t)
	ranks := lastRanks(map[string]int{"a": 5, "b": 5, "hot": 50})
	is.True(ranks["hot"] > 5*ranks["a"])
}
