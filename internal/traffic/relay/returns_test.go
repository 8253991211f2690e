package relay

import (
	"net/http"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/intake"
	"chestnutshed.example/chestnutshed/internal/policy/returns"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

func ordered(at time.Time, left time.Duration) *request {
	return &request{
		start: at, info: call.RequestInfo{Timeout: left}, org: &rules.Organisation{Name: "o"},
		route: &rules.Route{Name: "r", Objective: 2 * time.Second}, call: call.Call{Service: "s"},
	}
}

func overloaded(after time.Duration) *errorResponse {
	return &errorResponse{http.StatusServiceUnavailable, failure.Overload, after}
}

// A service that lets some requests through is short. A refused caller gets a place, and its
// return is recognised once.
func TestReturnWithPlace(t *testing.T) {
	is := is.New(t)
	s := New("z", Settings{}, Deps{Metrics: metrics.NewSet()})
	for range 20 {
		ran := ordered(start, 5*time.Second)
		ran.attempts = 1
		is.Equal(s.sendBack(start, ran, nil), (*errorResponse)(nil))
	}
	const left = 5 * time.Second
	e := s.sendBack(start, ordered(start, left), overloaded(0))
	is.True(e.after > 0 && e.after < time.Second)
	for _, turn := range []returns.Turn{returns.WithPlace, returns.First} {
		back := ordered(start.Add(e.after), left-e.after)
		s.claimReturn(back.start, back)
		is.Equal(back.turn, turn)
	}
}

// A service lets nothing through. No caller gets a place; those that come back before the
// shortage ends do so spread over the time that they can wait.
func TestReturnWithoutPlace(t *testing.T) {
	is := is.New(t)
	s := New("z", Settings{}, Deps{Metrics: metrics.NewSet()})
	earliest, latest := time.Minute, time.Duration(0)
	for range 50 {
		e := s.sendBack(start, ordered(start, 5*time.Second), overloaded(0))
		earliest, latest = min(earliest, e.after), max(latest, e.after)
	}
	is.True(earliest >= time.Second)
	is.True(latest > earliest+300*time.Millisecond)
}

// A target asks for a longer wait than that of the place, which is then given up.
func TestReturnNotBeforeTargetSays(t *testing.T) {
	is := is.New(t)
	s := New("z", Settings{}, Deps{Metrics: metrics.NewSet()})
	ran := ordered(start, 5*time.Second)
	ran.attempts = 1
	s.sendBack(start, ran, nil)
	e := s.sendBack(start, ordered(start, 5*time.Second), overloaded(3*time.Second))
	is.Equal(e.after, 3*time.Second)
}

// A caller whose body was not read comes back when there is room, with a place if bodies get
// through. One whose body never fits is told so.
func TestBodyRefused(t *testing.T) {
	is := is.New(t)
	s := New("z", Settings{}, Deps{Metrics: metrics.NewSet()})
	unread := func(at time.Time, left time.Duration, n httpconn.NoRoom) *request {
		q := ordered(at, left)
		q.in = &httpconn.Request{NoRoom: &n}
		return q
	}
	passed := ordered(start, 5*time.Second)
	passed.in = &httpconn.Request{Body: make([]byte, intake.Small+1)}
	s.passBody(start, passed)
	const left, after = 5 * time.Second, 400 * time.Millisecond
	e := s.refuseBody(start, unread(start, left, httpconn.NoRoom{After: after}))
	is.Equal(*e, errorResponse{http.StatusServiceUnavailable, failure.Backlog, after})
	back := unread(start.Add(after), left-after, httpconn.NoRoom{})
	s.refuseBody(back.start, back)
	is.Equal(back.turn, returns.WithPlace)
	e = s.refuseBody(start, unread(start, left, httpconn.NoRoom{Never: true}))
	is.Equal(*e, errorResponse{http.StatusRequestEntityTooLarge, failure.TooLarge, 0})
}
