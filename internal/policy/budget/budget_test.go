package budget_test

import (
	"fmt"
	"testing"

	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// An inner call gets all but one of the retries, and returns the unused ones.
func ExampleBudget() {
	b := budget.New(3)
	lent := b.Lend()
	fmt.Println(lent, b.Remaining())
	b.Return(1, lent)
	fmt.Println(b.Remaining())
	// Output:
	// 2 1
	// 2
}

// In any tree of calls, whichever calls are retried and whichever answers are
// lost, all retries of a root together must stay within its budget.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 6).Draw(t, "budget")
		spent := 0
		var call func(b *budget.Budget, depth int)
		call = func(b *budget.Budget, depth int) {
			for range rapid.IntRange(0, 4).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "retry") {
					if b.Spend(1) {
						spent++
					}
					continue
				}
				if depth == 9 {
					continue
				}
				lent := b.Lend()
				inner := budget.New(lent)
				call(inner, depth+1)
				if rapid.Bool().Draw(t, "answered") {
					b.Return(inner.Remaining(), lent)
				}
			}
		}
		call(budget.New(total), 1)
		if spent > total {
			t.Fatalf("%d retries, budget %d", spent, total)
		}
	})
}

func TestRatio(t *testing.T) {
	is := is.New(t)
	r := budget.NewRatio(0.1)
	retries := 0
	for r.AllowRetry() {
		retries++
	}
	for range 100 {
		r.RecordFirst()
		if r.AllowRetry() {
			retries++
		}
	}
	is.True(retries >= 19 && retries <= 20) // the burst of ten, then one in ten
}
