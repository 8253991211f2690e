package relay

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

// An organisation's rank goes before its routes' and does not replace them: of its
// requests a payment still goes before a lookup.
func TestOrganisationRankHidesRoutes(t *testing.T) {
	is := is.New(t)
	org := func(rank int) *rules.Organisation { return &rules.Organisation{Rank: rank, HasRank: true} }
	payment, lookup := &rules.Route{Rank: 0}, &rules.Route{Rank: 2}
	const first, last = 0, 50 // places in an organisation's own order
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
