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

func TestAllowed(t *testing.T) {
	refused := func(reason failure.Reason, ran failure.Ran) retry.Result {
		return retry.Refused{Refusal: failure.New(reason, "").WithRan(ran)}
	}
	tests := []struct {
		name       string
		result     retry.Result
		idempotent bool
		want       bool
	}{
		{"success", retry.Answer{Status: 200}, true, false},
		{"target failed", retry.Answer{Status: 500}, true, true},
		{"target failed, not idempotent", retry.Answer{Status: 500}, false, false},
		{"inner call failed", retry.Answer{Status: 502, InnerFailed: true}, true, false},
		{"invalid request", retry.Answer{Status: 404}, true, false},
		{"no connection", retry.NoAnswer{NotSent: true}, false, true},
		{"no answer", retry.NoAnswer{}, true, true},
		{"no answer, not idempotent", retry.NoAnswer{}, false, false},
		{"overload", refused(failure.Overload, failure.RanNo), false, true},
		{"leaving", refused(failure.Leaving, failure.RanNo), false, true},
		{"lost between node and target", refused(failure.Lost, failure.RanUnknown), true, true},
		{"lost between node and target, not idempotent", refused(failure.Lost, failure.RanUnknown), false, false},
		{"deadline exceeded", refused(failure.Deadline, failure.RanNo), true, false},
		{"rate exceeded", refused(failure.RateExceeded, failure.RanNo), true, false},
		{"poison", refused(failure.Poison, failure.RanNo), true, false},
		{"retries exhausted downstream", refused(failure.RetriesExhausted, failure.RanNo), true, false},
	}
	for _, tt := range tests {
		if got := retry.Allowed(tt.result, tt.idempotent); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

// For any sequence of results, a call is never sent more often than its budget
// allows, a call that is not idempotent is never sent again after an attempt
// that may have run, and a refusal says "not run" only if no attempt can have
// run.
func TestAttemptsProperty(t *testing.T) {
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
		retries := rapid.IntRange(0, 4).Draw(t, "retries")
		idempotent := rapid.Bool().Draw(t, "idempotent")
		b := balancer.New("z", rand.New(rand.NewPCG(1, 1)))
		attempts := retry.NewAttempts(balancer.Call{Score: priority.New(manifest.Low, 1), Depth: 1}, idempotent, retries)
		ratio := budget.NewRatio(1)
		mayHaveRun := false
		for {
			step, ok := attempts.Next(start, all, b, ratio, func() bool { return true }).(retry.Send)
			if !ok {
				break
			}
			if mayHaveRun && !idempotent {
				t.Fatal("sent again after an attempt that may have run")
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
			attempts.Record(result, step.Lent, step.Lent, 0)
		}
		if attempts.Sends() > retries+1 {
			t.Fatalf("%d sends with a budget of %d retries", attempts.Sends(), retries)
		}
		if r, ok := attempts.Result().(retry.Refused); ok && mayHaveRun && r.Refusal.Ran == failure.RanNo {
			t.Fatalf("the refusal says not run, but an attempt may have run: %v", r.Refusal)
		}
	})
}

func TestNeverSent(t *testing.T) {
	is := is.New(t)
	attempts := retry.NewAttempts(balancer.Call{}, true, 3)
	step := attempts.Next(start, nil, balancer.New("z", rand.New(rand.NewPCG(1, 1))), budget.NewRatio(1), nil)
	is.Equal(step, retry.Stop{})
	r := attempts.Result().(retry.Refused).Refusal
	is.Equal(r.Reason, failure.NoTarget)
	is.Equal(r.Ran, failure.RanNo)
}
