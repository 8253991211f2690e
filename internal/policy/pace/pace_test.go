package pace_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/pace"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func ExamplePace() {
	p := pace.Pace{}.WithReported(start, 2.5)
	fmt.Printf("%.1f %.1f %.1f\n", p.At(start), p.At(start.Add(300*time.Millisecond)), p.At(start.Add(2*time.Second)))
	// Output: 2.5 1.6 1.0
}

// A target that tells no pace counts as usual.
func TestUnknown(t *testing.T) {
	is := is.New(t)
	is.True(!pace.Pace{}.Known())
	is.Equal(pace.Pace{}.At(start), 1.0)
	is.Equal(pace.Pace{}.Mean(), 1.0)
}

// A neighbour slows a target in one of seven answers. The mean shows that share, not the
// last answer.
func TestMean(t *testing.T) {
	is := is.New(t)
	p := pace.Pace{}
	for i := range 700 {
		factor := 1.0
		if i%7 == 0 {
			factor = 2.5
		}
		p = p.WithReported(start, factor)
	}
	is.True(p.Mean() > 1.1 && p.Mean() < 1.4)
}
