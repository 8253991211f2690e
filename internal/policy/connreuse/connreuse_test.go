package connreuse_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/connreuse"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func ExampleDecide() {
	idle := connreuse.Connection{Idle: 2 * time.Second}
	read := connreuse.Limits{Request: connreuse.MaxIdleTime(true)}
	write := connreuse.Limits{Request: connreuse.MaxIdleTime(false)}
	fmt.Printf("%T\n", connreuse.Decide(idle, read))
	fmt.Printf("%T\n", connreuse.Decide(idle, write))
	// Output:
	// connreuse.Use
	// connreuse.Leave
}

// A request that can't be repeated never takes a connection that was idle for longer than
// its limit, or than the limit found for the server, and leaves it to others in the first
// case only.
func TestUnrepeatableAvoidsOldConnections(t *testing.T) {
	is := is.New(t)
	write := connreuse.Limits{Request: connreuse.MaxIdleTime(false)}
	stale := connreuse.Limits{Request: connreuse.MaxIdleTime(false), Server: 150 * time.Millisecond}
	for idle := time.Duration(0); idle < 10*time.Second; idle += 50 * time.Millisecond {
		c := connreuse.Connection{Idle: idle}
		is.Equal(connreuse.Decide(c, write) == connreuse.Verdict(connreuse.Use{}), idle < 700*time.Millisecond)
		is.Equal(connreuse.Decide(c, stale) == connreuse.Verdict(connreuse.Use{}), idle < 150*time.Millisecond)
	}
	is.Equal(connreuse.Decide(connreuse.Connection{Idle: time.Second}, write), connreuse.Leave{Reason: connreuse.Idle})
	is.Equal(connreuse.Decide(connreuse.Connection{Idle: time.Second}, stale), connreuse.Close{Reason: connreuse.Stale})
}

// A connection that carried a refused attempt serves other requests.
func TestRefusedAttempt(t *testing.T) {
	is := is.New(t)
	is.Equal(connreuse.Decide(connreuse.Connection{Refused: true}, connreuse.Limits{}), connreuse.Leave{Reason: connreuse.Separate})
	is.Equal(connreuse.Decide(connreuse.Connection{Refused: true, Expired: true}, connreuse.Limits{}), connreuse.Close{Reason: connreuse.Expired})
}

// A target with many slots that are all in use keeps all its connections when they end
// together.
func TestKeepsConnectionsOfAllSlots(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{0, 16, 142, 303, 1000} {
		is.True(connreuse.MaxIdle(slots) >= slots)
	}
}

// Calls whose parent has failed go on while they are about to end. One that has just begun
// to use a slot, or of which nothing is known, is broken off at once. None goes on for as
// long as work for callers that have left may last.
func TestFinishTime(t *testing.T) {
	is := is.New(t)
	is.True(connreuse.FinishTime(120*time.Millisecond, 100*time.Millisecond) > 0)
	is.True(connreuse.FinishTime(100*time.Millisecond, 300*time.Millisecond) > 0)
	is.Equal(connreuse.FinishTime(time.Second, 10*time.Millisecond), time.Duration(0))
	is.Equal(connreuse.FinishTime(0, 10*time.Millisecond), time.Duration(0))
	is.True(connreuse.FinishTime(time.Millisecond, time.Hour) <= 250*time.Millisecond)
}

// Each new connection has one reason, and a loss is the reason of one.
func TestLedger(t *testing.T) {
	is := is.New(t)
	var l connreuse.Ledger
	is.Equal(l.Opened(start, ""), connreuse.Growth)
	l.Lost(start, connreuse.Cancelled)
	l.Lost(start, connreuse.Broken)
	is.Equal(l.Opened(start, connreuse.Idle), connreuse.Idle)
	is.Equal(l.Opened(start, ""), connreuse.Cancelled)
	is.Equal(l.Opened(start.Add(time.Minute), ""), connreuse.Growth) // the loss is long past
	is.Equal(l.Counts(), map[connreuse.Reason]uint64{connreuse.Growth: 2, connreuse.Idle: 1, connreuse.Cancelled: 1})
}
