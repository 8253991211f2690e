package rationing_test

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/rationing"
	"github.com/matryer/is"
)

// Half of the calls of chains are rejected, and half of the budget is used. The calls of
// roots that entries still admit are all retried, up to those just below the cutoff: a run
// completes only if each of its calls does. Calls of other roots leave the budget to them.
func TestAdmittedChainsGetAllRetries(t *testing.T) {
	is := is.New(t)
	c := rationing.New()
	c.Measure(start, 1000, 1000)
	now := start
	for range 20 {
		now = now.Add(tick)
		for i := range 100 {
			c.RecordFirst(priority.New(manifest.Low, float64(i)/100))
			c.RecordResult(i%2 == 0)
		}
		c.Adjust(c.Measure(now, 500, 1000))
	}
	admitted := c.Cutoff()
	is.True(admitted < priority.AdmitAll)
	is.True(c.Allows(priority.Score(admitted)-1e-4, true))
	is.True(!c.Allows(priority.New(manifest.Low, 1), true))
}
