package admission_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

// The queue of a target at the end of a chain is long. Calls of roots that are no longer
// admitted are refused at once, so that those of the others complete their runs.
func TestCallsOfRefusedRootsDoNotWait(t *testing.T) {
	is := is.New(t)
	const slots = 8
	c := admission.New(admission.Sidecar())
	c.SetSlots(start, slots)
	deadline := start.Add(time.Minute)
	inner := func(id uint64, root priority.Score) admission.Request {
		return admission.Request{ID: id, Route: "r", Score: priority.New(manifest.Critical, 0), RootScore: root, Depth: 2, Share: 1, Deadline: deadline}
	}
	important, other := priority.New(manifest.High, 1), priority.New(manifest.Low, 1)
	id := uint64(0)
	for range slots + slots/2 { // the queue is as long as it takes to use all slots
		id++
		c.Offer(start, inner(id, other))
	}
	c.Tick(start)
	for range 200 {
		c.Adopt(priority.Cutoff(priority.New(manifest.Normal, 0)))
	}
	verdict, _ := c.Offer(start, inner(100, other))
	is.Equal(verdict, admission.Wait{}) // the queue is not too long yet
	verdict, _ = c.Offer(start, inner(101, other))
	refuse, ok := verdict.(admission.Refuse)
	is.True(ok)
	is.Equal(refuse.Reason, failure.Overload)
	verdict, _ = c.Offer(start, inner(102, important))
	is.Equal(verdict, admission.Wait{})
	verdict, _ = c.Offer(start, inner(103, 0)) // its root is not known
	is.Equal(verdict, admission.Wait{})
}
