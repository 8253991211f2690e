package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func TestAgain(t *testing.T) {
	refused := func(reason failure.Reason, ran failure.Ran) retry.Result {
		return retry.Refused{Refusal: failure.New(reason, "").WithRan(ran)}
	}
	tests := []struct {
		name       string
		result     retry.Result
		idempotent bool
		want       bool
	}{
		{"whole answer", retry.Answer{Status: 200}, true, false},
		{"the target failed", retry.Answer{Status: 500}, true, true},
		{"the target failed a payment", retry.Answer{Status: 500}, false, false},
		{"an inner call failed", retry.Answer{Status: 502, Inner: true}, true, false},
		{"the request is wrong", retry.Answer{Status: 404}, true, false},
		{"no connection", retry.NoAnswer{NotSent: true}, false, true},
		{"no answer", retry.NoAnswer{}, true, true},
		{"no answer to a payment", retry.NoAnswer{}, false, false},
		{"overload", refused(failure.Overload, failure.RanNo), false, true},
		{"leaving", refused(failure.Leaving, failure.RanNo), false, true},
		{"lost behind the node", refused(failure.Lost, failure.RanUnknown), true, true},
		{"payment lost behind the node", refused(failure.Lost, failure.RanUnknown), false, false},
		{"too late", refused(failure.Deadline, failure.RanNo), true, false},
		{"over the rate", refused(failure.RateExceeded, failure.RanNo), true, false},
		{"poison", refused(failure.Poison, failure.RanNo), true, false},
		{"no extra sends further down", refused(failure.Retries, failure.RanNo), true, false},
	}
	for _, tt := range tests {
		if got := retry.Allowed(tt.result, tt.idempotent); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

// A call is never sent more often than its budget allows, one that is not
// idempotent never after a send that may have run, and a refusal says "not
// run" only when no send can have run.
func TestCourseProperty(t *testing.T) {
	results := []retry.Result{
		retry.Answer{Status: 500},
		retry.NoAnswer{},
		retry.NoAnswer{NotSent: true},
		retry.Refused{Refusal: failure.New(failure.Overload, "")},
		retry.Refused{Refusal: failure.New(failure.NotReady, "")},
		retry.Refused{Refusal: failure.New(failure.Lost, "").WithRan(failure.RanUnknown)},
	}
	var all []balancer.Candidate
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		all = append(all, balancer.Candidate{ID: id, Slots: 10})
	}
	rapid.Check(t, func(t *rapid.T) {
		extra := rapid.IntRange(0, 4).Draw(t, "extra")
		idempotent := rapid.Bool().Draw(t, "idempotent")
		chooser := balancer.New("z", rand.New(rand.NewPCG(1, 1)))
		course := retry.NewAttempts(balancer.Call{Score: priority.New(manifest.Low, 1), Depth: 1}, idempotent, extra)
		ratio := budget.NewRatio(1)
		mayHaveRun := false
		for {
			step, ok := course.Next(start, all, chooser, ratio, func() bool { return true }).(retry.Send)
			if !ok {
				break
			}
			if mayHaveRun && !idempotent {
				t.Fatal("sent again after a send that may have run")
			}
			result := rapid.SampledFrom(results).Draw(t, "result")
			switch r := result.(type) {
			case retry.Answer:
				mayHaveRun = true
			case retry.NoAnswer:
				mayHaveRun = mayHaveRun || !r.NotSent
			case retry.Refused:
				mayHaveRun = mayHaveRun || r.Refusal.Ran != failure.RanNo
			}
			course.Record(result, step.Lent, step.Lent, 0)
		}
		if course.Sends() > extra+1 {
			t.Fatalf("%d sends with %d extra", course.Sends(), extra)
		}
		if r, ok := course.Result().(retry.Refused); ok && mayHaveRun && r.Refusal.Ran == failure.RanNo {
			t.Fatalf("the refusal says not run: %v", r.Refusal)
		}
	})
}

func TestNeverSent(t *testing.T) {
	is := is.New(t)
	course := retry.NewAttempts(balancer.Call{}, true, 3)
	step := course.Next(start, nil, balancer.New("z", rand.New(rand.NewPCG(1, 1))), budget.NewRatio(1), nil)
	is.Equal(step, retry.Stop{})
	r := course.Result().(retry.Refused).Refusal
	is.Equal(r.Reason, failure.NoTarget)
	is.Equal(r.Ran, failure.RanNo)
}
