package era_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

func newTracker() (*era.Tracker, *bytes.Buffer) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	return era.New(logrus.NewEntry(log)), &out
}

func ExampleEra_After() {
	fmt.Println(era.At(5).After(era.At(4)), era.At(4).After(era.At(4)))
	fmt.Println(era.At(5).After(era.Era{}), era.Era{}.After(era.At(5)))
	// Output:
	// true false
	// false false
}

func ExampleEra_MayLack() {
	fmt.Println(era.Era{}.MayLack(), era.At(0).MayLack(), era.At(1).MayLack())
	// Output:
	// false false true
}

// Nodes of a fleet of any size write again within seconds, at a rate that the store bears.
func ExampleSpread() {
	for _, nodes := range []int{1, 78, 4800, 1 << 20} {
		fmt.Println(nodes, era.Spread(nodes))
	}
	// Output:
	// 1 500ms
	// 78 500ms
	// 4800 12s
	// 1048576 15s
}

// A delayed answer names an earlier era, and an answer without one names none.
func TestObserveIgnoresEarlierEra(t *testing.T) {
	is := is.New(t)
	tracker, log := newTracker()
	for _, step := range []struct{ observed, want era.Era }{
		{era.Era{}, era.Era{}},
		{era.At(3), era.At(3)},
		{era.At(4), era.At(4)},
		{era.At(3), era.At(4)},
		{era.Era{}, era.At(4)},
		{era.At(0), era.At(4)},
		{era.At(6), era.At(6)}, // one was missed while the node was cut off
	} {
		tracker.Observe(step.observed, "store")
		is.Equal(tracker.Current(), step.want)
	}
	is.Equal(strings.Count(log.String(), "store came back"), 2)
}

// A store that names no valid era is logged once, and again only after a valid one.
func TestInvalidLoggedOnce(t *testing.T) {
	is := is.New(t)
	tracker, log := newTracker()
	for range 3 {
		tracker.Invalid(errors.New("not a number"))
	}
	is.Equal(strings.Count(log.String(), "invalid era"), 1)
	tracker.Valid()
	tracker.Invalid(errors.New("not a number"))
	is.Equal(strings.Count(log.String(), "invalid era"), 2)
}

// The first era that a process learns of is no rise. Each later one is followed until what
// has to be written again is written.
func TestFollow(t *testing.T) {
	is := is.New(t)
	tracker, _ := newTracker()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	renewed := make(chan era.Era)
	failures := 0
	go func() {
		_ = tracker.Follow(ctx, func() int { return 1 }, func(context.Context) error {
			if failures++; failures == 1 {
				return errors.New("store is away")
			}
			renewed <- tracker.Current()
			return nil
		})
	}()
	tracker.Observe(era.At(7), "store")
	select {
	case <-renewed:
		t.Fatal("the first era is followed")
	case <-time.After(2 * era.Spread(1)):
	}
	for number := uint64(8); number < 10; number++ {
		tracker.Observe(era.At(number), "store")
		select {
		case e := <-renewed:
			is.Equal(e, era.At(number))
		case <-ctx.Done():
			t.Fatal("the rise is not followed")
		}
	}
	is.Equal(failures, 3)
}

// What was acknowledged in an earlier era may be lost.
func TestCheck(t *testing.T) {
	is := is.New(t)
	tracker, _ := newTracker()
	is.NoErr(tracker.Check(era.Era{}))
	tracker.Observe(era.At(3), "store")
	is.NoErr(tracker.Check(era.At(3)))
	is.NoErr(tracker.Check(era.Era{})) // a store without eras
	tracker.Observe(era.At(4), "peer")
	is.True(tracker.Check(era.At(3)) != nil)
}
