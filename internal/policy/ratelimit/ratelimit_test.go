package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/ratelimit"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// sendAll sends as many requests as the limit allows between two moments.
func sendAll(l ratelimit.Limit, from, to time.Time) (ratelimit.Limit, int) {
	n := 0
	for now := from; now.Before(to); now = now.Add(time.Millisecond) {
		for n < 1e5 && l.Active(now) && l.Allows(now) {
			l = l.WithSent(now)
			n++
		}
	}
	return l, n
}

func Example() {
	l := ratelimit.Limit{}.WithNamed(start, 2)
	fmt.Println(l.Allows(start), l.Allows(start.Add(500*time.Millisecond)))
	// Output: false true
}

func TestRateInAnyWindow(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{0, 0.1, 1, 3, 10.4, 151, 2000} {
		l := ratelimit.Limit{}.WithNamed(start, perSecond)
		// Idle time, as of a frozen node, saves up no more than a burst.
		_, n := sendAll(l, start.Add(time.Minute), start.Add(time.Minute+4*time.Second))
		is.True(float64(n) <= 1.5*4*perSecond+5)
		is.True(n >= max(2, int(0.95*4*perSecond)))
	}
}

func TestAnswersNameLimitAgain(t *testing.T) {
	is := is.New(t)
	l, total := ratelimit.Limit{}, 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		l = l.WithNamed(now, 10)
		var n int
		l, n = sendAll(l, now, now.Add(10*time.Millisecond))
		total += n
	}
	is.True(total >= 38 && total <= 42)
}

func TestEndedLimitIsDroppedWithinSeconds(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{0, 3, 100} {
		l := ratelimit.Limit{}.WithNamed(start, perSecond)
		now := start.Add(10 * time.Second)
		l = l.WithUnnamed(now, now.Add(-time.Millisecond))
		is.Equal(l.Named(), 0.0)
		is.True(l.Rate(now.Add(100*time.Millisecond)) < 2*max(perSecond, 5))
		is.True(l.Rate(now.Add(2*time.Second)) > 1000)
		is.True(!l.Active(now.Add(3 * time.Second)))
	}
}

// An answer that was on its way when the limit was named does not end it.
func TestOlderAnswerDoesNotEndLimit(t *testing.T) {
	is := is.New(t)
	l := ratelimit.Limit{}.WithNamed(start, 3)
	l = l.WithUnnamed(start.Add(time.Millisecond), start.Add(-time.Millisecond))
	is.Equal(l.Named(), 3.0)
}

// One answer lacks the limit and the next one has it again: little gets through.
func TestLimitMissingOnce(t *testing.T) {
	is := is.New(t)
	l := ratelimit.Limit{}.WithNamed(start, 3)
	l = l.WithUnnamed(start.Add(100*time.Millisecond), start.Add(50*time.Millisecond))
	l, n := sendAll(l, start.Add(100*time.Millisecond), start.Add(300*time.Millisecond))
	l = l.WithNamed(start.Add(300*time.Millisecond), 3)
	_, later := sendAll(l, start.Add(300*time.Millisecond), start.Add(4*time.Second))
	is.True(n+later <= 23)
}
