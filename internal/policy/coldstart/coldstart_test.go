package coldstart_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

var bound = coldstart.Bound{Time: 3 * time.Second, PerSecond: 14, Overage: 1.5, Slack: 8}

// atMost is what a cold target may get in any second.
const atMost = 14*1.5 + 8

func newLimiter() *coldstart.Limiter {
	l := coldstart.New()
	l.SetBound(bound)
	return l
}

// sendAll sends as many requests as the limiter allows between two moments, perTick in each
// millisecond at most, and returns their times.
func sendAll(l *coldstart.Limiter, from, to time.Time, perTick int) []time.Time {
	var sent []time.Time
	for now := from; now.Before(to); now = now.Add(time.Millisecond) {
		for range perTick {
			if l.Allows(now) {
				l.RecordSent(now)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// most returns the most of the times in any second.
func most(sent []time.Time) int {
	n := 0
	for i, first := range sent {
		j := i
		for j < len(sent) && sent[j].Sub(first) < time.Second {
			j++
		}
		n = max(n, j-i)
	}
	return n
}

func Example() {
	l := coldstart.New()
	l.SetBound(coldstart.Bound{Time: 3 * time.Second, PerSecond: 2, Overage: 1})
	l.SetWarmth(coldstart.Warmth{}.WithStart(start, 3*time.Second))
	l.RecordSent(start)
	fmt.Println(l.Allows(start), l.Allows(start.Add(500*time.Millisecond)))
	// Output: false true
}

// Many senders at once: a cold target gets a part of them, at least its rate, and no
// second has more than it tolerates.
func TestColdTargetUnderABurst(t *testing.T) {
	is := is.New(t)
	l := newLimiter()
	l.SetWarmth(coldstart.Warmth{}.WithStart(start, 3*time.Second))
	sent := sendAll(l, start, start.Add(3*time.Second), 50)
	is.True(most(sent) <= atMost-4) // half of the slack is left
	is.True(len(sent) >= 14*3)
}

// A warm target with much work becomes cold: what it got before counts.
func TestTargetBecomesColdUnderLoad(t *testing.T) {
	is := is.New(t)
	l := newLimiter()
	sendAll(l, start, start.Add(time.Second), 1)
	cold := start.Add(time.Second)
	l.SetWarmth(coldstart.Warmth{}.WithAnnouncement(cold, 3*time.Second))
	is.Equal(len(sendAll(l, cold, cold.Add(900*time.Millisecond), 50)), 0)
	is.True(most(sendAll(l, cold.Add(900*time.Millisecond), cold.Add(3*time.Second), 50)) <= atMost-4)
}

// The node restarts beside a cold target at any moment.
func TestNodeRestartsBesideColdTarget(t *testing.T) {
	is := is.New(t)
	for at := time.Duration(0); at < 2*time.Second; at += 50 * time.Millisecond {
		restarted := start.Add(at)
		first, second := newLimiter(), newLimiter()
		first.SetWarmth(coldstart.Warmth{}.WithStart(start, 3*time.Second))
		sent := sendAll(first, start, restarted, 50)
		second.SetWarmth(coldstart.Warmth{}.WithStart(restarted, 3*time.Second-at))
		sent = append(sent, sendAll(second, restarted, start.Add(3*time.Second), 50)...)
		is.True(most(sent) <= atMost)
	}
}

// After the cold time the rate rises step by step, and the bound is gone within seconds.
func TestRampAfterTheColdTime(t *testing.T) {
	is := is.New(t)
	l := newLimiter()
	l.SetWarmth(coldstart.Warmth{}.WithStart(start, time.Second))
	warm := start.Add(1300 * time.Millisecond)
	is.True(l.Rate(warm) < 2*14*1.5)
	is.True(l.Rate(warm.Add(500*time.Millisecond)) > 4*14)
	is.True(math.IsInf(l.Rate(warm.Add(2*time.Second)), 1))
	is.True(!l.Active(warm.Add(2 * time.Second)))
}

// A target went down and came back: an announcement that was late says that it is warm.
func TestLateAnnouncementDoesNotEndADoubt(t *testing.T) {
	is := is.New(t)
	l := newLimiter()
	l.SetWarmth(l.Warmth().WithDoubt(start, bound.Time))
	l.SetWarmth(l.Warmth().WithAnnouncement(start.Add(100*time.Millisecond), 0))
	is.Equal(l.Rate(start.Add(200*time.Millisecond)), 21.0)
	is.Equal(l.Rate(start.Add(bound.Time)), 21.0)
	l.SetWarmth(l.Warmth().WithAnnouncement(start.Add(2*bound.Time), 0))
	is.True(!l.Active(start.Add(2 * bound.Time)))
}

// A target of a zone that is taken back answers that it is warm: it gets its work at once.
func TestWarmAnswerEndsADoubt(t *testing.T) {
	is := is.New(t)
	l := newLimiter()
	l.SetWarmth(l.Warmth().WithDoubt(start, bound.Time))
	is.True(l.Warmth().DoubtedAfter(start.Add(-time.Millisecond)))
	l.SetWarmth(l.Warmth().WithAnswer(start.Add(10*time.Millisecond), 0))
	is.True(!l.Active(start.Add(10 * time.Millisecond)))
}

// Requests to a cold target are spread over the second: what arrives in its second half is
// served as well.
func TestColdTargetIsPaced(t *testing.T) {
	is := is.New(t)
	l := newLimiter()
	l.SetWarmth(coldstart.Warmth{}.WithStart(start, 3*time.Second))
	sendAll(l, start, start.Add(500*time.Millisecond), 50)
	n := len(sendAll(l, start.Add(500*time.Millisecond), start.Add(time.Second), 50))
	is.True(n >= 14/2)
}

// Services that name no rate are not bounded.
func TestNoBound(t *testing.T) {
	is := is.New(t)
	l := coldstart.New()
	l.SetWarmth(coldstart.Warmth{}.WithStart(start, time.Minute))
	is.Equal(len(sendAll(l, start, start.Add(time.Second), 10)), 10000)
	is.Equal(l.Load(start, 5), 0.0)
}

// A new version of the configuration lowers the rate while the target is cold.
func TestBoundIsLowered(t *testing.T) {
	is := is.New(t)
	l := newLimiter()
	l.SetWarmth(coldstart.Warmth{}.WithStart(start, 3*time.Second))
	sendAll(l, start, start.Add(100*time.Millisecond), 1)
	lower := bound
	lower.PerSecond = 4
	l.SetBound(lower)
	sent := sendAll(l, start.Add(100*time.Millisecond), start.Add(3*time.Second), 1)
	is.True(most(sent) <= 4*1.5+8/2)
	is.True(len(sent) >= 4*2)
}
