package liveness_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/liveness"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// step is a probe sent to a member, or a message received from it.
type step struct {
	ms       int
	member   string
	received bool
}

func TestNewSuspects(t *testing.T) {
	probes := func(from, to int, member string) []step {
		var steps []step
		for ms := from; ms <= to; ms += 250 {
			steps = append(steps, step{ms, member, false})
		}
		return steps
	}
	cases := []struct {
		name  string
		steps []step
		at    int
		want  []string
	}{
		{"many probes unanswered", append(probes(0, 1000, "a"), step{1100, "b", true}), 1250, []string{"a"}},
		{"two lost probes are tolerated", []step{{0, "a", false}, {1000, "a", false}, {1100, "b", true}}, 1300, nil},
		{"slow answer within the timeout", append(probes(0, 1000, "a"), step{1150, "a", true}), 1250, nil},
		{"answered, then silent for less than the timeout", append(append(probes(0, 500, "a"), step{600, "a", true}), probes(750, 1500, "a")...), 1550, nil},
		{"no member answers", append(probes(0, 1000, "a"), probes(0, 1000, "b")...), 1500, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := liveness.New(start)
			for _, s := range c.steps {
				if s.received {
					d.MessageReceived(at(s.ms), s.member)
				} else {
					d.ProbeSent(at(s.ms), s.member)
				}
			}
			is.Equal(d.NewSuspects(at(c.at)), c.want)
			is.Equal(d.NewSuspects(at(c.at)), nil) // reported once
		})
	}
}

// A path that is broken for one node only must raise a single suspicion until
// the next message from the member.
func TestBrokenPathRaisesOneSuspicion(t *testing.T) {
	is := is.New(t)
	d := liveness.New(start)
	suspects := 0
	for ms := 0; ms < 20000; ms += 250 {
		d.ProbeSent(at(ms), "a")
		d.MessageReceived(at(ms+1), "b")
		suspects += len(d.NewSuspects(at(ms + 2)))
	}
	is.Equal(suspects, 1)
	d.MessageReceived(at(20000), "a")
	for ms := 20000; ms < 24000; ms += 250 {
		d.ProbeSent(at(ms), "a")
		d.MessageReceived(at(ms+1), "b")
		suspects += len(d.NewSuspects(at(ms + 2)))
	}
	is.Equal(suspects, 2)
}

// A node that receives nothing must detect within 2.5 s, at four probes per
// second, that it is cut off. From then on only members with a recent message
// count as active. When messages arrive again, the probes lost in between must
// not make members suspect.
func TestIsolated(t *testing.T) {
	is := is.New(t)
	d := liveness.New(start)
	d.MessageReceived(at(0), "a")
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for i, m := range members {
		d.ProbeSent(at(i*250), m)
	}
	is.True(d.Isolated(at(2500)))
	is.True(d.RecentlyActive(at(2500), "a"))
	is.True(!d.RecentlyActive(at(2501), "a"))
	is.True(!d.RecentlyActive(at(100), "b"))
	for range 3 {
		d.ProbeSent(at(2500), "b")
	}
	d.MessageReceived(at(6000), "c")
	is.True(!d.Isolated(at(6000)))
	is.Equal(d.NewSuspects(at(6001)), nil) // probes lost while cut off don't count
}

// After a pause of the process its probes from before are unanswered. No member
// may be suspected for that.
func TestResetTimeoutsAfterPause(t *testing.T) {
	is := is.New(t)
	d := liveness.New(start)
	for range 3 {
		d.ProbeSent(at(0), "a")
	}
	d.ResetTimeouts(at(9000))
	d.MessageReceived(at(9001), "b")
	is.Equal(d.NewSuspects(at(9010)), nil)
	is.Equal(d.Unanswered(), nil)
}

// When the whole fleet is short of processor time, every answer takes two
// seconds, more than minTimeout. The timeout must adapt to the round trips, or
// members are suspected over and over.
func TestTimeoutAdaptsToSlowAnswers(t *testing.T) {
	is := is.New(t)
	d := liveness.New(start)
	const slow = 2000
	suspects, late := 0, 0
	for ms := 0; ms < 30_000; ms += 50 {
		if ms%250 == 0 {
			d.ProbeSent(at(ms), "a")
			d.ProbeSent(at(ms), "b")
		}
		if ms >= slow && ms%250 == 0 {
			for _, id := range []string{"a", "b"} {
				d.MessageReceived(at(ms), id)
				d.RoundTrip(at(ms), slow*time.Millisecond)
			}
		}
		n := len(d.NewSuspects(at(ms)))
		suspects += n
		if ms > 10_000 {
			late += n
		}
	}
	is.Equal(late, 0)
	// A member that crashes is still suspected, though later, once others answer fast again.
	for ms := 30_000; ms < 90_000; ms += 250 {
		d.ProbeSent(at(ms), "a")
		d.ProbeSent(at(ms), "b")
		d.MessageReceived(at(ms+1), "b")
		d.RoundTrip(at(ms+1), time.Millisecond)
		for _, id := range d.NewSuspects(at(ms + 2)) {
			is.Equal(id, "a")
			is.True(ms < 36_000)
			return
		}
	}
	t.Fatal("the crashed member was never suspected")
}
