package lifecycle_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"pgregory.net/rapid"
)

// vm is a model of a VM: its target, the node's process, the store and the messages under
// way. Messages arrive in any order, any number of seconds late, or never.
type vm struct {
	now time.Time
	// target is the state in the node's process.
	target lifecycle.Target
	// kept are the leaves in the store.
	kept []lifecycle.Leave
	// storeAway is set while the store can't be reached.
	storeAway bool
	// id, born and sequence describe the incarnation that runs; left is set once it has
	// sent its leave or has said in an answer that it leaves.
	id       string
	born     int64
	sequence int64
	left     bool
	// underWay are messages that the target sent.
	underWay []message
	// confirmed is the announced incarnation that a health check has confirmed.
	confirmed incarnation
	// acknowledged are the incarnations whose leave the node acknowledged.
	acknowledged map[incarnation]bool
	incarnations int
	// startless is set if leaves do not name the start of their incarnation. Messages are
	// then at most maxLate late, and each incarnation has an ID of its own: a late leave
	// could be either's otherwise. With a start, messages may be late by any time.
	startless bool
}

// maxLate is how late messages of targets are at most whose leaves name no start.
const maxLate = 25 * time.Second

type incarnation struct {
	id   string
	born int64
}

// message is an announcement, or the leave of an incarnation.
type message struct {
	announcement lifecycle.Announcement
	leave        lifecycle.Leave
	of           incarnation
	sentAt       time.Time
}

func (v *vm) wall() int64 { return v.now.UnixMilli() }

func (v *vm) incarnate(reuseID bool) {
	v.incarnations++
	if !reuseID || v.id == "" {
		v.id = fmt.Sprintf("i-%d", v.incarnations)
	}
	v.born, v.sequence, v.left = v.wall(), 0, false
}

func (v *vm) announce(leaving bool) {
	v.sequence++
	v.left = v.left || leaving
	v.underWay = append(v.underWay, message{
		announcement: lifecycle.Announcement{ID: v.id, Born: v.born, Service: "s", Slots: 4, Sequence: v.sequence, Leaving: leaving},
		of:           incarnation{v.id, v.born}, sentAt: v.now,
	})
}

func (v *vm) leave() {
	v.left = true
	l := lifecycle.Leave{ID: v.id}
	if !v.startless {
		l.Born = v.born
	}
	v.underWay = append(v.underWay, message{leave: l, of: incarnation{v.id, v.born}, sentAt: v.now})
}

// deliver delivers a message. The node acknowledges a leave once it is in the store.
func (v *vm) deliver(m message) {
	if m.leave.ID == "" {
		v.target, _ = v.target.WithAnnouncement(v.now, m.announcement)
		if m.announcement.Leaving && !v.storeAway {
			v.kept = append(v.kept, lifecycle.Leave{ID: m.of.id, Born: m.of.born})
			v.acknowledged[m.of] = true
		}
		return
	}
	l := m.leave
	l.ReceivedAt = v.now
	v.target, _ = v.target.WithLeave(v.now, l)
	if !v.storeAway {
		v.kept = append(v.kept, l)
		v.acknowledged[m.of] = true
	}
}

// An acknowledged leave holds for its incarnation for good, in any order of heartbeats,
// leaves, delays, restarts and failures of the store. A target that has not left is ready
// once its heartbeat is delivered and history is known.
func TestLeaveIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &vm{now: time.UnixMilli(1_000_000), target: lifecycle.AwaitingHistory(), acknowledged: map[incarnation]bool{}}
		v.startless = rapid.Bool().Draw(t, "leaves without a start")
		v.incarnate(false)
		actions := map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				v.now = v.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": func(*rapid.T) {
				if !v.left {
					v.announce(false)
				}
			},
			"drain":      func(*rapid.T) { v.announce(true) },
			"deregister": func(*rapid.T) { v.leave() },
			"leave in answer": func(*rapid.T) {
				if !v.target.Is(v.id, v.born) || v.target.State != lifecycle.Ready {
					return
				}
				v.left = true
				v.target, _ = v.target.WithLeaving(v.now, v.id, v.born)
				if !v.storeAway {
					v.kept = append(v.kept, lifecycle.Leave{ID: v.id, Born: v.born})
					v.acknowledged[incarnation{v.id, v.born}] = true
				}
			},
			"next incarnation": func(t *rapid.T) {
				v.now = v.now.Add(time.Second)
				v.incarnate(!v.startless && rapid.Bool().Draw(t, "same ID"))
			},
			"deliver": func(t *rapid.T) {
				if len(v.underWay) == 0 {
					return
				}
				m := rapid.SampledFrom(v.underWay).Draw(t, "message") // may come again
				if !v.startless || v.now.Sub(m.sentAt) <= maxLate {
					v.deliver(m)
				}
			},
			"kill node": func(*rapid.T) { v.target, v.confirmed = lifecycle.AwaitingHistory(), incarnation{} },
			"store goes or comes": func(*rapid.T) {
				v.storeAway = !v.storeAway
			},
			"history": func(*rapid.T) {
				if !v.storeAway {
					v.target, _ = v.target.WithHistory(v.now, v.kept)
				}
			},
			"health check": func(*rapid.T) {
				if v.left {
					return
				}
				var changed bool
				if v.target, changed = v.target.WithConfirmation(v.now, v.id); changed {
					v.confirmed = incarnation{v.target.Last.ID, v.target.Last.Born}
				}
			},
			"in order": func(t *rapid.T) {
				if v.left || v.storeAway {
					return
				}
				v.target, _ = v.target.WithHistory(v.now, v.kept)
				v.announce(false)
				v.deliver(v.underWay[len(v.underWay)-1])
				if v.target.State != lifecycle.Ready || !v.target.Is(v.id, v.born) {
					t.Fatalf("%s (%d) has not left and is %s", v.id, v.born, v.target.State)
				}
			},
			"": func(t *rapid.T) {
				of := incarnation{v.target.Last.ID, v.target.Last.Born}
				if v.target.State != lifecycle.Ready {
					return
				}
				// A health check names no start: if a later incarnation has the same ID, it
				// has answered, and gets the requests.
				if v.acknowledged[of] && v.confirmed != of {
					t.Fatalf("the leave of %s (%d) was acknowledged, and it is ready", of.id, of.born)
				}
				if of.id == v.id && v.acknowledged[incarnation{v.id, v.born}] {
					t.Fatalf("the leave of %s (%d) was acknowledged, and requests to %s are sent", v.id, v.born, of.id)
				}
			},
		}
		t.Repeat(actions)
	})
}
