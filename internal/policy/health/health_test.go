package health_test

import (
	"math/rand/v2"
	"testing"

	"chestnutshed.example/chestnutshed/internal/policy/health"
	"github.com/matryer/is"
)

// failingRatio returns how often the target is failing after an answer, when
// the given ratio of answers is of kind and the others succeed.
func failingRatio(ratio float64, kind health.Answer) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	var h health.Health
	failing := 0
	const answers = 20000
	for range answers {
		answer := health.Success
		if random.Float64() < ratio {
			answer = kind
		}
		if h = h.WithAnswer(answer); h.Failing() {
			failing++
		}
	}
	return float64(failing) / answers
}

func TestFailing(t *testing.T) {
	for _, c := range []struct {
		name  string
		ratio float64
		kind  health.Answer
		least float64
		most  float64
	}{
		{"one in ten fails", 0.1, health.Failure, 0, 0.001},
		{"nine in ten fail", 0.9, health.Failure, 0.98, 1},
		{"half are rejected", 0.55, health.Rejected, 0, 0.02},
		{"all are rejected", 1, health.Rejected, 0.98, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ratio := failingRatio(c.ratio, c.kind)
			t.Logf("failing after %.3f of the answers", ratio)
			is.New(t).True(ratio >= c.least && ratio <= c.most)
		})
	}
}
