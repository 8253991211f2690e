// Package call defines the call that an entry node sends to a serving node for
// one request, and the result that comes back.
package call

import (
	"fmt"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/goccy/go-json"
)

// Headers between nodes; their values are JSON.
const (
	callHeader   = "Chestnutshed-Call"
	resultHeader = "Chestnutshed-Result"
)

// Call is one request on its way to a target.
type Call struct {
	ID      string `json:"id"`
	Route   string `json:"route"`
	Service string `json:"svc"`
	// Instance and Born identify the incarnation of the target that the call is
	// for.
	Instance string `json:"inst"`
	Born     int64  `json:"born"`
	// Organisation owns the API key of the request; empty on open routes.
	Organisation string `json:"org,omitempty"`
	// Caller is the service on the VM that the request came from.
	Caller     string         `json:"from"`
	Idempotent bool           `json:"idem,omitempty"`
	Score      priority.Score `json:"-"`
	// RootScore is the score of the root request that a target makes this call for;
	// 0 for a root request itself, or if it is unknown.
	RootScore priority.Score `json:"-"`
	// RootCertain is set if RootScore belongs to the call's own root request, and
	// not to one that is only likely.
	RootCertain bool `json:"sure,omitempty"`
	// Depth is 1 for a root request and 2 for a call that a target makes.
	Depth int `json:"depth"`
	// RemainingMS is the time until the deadline, in milliseconds.
	RemainingMS int64 `json:"left"`
	// QueueTimeoutMS is how long the call may queue for a slot, in milliseconds.
	QueueTimeoutMS int64 `json:"wait"`
	// RetryFraction is the part of the call that counts as a retry, from 0 to 1: 1
	// for a retry, and for a first attempt the fraction inherited from the request
	// that it is made for.
	RetryFraction float64 `json:"-"`
	// Retry is set on a second attempt, and RetryGranted on one that the node of the
	// previous target has counted against the retry budget already.
	Retry        bool `json:"again,omitempty"`
	RetryGranted bool `json:"paid,omitempty"`
	// SameTarget is set on a retry at the target that refused the last attempt.
	SameTarget bool `json:"same,omitempty"`
	// Last is set when no retry will follow.
	Last bool `json:"last,omitempty"`
	// Crash names the crash of the target that the previous attempt was lost in.
	Crash string `json:"crash,omitempty"`
	// TargetRate is the rate limit that the target named when it last answered the
	// sending node, in requests per second; 0 for none.
	TargetRate float64 `json:"rate,omitempty"`
	// Forced admits the call although the target seems to fail.
	Forced bool `json:"forced,omitempty"`
}

// Remaining is RemainingMS as a duration.
func (c Call) Remaining() time.Duration { return time.Duration(c.RemainingMS) * time.Millisecond }

// WithTarget returns a copy for the incarnation of a target.
func (c Call) WithTarget(instance string, born int64) Call {
	c.Instance, c.Born = instance, born
	return c
}

// AsRetry returns a copy that is a retry of the call. It is granted if the node of
// the previous target has counted it against the retry budget already.
func (c Call) AsRetry(granted bool) Call {
	c.RetryFraction, c.Retry, c.RetryGranted = 1, true, granted
	return c
}

// WithRemaining returns a copy with the time until the deadline, cut to whole
// milliseconds.
func (c Call) WithRemaining(left time.Duration) Call {
	c.RemainingMS = left.Milliseconds()
	return c
}

// QueueTimeout is QueueTimeoutMS as a duration.
func (c Call) QueueTimeout() time.Duration { return time.Duration(c.QueueTimeoutMS) * time.Millisecond }

// WithQueueTimeout returns a copy that may queue for another time, at least 0.
func (c Call) WithQueueTimeout(d time.Duration) Call {
	c.QueueTimeoutMS = max(0, d).Milliseconds()
	return c
}

// Outcome is the result of a call: Answered, Refused or Lost.
type Outcome interface{ outcome() }

// RetryGranted is set in an outcome when the node has counted one retry of the
// call against the retry budget. The retry may then go to another target.
type RetryGranted bool

// Answered is a complete response of the target.
type Answered struct {
	Response     *httpconn.Response
	RetryGranted RetryGranted
	// InnerFailed is set when a call that the target made failed during this one.
	// That call has been retried already, where a retry was allowed.
	InnerFailed bool
}

// Refused means that the call has not run and never will.
type Refused struct {
	Reason failure.Reason
	// RetryAfter is how long to wait until there may be capacity again.
	RetryAfter time.Duration
	// ByTarget is set when the target itself refused the call.
	ByTarget     bool
	RetryGranted RetryGranted
}

// Lost means that the call may have run, but gave no complete response.
type Lost struct {
	Reason       failure.Reason
	Err          error
	RetryGranted RetryGranted
	// Crash names the crash of the target if the call was lost in one.
	Crash string
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Lost) outcome()     {}

// Load is the state of the target that a serving node reports with each result.
type Load struct {
	// Load is the number of running and queued calls divided by the effective slots:
	// the slots over the pace.
	Load float64
	// Pace is the time that work takes on the target at this moment, as a multiple of the
	// usual; 0 if the target does not tell it.
	Pace float64
	// Cutoff is the highest score that is admitted.
	Cutoff priority.Cutoff
	// ServiceTime is the mean time that a call of the route takes a slot at the usual
	// pace, in seconds.
	ServiceTime float64
	// Held is how long the node had the call, in seconds. The rest of the time that the
	// sender waited is the way there and back.
	Held float64
	// TargetRate is the rate limit that the target names, in requests per second; 0 for
	// none.
	TargetRate float64
	// TargetLeft is set when the incarnation of the target that the call is for has said
	// that it leaves.
	TargetLeft bool
	// Downstream is the known cutoffs that inner calls of the route meet at other
	// services.
	Downstream []balancer.Downstream
}

// Fractions are encoded as integers, multiplied by these factors. They go with
// every call and result, and integers take a tenth of the time to encode.
const (
	scoreFactor       = 1e9
	fractionFactor    = 1e3
	serviceTimeFactor = 1e6 // seconds to microseconds
)

// encodedCall is a Call as JSON between nodes.
type encodedCall struct {
	Call
	Score         int64 `json:"score,omitempty"`
	RootScore     int64 `json:"root,omitempty"`
	RetryFraction int64 `json:"rep,omitempty"`
}

// encodedResult is an Outcome and a Load as JSON between nodes.
type encodedResult struct {
	Load        int64               `json:"load,omitempty"`
	Cutoff      int64               `json:"cut"`
	Pace        int64               `json:"pace,omitempty"`
	ServiceTime int64               `json:"hold,omitempty"`
	Held        int64               `json:"took,omitempty"`
	TargetRate  float64             `json:"rate,omitempty"`
	TargetLeft  bool                `json:"off,omitempty"`
	Downstream  []encodedDownstream `json:"below,omitempty"`
	// Kind is "whole", "refused" or "lost".
	Kind   string         `json:"kind"`
	Reason failure.Reason `json:"why,omitempty"`
	// RetryAfter is in milliseconds.
	RetryAfter   int64        `json:"after,omitempty"`
	ByTarget     bool         `json:"arrived,omitempty"`
	InnerFailed  bool         `json:"inner,omitempty"`
	RetryGranted RetryGranted `json:"spare,omitempty"`
	Detail       string       `json:"detail,omitempty"`
	Crash        string       `json:"crash,omitempty"`
}

// encodedDownstream is a balancer.Downstream as JSON between nodes.
type encodedDownstream struct {
	Service string `json:"svc"`
	Cutoff  int64  `json:"cut"`
	Calls   int64  `json:"calls,omitempty"`
}

// Put sets the call in the headers of a request.
func (c Call) Put(h http.Header) error {
	text, err := json.Marshal(encodedCall{Call: c, Score: int64(c.Score * scoreFactor), RootScore: int64(c.RootScore * scoreFactor), RetryFraction: int64(c.RetryFraction * fractionFactor)})
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	h[callHeader] = []string{string(text)}
	return nil
}

// Take decodes the call in the headers of a request and removes it from them.
func Take(h http.Header) (Call, error) {
	c, err := Peek(h)
	if err == nil {
		h.Del(callHeader)
	}
	return c, err
}

// Peek decodes the call in the headers of a request.
func Peek(h http.Header) (Call, error) {
	var t encodedCall
	if err := json.Unmarshal([]byte(h.Get(callHeader)), &t); err != nil {
		return t.Call, fmt.Errorf("decode call: %w", err)
	}
	t.Call.Score, t.Call.RootScore = priority.Score(t.Score)/scoreFactor, priority.Score(t.RootScore)/scoreFactor
	t.Call.RetryFraction = float64(t.RetryFraction) / fractionFactor
	return t.Call, nil
}

// Encode returns an outcome and the load of the target as a response to another
// node.
func Encode(o Outcome, load Load) (*httpconn.Response, error) {
	r := encodedResult{
		Load: int64(load.Load * fractionFactor), Cutoff: int64(load.Cutoff * scoreFactor), ServiceTime: int64(load.ServiceTime * serviceTimeFactor),
		Pace: int64(load.Pace * fractionFactor), Held: int64(load.Held * serviceTimeFactor), TargetRate: load.TargetRate, TargetLeft: load.TargetLeft,
	}
	for _, b := range load.Downstream {
		r.Downstream = append(r.Downstream, encodedDownstream{b.Service, int64(b.Cutoff * scoreFactor), int64(b.Calls * fractionFactor)})
	}
	resp := &httpconn.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	switch o := o.(type) {
	case Answered:
		r.Kind, r.InnerFailed, r.RetryGranted = "whole", o.InnerFailed, o.RetryGranted
		resp = &httpconn.Response{Status: o.Response.Status, Header: o.Response.Header, Body: o.Response.Body}
	case Refused:
		r.Kind, r.Reason, r.RetryAfter, r.ByTarget, r.RetryGranted = "refused", o.Reason, o.RetryAfter.Milliseconds(), o.ByTarget, o.RetryGranted
	case Lost:
		r.Kind, r.Reason, r.RetryGranted, r.Crash = "lost", o.Reason, o.RetryGranted, o.Crash
		if o.Err != nil {
			r.Detail = o.Err.Error()
		}
	}
	text, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode result: %w", err)
	}
	resp.Header[resultHeader] = []string{string(text)}
	return resp, nil
}

// Decode returns the outcome and load in a response of another node. It removes
// their header.
func Decode(resp *httpconn.Response) (Outcome, Load, error) {
	var r encodedResult
	if err := json.Unmarshal([]byte(resp.Header.Get(resultHeader)), &r); err != nil {
		return nil, Load{}, fmt.Errorf("decode result: %w", err)
	}
	resp.Header.Del(resultHeader)
	load := Load{
		Load: float64(r.Load) / fractionFactor, Cutoff: priority.Cutoff(r.Cutoff) / scoreFactor, ServiceTime: float64(r.ServiceTime) / serviceTimeFactor,
		Pace: float64(r.Pace) / fractionFactor, Held: float64(r.Held) / serviceTimeFactor, TargetRate: r.TargetRate, TargetLeft: r.TargetLeft,
	}
	for _, b := range r.Downstream {
		load.Downstream = append(load.Downstream, balancer.Downstream{
			Service: b.Service, Cutoff: priority.Cutoff(b.Cutoff) / scoreFactor, Calls: float64(b.Calls) / fractionFactor,
		})
	}
	switch r.Kind {
	case "whole":
		return Answered{Response: resp, InnerFailed: r.InnerFailed, RetryGranted: r.RetryGranted}, load, nil
	case "refused":
		return Refused{r.Reason, time.Duration(r.RetryAfter) * time.Millisecond, r.ByTarget, r.RetryGranted}, load, nil
	case "lost":
		var err error
		if r.Detail != "" {
			err = fmt.Errorf("peer: %s", r.Detail)
		}
		return Lost{r.Reason, err, r.RetryGranted, r.Crash}, load, nil
	}
	return nil, Load{}, fmt.Errorf("decode result: unknown kind %q", r.Kind)
}

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	// ID is the caller's id of the request.
	ID string
	// Timeout is how long the caller waits; 0 if it sets no limit.
	Timeout time.Duration
	// Key is the caller's API key; empty without one.
	Key string
}

// ReplyInfo is what the status and headers of a target's response say.
type ReplyInfo struct {
	// ID is the id of the answered request; empty if the response has none.
	ID string
	// NotRun is set when the target says that it did not run the request.
	NotRun bool
	// WrongTarget is set when another target uses the address now.
	WrongTarget bool
	// Leaving is set when the target says that it leaves.
	Leaving bool
	Limit   Limit
	Pace    Pace
}

// HealthInfo is what the answer to a health check says of its target.
type HealthInfo struct {
	// ID is that of the target, or "" unless it is healthy and does not leave.
	ID string
	// Cold is how much longer the target stays cold.
	Cold Coldness
}

// Coldness is what an answer says about how long its target stays cold: NoColdness,
// ColdFor or InvalidColdness.
type Coldness interface{ coldness() }

// NoColdness means that the answer does not say.
type NoColdness struct{}

// ColdFor is the rest of the time that the target stays cold, 0 if it is warm.
type ColdFor struct{ Left time.Duration }

// InvalidColdness is a time that can't be read.
type InvalidColdness struct{ Text string }

func (NoColdness) coldness()      {}
func (ColdFor) coldness()         {}
func (InvalidColdness) coldness() {}

// Limit is what a response says about the rate of requests that its target takes from
// all VMs together: NoLimit, NamedLimit or InvalidLimit.
type Limit interface{ limit() }

// NoLimit means that the target names no limit.
type NoLimit struct{}

// NamedLimit is a limit in requests per second, at least 0.
type NamedLimit struct{ PerSecond float64 }

// InvalidLimit is a limit that can't be read.
type InvalidLimit struct{ Text string }

func (NoLimit) limit()      {}
func (NamedLimit) limit()   {}
func (InvalidLimit) limit() {}

// Pace is what a response says about how long work takes on its target at this moment:
// NoPace, NamedPace or InvalidPace.
type Pace interface{ pace() }

// NoPace means that the target tells no pace.
type NoPace struct{}

// NamedPace is the time that work takes, as a multiple of the usual; above 0.
type NamedPace struct{ Factor float64 }

// InvalidPace is a pace that can't be read.
type InvalidPace struct{ Text string }

func (NoPace) pace()      {}
func (NamedPace) pace()   {}
func (InvalidPace) pace() {}

// Dialect converts the headers that callers and targets of a platform use.
type Dialect interface {
	// ParseRequest decodes the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// Outgoing changes the headers of a caller's request to those for the target.
	Outgoing(h http.Header, c Call)
	// ParseReply decodes the status and headers of a target's response.
	ParseReply(status int, h http.Header) ReplyInfo
	// ParseHealth decodes the status and headers of the answer to a health check.
	ParseHealth(status int, h http.Header) HealthInfo
	// Refusal returns the response to a request that the node itself refuses. id may
	// be empty, and after is when a retry makes sense.
	Refusal(id string, status int, after time.Duration, reason failure.Reason) *httpconn.Response
}

// Describe returns a short description of an outcome, for logs.
func Describe(o Outcome) string {
	switch o := o.(type) {
	case Answered:
		return fmt.Sprintf("answered %d", o.Response.Status)
	case Refused:
		return fmt.Sprintf("refused (%s), not run", o.Reason)
	case Lost:
		if o.Err != nil {
			return fmt.Sprintf("lost (%s): %v", o.Reason, o.Err)
		}
		return fmt.Sprintf("lost (%s)", o.Reason)
	}
	return "none"
}
