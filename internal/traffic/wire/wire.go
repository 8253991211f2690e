// Package wire defines what nodes say to each other about a call: one JSON
// header with the call and one with its outcome, around the raw bodies.
package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/gravitational/trace"
)

// Headers between nodes, and between a node and its own target. All start
// with Prefix; none is accepted from a caller.
const (
	Prefix        = "Chestnut-"
	CallHeader    = "Chestnut-Meta"
	OutcomeHeader = "Chestnut-Outcome"
	// TokenHeader carries the call token that a target sends with its own
	// calls, EchoHeader the identity that a target's answer repeats.
	TokenHeader = "Chestnut-Call"
	EchoHeader  = "Chestnut-Echo"
	// RootHeader tells a caller the identity of its request.
	RootHeader = "Chestnut-Root"
	// SecretHeader proves that a peer knows the fleet secret.
	SecretHeader = "Chestnut-Fleet"
	// RemainingHeader tells a target how long its answer is waited for.
	RemainingHeader = "Chestnut-Left"
)

// MaxDepth is the longest chain of calls, counted in hops.
const MaxDepth = 32

// maxHeader bounds the encoded form of a call or an outcome, in bytes.
const maxHeader = 32 << 10

// Call describes one call between nodes.
type Call struct {
	// ID identifies this send; the outcome repeats it.
	ID string `json:"id"`
	// Root identifies the caller's request on every hop.
	Root         string         `json:"root"`
	Organisation string         `json:"org,omitempty"`
	Share        float64        `json:"share"`
	Route        string         `json:"route"`
	Service      string         `json:"service"`
	Method       string         `json:"method"`
	Target       string         `json:"target"`
	Score        priority.Score `json:"score"`
	// Depth is the number of hops from the caller, 1 for the root.
	Depth int `json:"depth"`
	// Remaining is the time until the deadline, counted from the send.
	Remaining time.Duration `json:"left"`
	// Idempotent calls may be sent again, with all calls below them: those are
	// idempotent too, or they are refused.
	Idempotent bool `json:"idempotent"`
	// Retries is the number of extra sends lent with the call.
	Retries     int                `json:"extra"`
	Fingerprint poison.Fingerprint `json:"print"`
	Ticket      string             `json:"ticket,omitempty"`
	// Forced is set when every target of the service seems to fail.
	Forced           bool  `json:"forced,omitempty"`
	MaxResponseBytes int64 `json:"answer"`
}

// Outcome is what a node says about a call it received.
type Outcome struct {
	// ID repeats the call's.
	ID string `json:"id"`
	// Refusal is nil when the body is the target's whole answer.
	Refusal    *failure.Refusal `json:"refusal,omitempty"`
	RetryAfter time.Duration    `json:"after,omitempty"`
	// Status is the target's HTTP status.
	Status int `json:"status,omitempty"`
	// Sends is the number of sends that the call led to further down.
	Sends int `json:"sends,omitempty"`
	// InnerFailed is set when a call of the target's own failed during this one.
	InnerFailed bool `json:"inner,omitempty"`
	// UnusedRetries is how many of the lent extra sends come back.
	UnusedRetries int `json:"unused"`
	// Load and Cut describe the serving node, Below what calls of this route
	// meet further down.
	Load       float64               `json:"load"`
	Cutoff     priority.Cutoff       `json:"cut"`
	Downstream []balancer.Downstream `json:"below,omitempty"`
	Failing    bool                  `json:"failing,omitempty"`
	Leaving    bool                  `json:"leaving,omitempty"`
}

// Encode returns a value for a header.
func Encode(v any) (string, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encode header: %w", err)
	}
	if len(text) > maxHeader {
		return "", trace.LimitExceeded("header of %d bytes, at most %d", len(text), maxHeader)
	}
	return string(text), nil
}

// DecodeCall reads the call of a request from a peer. It returns
// trace.BadParameter for anything malformed.
func DecodeCall(h http.Header) (Call, error) {
	var c Call
	if err := decode(h, CallHeader, &c); err != nil {
		return c, err
	}
	switch {
	case c.ID == "" || c.Root == "":
		return c, trace.BadParameter("%s: id and root must be set", CallHeader)
	case c.Depth < 1 || c.Depth > MaxDepth:
		return c, trace.BadParameter("%s: depth %d", CallHeader, c.Depth)
	case c.Remaining <= 0 || c.Retries < 0 || c.MaxResponseBytes < 0 || c.Score < 0:
		return c, trace.BadParameter("%s: a negative number", CallHeader)
	case !strings.HasPrefix(c.Target, "/"):
		return c, trace.BadParameter("%s: target %q", CallHeader, c.Target)
	}
	return c, nil
}

// DecodeOutcome reads the outcome of an answer from a peer. It returns
// trace.BadParameter when it is malformed or answers another call.
func DecodeOutcome(h http.Header, id string) (Outcome, error) {
	var o Outcome
	if err := decode(h, OutcomeHeader, &o); err != nil {
		return o, err
	}
	if o.ID != id {
		return o, trace.BadParameter("%s: answers another call", OutcomeHeader)
	}
	return o, nil
}

func decode(h http.Header, name string, v any) error {
	values := h.Values(name)
	if len(values) != 1 || len(values[0]) > maxHeader {
		return trace.BadParameter("%s: must be there once", name)
	}
	if err := json.Unmarshal([]byte(values[0]), v); err != nil {
		return trace.BadParameter("%s: %v", name, err)
	}
	return nil
}

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Host",
}

// withheld are the headers that carry a caller's credentials or that net/http
// clients act on.
var withheld = []string{
	"Authorization", "Cookie", "Idempotency-Key", "X-Idempotency-Key", "Forwarded", "X-Forwarded-For",
}

// Forward returns the headers of a request that may go to the next hop: those
// that belong to the connection, credentials and our own are left out.
func Forward(h http.Header) http.Header {
	out := EndToEnd(h)
	for _, name := range withheld {
		out.Del(name)
	}
	return out
}

// EndToEnd returns the headers without those that belong to the connection and
// our own.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, Prefix) {
			out[name] = values
		}
	}
	for _, listed := range h.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
