package relay

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

// An organisation's rank takes precedence over the ranks of its routes but does not
// replace them. Otherwise a lookup could be scored before a payment of the same
// organisation.
func TestScoreOrganisationRankFirst(t *testing.T) {
	is := is.New(t)
	org := func(rank int) *rules.Organisation { return &rules.Organisation{Rank: rank, HasRank: true} }
	payment, lookup := &rules.Route{Rank: 0}, &rules.Route{Rank: 2}
	const first, last = 0, 50 // positions in the class
	ordered := []priority.Score{
		score(org(0), payment, last),
		score(org(0), lookup, first),
		score(org(1), payment, first),
		score(org(1), payment, last),
		score(org(1), lookup, first),
		score(org(2), payment, first),
	}
	for i := range ordered[1:] {
		is.True(ordered[i] < ordered[i+1])
	}
	without := &rules.Organisation{}
	is.True(score(without, payment, last) < score(without, lookup, first))
	is.True(score(without, lookup, last) < priority.Score(priority.AdmitAll))
}
