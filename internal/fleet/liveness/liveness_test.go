package liveness_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/liveness"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// step is one probe or sign of life of a member.
type step struct {
	ms     int
	member string
	heard  bool
}

func TestDoubts(t *testing.T) {
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
		{"no answer to many probes", append(probes(0, 1000, "a"), step{1100, "b", true}), 1250, []string{"a"}},
		{"two probes may be lost", []step{{0, "a", false}, {1000, "a", false}, {1100, "b", true}}, 1300, nil},
		{"a slow answer in time", append(probes(0, 1000, "a"), step{1150, "a", true}), 1250, nil},
		{"answered, then silent for a short time", append(append(probes(0, 500, "a"), step{600, "a", true}), probes(750, 1500, "a")...), 1550, nil},
		{"nobody answers this node", append(probes(0, 1000, "a"), probes(0, 1000, "b")...), 1500, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := liveness.New(start)
			for _, s := range c.steps {
				if s.heard {
					w.Heard(at(s.ms), s.member)
				} else {
					w.Probed(at(s.ms), s.member)
				}
			}
			is.Equal(w.Doubts(at(c.at)), c.want)
			is.Equal(w.Doubts(at(c.at)), nil) // each once
		})
	}
}

// A path that is broken for one node alone raises one doubt, until the member
// has been heard again.
func TestOneDoubtForABrokenPath(t *testing.T) {
	is := is.New(t)
	w := liveness.New(start)
	doubts := 0
	for ms := 0; ms < 20000; ms += 250 {
		w.Probed(at(ms), "a")
		w.Heard(at(ms+1), "b")
		doubts += len(w.Doubts(at(ms + 2)))
	}
	is.Equal(doubts, 1)
	w.Heard(at(20000), "a")
	for ms := 20000; ms < 24000; ms += 250 {
		w.Probed(at(ms), "a")
		w.Heard(at(ms+1), "b")
		doubts += len(w.Doubts(at(ms + 2)))
	}
	is.Equal(doubts, 2)
}

// A node that hears from nobody knows that it is cut off, within 2.5 s of four
// probes a second, and nobody counts as running that was not heard lately.
func TestAlone(t *testing.T) {
	is := is.New(t)
	w := liveness.New(start)
	w.Heard(at(0), "a")
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for i, m := range members {
		w.Probed(at(i*250), m)
	}
	is.True(w.Alone(at(2500)))
	is.True(w.Recent(at(2500), "a"))
	is.True(!w.Recent(at(2501), "a"))
	is.True(!w.Recent(at(100), "b"))
	for range 3 {
		w.Probed(at(2500), "b")
	}
	w.Heard(at(6000), "c")
	is.True(!w.Alone(at(6000)))
	is.Equal(w.Doubts(at(6001)), nil) // what the cut swallowed proves nothing
}

// After a pause of the own process nobody is doubted for it.
func TestStalled(t *testing.T) {
	is := is.New(t)
	w := liveness.New(start)
	for range 3 {
		w.Probed(at(0), "a")
	}
	w.Stalled(at(9000))
	w.Heard(at(9001), "b")
	is.Equal(w.Doubts(at(9010)), nil)
	is.Equal(w.Unanswered(), nil)
}

// Answers that all take two seconds, since nobody has processor time, raise no doubts
// for ever: the time for an answer follows what answers take.
func TestSlowAnswersDoubtedForEver(t *testing.T) {
	is := is.New(t)
	w := liveness.New(start)
	const slow = 2000
	doubts, late := 0, 0
	for ms := 0; ms < 30_000; ms += 50 {
		if ms%250 == 0 {
			w.Probed(at(ms), "a")
			w.Probed(at(ms), "b")
		}
		if ms >= slow && ms%250 == 0 {
			for _, id := range []string{"a", "b"} {
				w.Heard(at(ms), id)
				w.Answered(at(ms), slow*time.Millisecond)
			}
		}
		n := len(w.Doubts(at(ms)))
		doubts += n
		if ms > 10_000 {
			late += n
		}
	}
	is.Equal(late, 0)
	// A member that dies is still missed, later; others answer quickly again.
	for ms := 30_000; ms < 90_000; ms += 250 {
		w.Probed(at(ms), "a")
		w.Probed(at(ms), "b")
		w.Heard(at(ms+1), "b")
		w.Answered(at(ms+1), time.Millisecond)
		for _, id := range w.Doubts(at(ms + 2)) {
			is.Equal(id, "a")
			is.True(ms < 36_000)
			return
		}
	}
	t.Fatal("never missed")
}
