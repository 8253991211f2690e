// Package wire defines the protocol of calls between nodes: a JSON header with
// the call, one with its outcome, and the bodies as they are.
package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/status"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/gravitational/trace"
)

// Headers between nodes, and between a node and its own target. All start with
// Prefix. Requests of callers that have one are refused.
const (
	Prefix        = "Chestnut-"
	CallHeader    = "Chestnut-Meta"
	OutcomeHeader = "Chestnut-Outcome"
	// TokenHeader carries the token of the call that a target makes an inner call
	// for, EchoHeader the id that the target repeats in its response.
	TokenHeader = "Chestnut-Call"
	EchoHeader  = "Chestnut-Echo"
	// RootHeader returns the id of a request to its caller.
	RootHeader = "Chestnut-Root"
	// SecretHeader proves that a peer has the fleet secret.
	SecretHeader = "Chestnut-Fleet"
	// RemainingHeader is the time until the deadline of a call to a target, in
	// milliseconds.
	RemainingHeader = "Chestnut-Left"
)

// MaxDepth is the longest chain of calls, in hops.
const MaxDepth = 32

// maxHeaderBytes is the largest encoded call or outcome, in bytes.
const maxHeaderBytes = 32 << 10

// Call describes one call between nodes.
type Call struct {
	// ID identifies this attempt; the outcome repeats it.
	ID string `json:"id"`
	// Root identifies the root request, the request of a caller, on every hop.
	Root         string         `json:"root"`
	Organisation string         `json:"org,omitempty"`
	Share        float64        `json:"share"`
	Route        string         `json:"route"`
	Service      string         `json:"service"`
	Method       string         `json:"method"`
	Target       string         `json:"target"`
	Score        priority.Score `json:"score"`
	// Depth is the number of hops from the caller, 1 for the root request.
	Depth int `json:"depth"`
	// Remaining is the time until the deadline, measured when the call is sent.
	Remaining time.Duration `json:"left"`
	// Idempotent calls may be retried together with all inner calls made for them:
	// a non-idempotent inner call is refused.
	Idempotent bool `json:"idempotent"`
	// Retries is the retry budget of the call. Between nodes it is the part lent to
	// the call for its inner calls.
	Retries     int                `json:"extra"`
	Fingerprint poison.Fingerprint `json:"print"`
	Ticket      string             `json:"ticket,omitempty"`
	// Forced is set when every target of the service seems to fail. The call is then
	// sent all the same.
	Forced           bool  `json:"forced,omitempty"`
	MaxResponseBytes int64 `json:"answer"`
}

// Outcome is the result of a call, with the state of the serving node.
type Outcome struct {
	// ID is the ID of the call.
	ID string `json:"id"`
	// Refusal is nil when the body is the target's complete response.
	Refusal    *failure.Refusal `json:"refusal,omitempty"`
	RetryAfter time.Duration    `json:"after,omitempty"`
	// Status is the target's HTTP status.
	Status int `json:"status,omitempty"`
	// Sends is the number of attempts of inner calls made for the call.
	Sends int `json:"sends,omitempty"`
	// InnerFailed is set when an inner call of the target failed during this call.
	InnerFailed bool `json:"inner,omitempty"`
	// UnusedRetries is how many of the lent retries were not used.
	UnusedRetries int `json:"unused"`
	// Load and Cutoff describe the serving node, Downstream the cutoffs that inner
	// calls of this route meet at other services.
	Load       float64               `json:"load"`
	Cutoff     priority.Cutoff       `json:"cut"`
	Downstream []balancer.Downstream `json:"below,omitempty"`
	Failing    bool                  `json:"failing,omitempty"`
	Leaving    bool                  `json:"leaving,omitempty"`
}

// Encode returns v as JSON for a header. It returns trace.LimitExceeded when that
// is too long.
func Encode(v any) (string, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encode header: %w", err)
	}
	if len(text) > maxHeaderBytes {
		return "", trace.LimitExceeded("encoded header has %d bytes, the limit is %d", len(text), maxHeaderBytes)
	}
	return string(text), nil
}

// DecodeCall decodes the call in the headers of a peer's request. It returns
// trace.BadParameter when it is malformed.
func DecodeCall(h http.Header) (Call, error) {
	var c Call
	if err := decode(h, CallHeader, &c); err != nil {
		return c, err
	}
	switch {
	case c.ID == "" || c.Root == "":
		return c, trace.BadParameter("%s: id and root must be set", CallHeader)
	case c.Depth < 1 || c.Depth > MaxDepth:
		return c, trace.BadParameter("%s: depth %d is out of range", CallHeader, c.Depth)
	case c.Remaining <= 0 || c.Retries < 0 || c.MaxResponseBytes < 0 || c.Score < 0:
		return c, trace.BadParameter("%s: left must be positive; extra, answer and score must not be negative", CallHeader)
	case !strings.HasPrefix(c.Target, "/"):
		return c, trace.BadParameter("%s: target %q is not a path", CallHeader, c.Target)
	}
	return c, nil
}

// DecodeOutcome decodes the outcome in the headers of a peer's response to the
// call id. It returns trace.BadParameter when it is malformed or belongs to another
// call.
func DecodeOutcome(h http.Header, id string) (Outcome, error) {
	var o Outcome
	if err := decode(h, OutcomeHeader, &o); err != nil {
		return o, err
	}
	if o.ID != id {
		return o, trace.BadParameter("%s: id belongs to another call", OutcomeHeader)
	}
	if o.Refusal == nil && !status.Final(o.Status) {
		return o, trace.BadParameter("%s: status %d is no final one", OutcomeHeader, o.Status)
	}
	return o, nil
}

func decode(h http.Header, name string, v any) error {
	values := h.Values(name)
	if len(values) != 1 || len(values[0]) > maxHeaderBytes {
		return trace.BadParameter("%s: want exactly one value within the size limit", name)
	}
	if err := json.Unmarshal([]byte(values[0]), v); err != nil {
		return trace.BadParameter("%s: invalid JSON: %v", name, err)
	}
	return nil
}

// hopByHop are the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Host",
}

// notForwarded are the headers that carry a caller's credentials or that net/http
// clients act on.
var notForwarded = []string{
	"Authorization", "Cookie", "Idempotency-Key", "X-Idempotency-Key", "Forwarded", "X-Forwarded-For",
}

// Forward returns the headers of a request that may go to the next hop: without
// hop-by-hop headers, credentials and those that start with Prefix.
func Forward(h http.Header) http.Header {
	out := EndToEnd(h)
	for _, name := range notForwarded {
		out.Del(name)
	}
	return out
}

// EndToEnd returns the headers without hop-by-hop headers and those that start
// with Prefix.
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
