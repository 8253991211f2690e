package budget_test

import (
	"fmt"
	"testing"

	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// An inner call gets all but one of the extra sends, and returns the unused.
func ExampleBudget() {
	c := budget.New(3)
	lent := c.Lend()
	fmt.Println(lent, c.Remaining())
	c.Return(1, lent)
	fmt.Println(c.Remaining())
	// Output:
	// 2 1
	// 2
}

// However deep a tree of calls is, whoever repeats and whatever is lost: all
// extra sends of a root together stay within its budget.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 6).Draw(t, "budget")
		spent := 0
		var call func(c *budget.Budget, depth int)
		call = func(c *budget.Budget, depth int) {
			for range rapid.IntRange(0, 4).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "repeat") {
					if c.Spend(1) {
						spent++
					}
					continue
				}
				if depth == 9 {
					continue
				}
				lent := c.Lend()
				inner := budget.New(lent)
				call(inner, depth+1)
				if rapid.Bool().Draw(t, "answered") {
					c.Return(inner.Remaining(), lent)
				}
			}
		}
		call(budget.New(total), 1)
		if spent > total {
			t.Fatalf("%d extra sends, budget %d", spent, total)
		}
	})
}

func TestRatio(t *testing.T) {
	is := is.New(t)
	r := budget.NewRatio(0.1)
	extras := 0
	for r.AllowRetry() {
		extras++
	}
	for range 100 {
		r.RecordFirst()
		if r.AllowRetry() {
			extras++
		}
	}
	is.True(extras >= 19 && extras <= 20) // the burst of ten, then one in ten
}
