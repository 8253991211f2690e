package rank_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// last plays requests of organisations at a steady number a second for a while and
// returns the greatest rank that the last one of each could get.
func last(perSecond map[string]int) map[string]float64 {
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

// A request is not refused before others of its organisation since it came to a
// node that many come to.
func TestBusyNodeRanksLast(t *testing.T) {
	is := is.New(t)
	busy, calm := last(map[string]int{"a": 50, "b": 50}), last(map[string]int{"a": 2, "b": 2})
	is.True(busy["a"] < 1.5*calm["a"])
	is.True(calm["a"] < 1.5*busy["a"])
}

// An organisation that asks for more of its share than others ranks behind them.
func TestRelativeToOthers(t *testing.T) {
	is := is.New(t)
	ranks := last(map[string]int{"a": 5, "b": 5, "hot": 50})
	is.True(ranks["hot"] > 5*ranks["a"])
}
