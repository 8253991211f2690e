package call_test

import (
	"net/http"
	"testing"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
)

// near reports whether two fractions are equal up to the rounding of their
// encoding.
func near(a, b, parts float64) bool { return a-b < 2/parts && b-a < 2/parts }

func TestCallRoundTrip(t *testing.T) {
	is := is.New(t)
	c := call.Call{
		ID: "r", Route: "a", Service: "s", Instance: "i", Born: 7, Organisation: "o", Caller: "b", Idempotent: true,
		Score: 2.009912345, Depth: 2, RemainingMS: 900, QueueTimeoutMS: 120, RetryFraction: 0.25, Retry: true, RetryGranted: true, Last: true, Forced: true,
	}
	h := http.Header{"Other": {"x"}}
	is.NoErr(c.Put(h))
	back, err := call.Take(h)
	is.NoErr(err)
	is.True(near(float64(back.Score), float64(c.Score), 1e9))
	back.Score = c.Score
	is.Equal(back, c)
	is.Equal(h, http.Header{"Other": {"x"}})
}

func TestOutcomeRoundTrip(t *testing.T) {
	is := is.New(t)
	load := call.Load{Load: 0.913, Cutoff: priority.AdmitAll, ServiceTime: 0.055125}
	for _, o := range []call.Outcome{
		call.Answered{Response: &httpconn.Response{Status: 500, Header: http.Header{}}, InnerFailed: true, RetryGranted: true},
		call.Refused{Reason: failure.Overload, RetryAfter: 3e8, ByTarget: true, RetryGranted: true},
		call.Lost{Reason: failure.Lost, RetryGranted: true},
	} {
		resp, err := call.Encode(o, load)
		is.NoErr(err)
		back, seen, err := call.Decode(resp)
		is.NoErr(err)
		is.Equal(call.Describe(back), call.Describe(o))
		is.Equal(seen.Cutoff, priority.AdmitAll) // AdmitAll must not be rounded down
		is.True(near(seen.Load, load.Load, 1e3) && near(seen.ServiceTime, load.ServiceTime, 1e6))
		if answered, ok := o.(call.Answered); ok {
			is.Equal(back.(call.Answered).RetryGranted, answered.RetryGranted)
			is.Equal(back.(call.Answered).InnerFailed, answered.InnerFailed)
		} else {
			is.Equal(back, o)
		}
	}
	_, _, err := call.Decode(&httpconn.Response{Header: http.Header{}})
	is.True(err != nil)
}
