package health_test

import (
	"math/rand/v2"
	"testing"

	"chestnutshed.example/chestnutshed/internal/policy/health"
	"github.com/matryer/is"
)

// failingPart is the part of answers after which the target counts as failing,
// where a part of them is of one kind.
func failingPart(part float64, kind health.Answer) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	var h health.Health
	failing := 0
	const answers = 20000
	for range answers {
		answer := health.Success
		if random.Float64() < part {
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
		part  float64
		kind  health.Answer
		least float64
		most  float64
	}{
		{"one in ten fails", 0.1, health.Failure, 0, 0.001},
		{"nine in ten fail", 0.9, health.Failure, 0.98, 1},
		{"half are turned away", 0.55, health.Rejected, 0, 0.02},
		{"all are turned away", 1, health.Rejected, 0.98, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			part := failingPart(c.part, c.kind)
			t.Logf("failing after %.3f of the answers", part)
			is.New(t).True(part >= c.least && part <= c.most)
		})
	}
}
