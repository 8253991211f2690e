package relay

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// The node of a target restarts and does not know the target's limit yet when it refuses
// a call. The limit is not forgotten then.
func TestLimitRemembered(t *testing.T) {
	is := is.New(t)
	known, of := newTargets(), incarnation{"i", 1}
	known.recordRate(start, of, call.Answered{}, 3)
	known.recordRate(start, of, call.Refused{}, 0)
	is.Equal(known.rate(of), 3.0)
	is.Equal(known.rate(incarnation{"i", 2}), 0.0)
	known.recordRate(start, of, call.Answered{}, 0)
	is.Equal(known.rate(of), 0.0)
	known.recordRate(start, of, call.Answered{}, 3)
	known.prune(start.Add(2 * rateTTL))
	is.Equal(known.rate(of), 0.0)
}

func TestLeaveRemembered(t *testing.T) {
	is := is.New(t)
	known, of := newTargets(), incarnation{"i", 1}
	is.True(known.recordLeft(start, of))
	is.True(!known.recordLeft(start, of))
	is.True(known.hasLeft(of) && !known.hasLeft(incarnation{"i", 2}))
	known.prune(start.Add(2 * leftTTL))
	is.True(!known.hasLeft(of))
}
