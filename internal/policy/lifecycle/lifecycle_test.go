package lifecycle_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func announcement(id string, born, sequence int64, leaving bool) lifecycle.Announcement {
	return lifecycle.Announcement{ID: id, Born: born, Service: "s", Slots: 4, Sequence: sequence, Leaving: leaving}
}

func TestWithAnnouncement(t *testing.T) {
	ready := lifecycle.Target{}
	ready, _ = ready.WithAnnouncement(start, announcement("a", 10, 5, false))
	leaving, _ := ready.WithAnnouncement(start, announcement("a", 10, 6, true))
	gone, _ := ready.WithLeave(start, lifecycle.Leave{ID: "a", Born: 10})
	for _, test := range []struct {
		name string
		from lifecycle.Target
		a    lifecycle.Announcement
		want lifecycle.State
		id   string
		born int64
	}{
		{"first", lifecycle.Target{}, announcement("a", 10, 1, false), lifecycle.Ready, "a", 10},
		{"starts leaving", ready, announcement("a", 10, 6, true), lifecycle.Leaving, "a", 10},
		{"late announcement of the same incarnation", leaving, announcement("a", 10, 4, false), lifecycle.Leaving, "a", 10},
		{"ready after leaving", leaving, announcement("a", 10, 7, false), lifecycle.Leaving, "a", 10},
		{"announcement after the leave", gone, announcement("a", 10, 9, false), lifecycle.Gone, "a", 10},
		{"older incarnation", ready, announcement("b", 9, 50, false), lifecycle.Ready, "a", 10},
		{"newer incarnation", gone, announcement("b", 11, 1, false), lifecycle.Ready, "b", 11},
		{"new incarnation with the same ID", leaving, announcement("a", 12, 1, false), lifecycle.Ready, "a", 12},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, _ := test.from.WithAnnouncement(start.Add(time.Second), test.a)
			is.Equal(got.State, test.want)
			is.True(got.Is(test.id, test.born))
		})
	}
}

func TestWithLeave(t *testing.T) {
	ready, _ := lifecycle.Target{}.WithAnnouncement(start, announcement("a", 10, 5, false))
	for _, test := range []struct {
		name string
		from lifecycle.Target
		id   string
		born int64
		want lifecycle.State
	}{
		{"same incarnation", ready, "a", 10, lifecycle.Gone},
		{"without a start time", ready, "a", 0, lifecycle.Gone},
		{"of an older incarnation", ready, "a", 9, lifecycle.Ready},
		{"of another target", ready, "b", 10, lifecycle.Ready},
		{"before any announcement", lifecycle.Target{}, "a", 10, lifecycle.Gone},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, _ := test.from.WithLeave(start, lifecycle.Leave{ID: test.id, Born: test.born})
			is.Equal(got.State, test.want)
		})
	}
	t.Run("announcement after a leave that arrived first", func(t *testing.T) {
		is := is.New(t)
		left, _ := lifecycle.Target{}.WithLeave(start, lifecycle.Leave{ID: "a", Born: 10})
		got, _ := left.WithAnnouncement(start, announcement("a", 10, 3, false))
		is.Equal(got.State, lifecycle.Gone)
		is.Equal(got.Slots(), 0)
	})
}

func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(announcement("a", 10, 1, false).Validate())
	for _, bad := range []lifecycle.Announcement{
		{Born: 1, Service: "s"},
		{ID: "a", Service: "s"},
		{ID: "a", Born: 1},
		{ID: "a", Born: 1, Service: "s", Slots: -1},
	} {
		is.True(bad.Validate() != nil)
	}
}

// A node that has just started gets a leave without a start time, from a target
// that it does not know yet. A late heartbeat from before the leave must not make
// that target ready again. A new incarnation with the same ID must get work at
// once.
func TestLateHeartbeatAfterLeaveWithoutStart(t *testing.T) {
	receivedAt := time.UnixMilli(5000)
	left, _ := lifecycle.Target{}.WithLeave(start, lifecycle.Leave{ID: "a", ReceivedAt: receivedAt})
	for _, test := range []struct {
		name  string
		after time.Duration
		a     lifecycle.Announcement
		want  lifecycle.State
	}{
		{"late heartbeat", 2 * time.Second, announcement("a", 4000, 27, false), lifecycle.Gone},
		{"new incarnation with the same ID", 2 * time.Second, announcement("a", 6000, 1, false), lifecycle.Ready},
		{"another target", 2 * time.Second, announcement("b", 4000, 1, false), lifecycle.Ready},
		{"clock set back before the new incarnation started", time.Minute, announcement("a", 4000, 1, false), lifecycle.Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, _ := left.WithAnnouncement(start.Add(test.after), test.a)
			is.Equal(got.State, test.want)
			again, _ := got.WithAnnouncement(start.Add(test.after+time.Hour), announcement(test.a.ID, test.a.Born, test.a.Sequence+1, false))
			is.Equal(again.State, test.want) // a later heartbeat changes nothing
		})
	}
}

// A target says in an answer that it leaves. Neither its later heartbeats nor an answer
// of an earlier incarnation change that.
func TestLeavingInAnswer(t *testing.T) {
	is := is.New(t)
	a := lifecycle.Announcement{ID: "i", Born: 1000, Service: "s", Slots: 4, Sequence: 1}
	target, _ := lifecycle.Target{}.WithAnnouncement(start, a)
	_, changed := target.WithLeaving(start, "i", 900)
	is.True(!changed)
	target, changed = target.WithLeaving(start, "i", 1000)
	is.True(changed && target.State == lifecycle.Leaving && target.Slots() == 0)
	a.Sequence = 2
	target, changed = target.WithAnnouncement(start, a)
	is.True(!changed && target.State == lifecycle.Leaving)
	a.Born, a.Sequence = 2000, 1
	target, changed = target.WithAnnouncement(start, a)
	is.True(changed && target.State == lifecycle.Ready)
}
