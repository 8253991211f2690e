// Package call defines what an entry node tells a serving node about one
// request, and what it hears back.
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
	header       = "Chestnutshed-Call"
	resultHeader = "Chestnutshed-Result"
)

// Call is one request on its way to a target.
type Call struct {
	ID      string `json:"id"`
	Route   string `json:"route"`
	Service string `json:"svc"`
	// Instance and Born name the incarnation of the target that is meant.
	Instance string `json:"inst"`
	Born     int64  `json:"born"`
	// Organisation is the holder of the key; empty on open routes.
	Organisation string `json:"org,omitempty"`
	// Caller is the service of the VM where the request began.
	Caller     string         `json:"from"`
	Idempotent bool           `json:"idem,omitempty"`
	Score      priority.Score `json:"-"`
	// RootScore is the score of the caller's request that a call of a target is made
	// for; zero for a caller's request, or if it isn't known.
	RootScore priority.Score `json:"-"`
	// RootCertain is set if Root is the score of the call's own root, and not only that of
	// one that is likely.
	RootCertain bool `json:"sure,omitempty"`
	// Depth is 1 for a caller's request and 2 for a call of a target.
	Depth int `json:"depth"`
	// RemainingMS is how long an answer is still of use, in milliseconds.
	RemainingMS int64 `json:"left"`
	// QueueTimeoutMS is how long the call may wait for a slot, in milliseconds.
	QueueTimeoutMS int64 `json:"wait"`
	// RetryFraction is the part of the call that is a repeat: 1 for a second send, and
	// for a first one what its caller inherited.
	RetryFraction float64 `json:"-"`
	// Retry is set on a second send, and Paid on one that the node of the target
	// before has counted.
	Retry        bool `json:"again,omitempty"`
	RetryGranted bool `json:"paid,omitempty"`
	// Last is set when no further send will follow.
	Last bool `json:"last,omitempty"`
	// Forced lets the call through to a target that seems to fail.
	Forced bool `json:"forced,omitempty"`
}

// Remaining is Left as a duration.
func (c Call) Remaining() time.Duration { return time.Duration(c.RemainingMS) * time.Millisecond }

// WithTarget returns a copy that is meant for a target.
func (c Call) WithTarget(instance string, born int64) Call {
	c.Instance, c.Born = instance, born
	return c
}

// AsRetry returns a copy that is a second send of the call, counted by the
// node of the target before if it is paid.
func (c Call) AsRetry(paid bool) Call {
	c.RetryFraction, c.Retry, c.RetryGranted = 1, true, paid
	return c
}

// WithRemaining returns a copy with the time that is left now.
func (c Call) WithRemaining(left time.Duration) Call {
	c.RemainingMS = left.Milliseconds()
	return c
}

// Outcome is what came of a call: Answered, Refused or Lost.
type Outcome interface{ outcome() }

// RetryGranted is set in an outcome when the node has counted one more send of the
// call, which may then go to another target.
type RetryGranted bool

// Answered is a target's whole answer.
type Answered struct {
	Response     *httpconn.Response
	RetryGranted RetryGranted
	// InnerFailed is set when a call that the target made failed meanwhile: that was
	// sent again already, where it may be.
	InnerFailed bool
}

// Refused means that the call did not run and never will.
type Refused struct {
	Reason failure.Reason
	// RetryAfter is when there may be room.
	RetryAfter time.Duration
	// ByTarget is set when the target itself turned the call away.
	ByTarget     bool
	RetryGranted RetryGranted
}

// Lost means that the call may have run, without a whole answer.
type Lost struct {
	Reason       failure.Reason
	Err          error
	RetryGranted RetryGranted
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Lost) outcome()     {}

// Load is what a serving node says of its target.
type Load struct {
	// Load is running plus waiting calls over the slots.
	Load float64
	// Cutoff is the score up to which calls are admitted.
	Cutoff priority.Cutoff
	// ServiceTime is the mean time that calls of the route hold a slot, in seconds.
	ServiceTime float64
	// Downstream is what calls of the route meet at services further down, as far as it
	// is known.
	Downstream []balancer.Downstream
}

// Fractions travel as whole numbers of these parts: they are written with every
// call and every result, and whole numbers cost a tenth.
const (
	scoreParts = 1e9
	loadParts  = 1e3
	holdParts  = 1e6 // microseconds
)

// sent is a call between nodes.
type sent struct {
	Call
	Score  int64 `json:"score,omitempty"`
	Root   int64 `json:"root,omitempty"`
	Repeat int64 `json:"rep,omitempty"`
}

// result is an outcome between nodes.
type result struct {
	Load  int64   `json:"load,omitempty"`
	Cut   int64   `json:"cut"`
	Hold  int64   `json:"hold,omitempty"`
	Below []below `json:"below,omitempty"`
	// Kind is "whole", "refused" or "lost".
	Kind    string         `json:"kind"`
	Reason  failure.Reason `json:"why,omitempty"`
	After   int64          `json:"after,omitempty"`
	Arrived bool           `json:"arrived,omitempty"`
	Inner   bool           `json:"inner,omitempty"`
	Spare   RetryGranted   `json:"spare,omitempty"`
	Detail  string         `json:"detail,omitempty"`
}

// below is a balancer.Downstream between nodes.
type below struct {
	Service string `json:"svc"`
	Cut     int64  `json:"cut"`
}

// Put writes the call into a request's headers.
func (c Call) Put(h http.Header) error {
	text, err := json.Marshal(sent{Call: c, Score: int64(c.Score * scoreParts), Root: int64(c.RootScore * scoreParts), Repeat: int64(c.RetryFraction * loadParts)})
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	h[header] = []string{string(text)}
	return nil
}

// Take reads the call from a request's headers and removes it there.
func Take(h http.Header) (Call, error) {
	var t sent
	if err := json.Unmarshal([]byte(h.Get(header)), &t); err != nil {
		return t.Call, fmt.Errorf("decode call: %w", err)
	}
	h.Del(header)
	t.Call.Score, t.Call.RootScore = priority.Score(t.Score)/scoreParts, priority.Score(t.Root)/scoreParts
	t.Call.RetryFraction = float64(t.Repeat) / loadParts
	return t.Call, nil
}

// Encode turns an outcome into a response between nodes.
func Encode(o Outcome, load Load) (*httpconn.Response, error) {
	r := result{
		Load: int64(load.Load * loadParts), Cut: int64(load.Cutoff * scoreParts), Hold: int64(load.ServiceTime * holdParts),
	}
	for _, b := range load.Downstream {
		r.Below = append(r.Below, below{b.Service, int64(b.Cutoff * scoreParts)})
	}
	resp := &httpconn.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	switch o := o.(type) {
	case Answered:
		r.Kind, r.Inner, r.Spare = "whole", o.InnerFailed, o.RetryGranted
		resp = &httpconn.Response{Status: o.Response.Status, Header: o.Response.Header, Body: o.Response.Body}
	case Refused:
		r.Kind, r.Reason, r.After, r.Arrived, r.Spare = "refused", o.Reason, o.RetryAfter.Milliseconds(), o.ByTarget, o.RetryGranted
	case Lost:
		r.Kind, r.Reason, r.Spare = "lost", o.Reason, o.RetryGranted
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

// Decode reads an outcome from a response between nodes.
func Decode(resp *httpconn.Response) (Outcome, Load, error) {
	var r result
	if err := json.Unmarshal([]byte(resp.Header.Get(resultHeader)), &r); err != nil {
		return nil, Load{}, fmt.Errorf("decode result: %w", err)
	}
	resp.Header.Del(resultHeader)
	load := Load{
		Load: float64(r.Load) / loadParts, Cutoff: priority.Cutoff(r.Cut) / scoreParts, ServiceTime: float64(r.Hold) / holdParts,
	}
	for _, b := range r.Below {
		load.Downstream = append(load.Downstream, balancer.Downstream{Service: b.Service, Cutoff: priority.Cutoff(b.Cut) / scoreParts})
	}
	switch r.Kind {
	case "whole":
		return Answered{Response: resp, InnerFailed: r.Inner, RetryGranted: r.Spare}, load, nil
	case "refused":
		return Refused{r.Reason, time.Duration(r.After) * time.Millisecond, r.Arrived, r.Spare}, load, nil
	case "lost":
		var err error
		if r.Detail != "" {
			err = fmt.Errorf("peer: %s", r.Detail)
		}
		return Lost{r.Reason, err, r.Spare}, load, nil
	}
	return nil, Load{}, fmt.Errorf("decode result: kind %q is unknown", r.Kind)
}

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits; 0 if it doesn't say.
	Timeout time.Duration
	// Key is the caller's key; empty without one.
	Key string
}

// ReplyInfo is what a target's answer says of itself.
type ReplyInfo struct {
	// ID is the request that is answered; empty if the answer doesn't say.
	ID string
	// NotRun is set when the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set when another target has the address.
	WrongTarget bool
}

// Dialect translates the headers that callers and targets use.
type Dialect interface {
	// Wish decodes a caller's headers.
	Wish(h http.Header) RequestInfo
	// Outgoing turns a caller's headers into those for the target.
	Outgoing(h http.Header, c Call)
	// Reply decodes a target's headers.
	Reply(status int, h http.Header) ReplyInfo
	// Refusal makes the answer of the node itself.
	Refusal(id string, status int, after time.Duration, reason failure.Reason) *httpconn.Response
}

// Describe is an outcome in a few words, for logs.
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
