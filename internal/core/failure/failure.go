// Package failure defines the error responses that callers and peers receive.
package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Ran says whether a refused request may have had an effect.
type Ran string

// Values of Ran. RanNo is used only if the request provably never reached a
// target.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Reason is why a request was refused.
type Reason string

// Reasons of a refusal, as sent to callers and peers.
const (
	BadRequest       Reason = "bad-request"
	NoKey            Reason = "no-key"
	BadKey           Reason = "bad-key"
	NoRoute          Reason = "no-route"
	TooLarge         Reason = "too-large"
	RateExceeded     Reason = "rate"
	Overload         Reason = "overload"
	NoTarget         Reason = "no-target"
	Deadline         Reason = "deadline"
	Lost             Reason = "lost" // no response, or no known outcome
	BadResponse      Reason = "broken-answer"
	BadTicket        Reason = "bad-ticket"
	TicketUsed       Reason = "ticket-used"
	RetriesExhausted Reason = "retries"
	Poison           Reason = "poison"  // the request has crashed targets
	Leaving          Reason = "leaving" // the node or its target is stopping
	NotReady         Reason = "not-ready"
	Backlog          Reason = "backlog"     // slow readers or large bodies take too much memory
	TooDeep          Reason = "too-deep"    // chain of inner calls too long
	Unsafe           Reason = "unsafe-call" // not idempotent under a repeatable request
)

// statusCodes maps each reason to the HTTP status of its response.
var statusCodes = map[Reason]int{
	BadRequest:       http.StatusBadRequest,
	NoKey:            http.StatusUnauthorized,
	BadKey:           http.StatusUnauthorized,
	NoRoute:          http.StatusNotFound,
	TooLarge:         http.StatusRequestEntityTooLarge,
	RateExceeded:     http.StatusTooManyRequests,
	Overload:         http.StatusServiceUnavailable,
	NoTarget:         http.StatusServiceUnavailable,
	Deadline:         http.StatusGatewayTimeout,
	Lost:             http.StatusBadGateway,
	BadResponse:      http.StatusBadGateway,
	BadTicket:        http.StatusBadRequest,
	TicketUsed:       http.StatusConflict,
	RetriesExhausted: http.StatusServiceUnavailable,
	Poison:           http.StatusUnprocessableEntity,
	Leaving:          http.StatusServiceUnavailable,
	NotReady:         http.StatusServiceUnavailable,
	Backlog:          http.StatusServiceUnavailable,
	TooDeep:          http.StatusLoopDetected,
	Unsafe:           http.StatusUnprocessableEntity,
}

// Refusal is the response to a request that was not completed. Root is the ID of
// the root request. RetryAfter is the wait before the next attempt, 0 if unset.
type Refusal struct {
	Reason     Reason        `json:"reason"`
	Ran        Ran           `json:"ran"`
	Detail     string        `json:"detail,omitempty"`
	Root       string        `json:"root,omitempty"`
	RetryAfter time.Duration `json:"-"`
}

// New returns a refusal of a request that did not run.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, Detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy with this Ran.
func (r Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return &r
}

// WithRetryAfter returns a copy that asks the caller to wait before the next
// attempt.
func (r Refusal) WithRetryAfter(after time.Duration) *Refusal {
	r.RetryAfter = after
	return &r
}

// WithRoot returns a copy with the ID of the root request.
func (r Refusal) WithRoot(root string) *Refusal {
	r.Root = root
	return &r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// Status is the HTTP status of the reason, 500 for an unknown one.
func (r *Refusal) Status() int {
	if s, ok := statusCodes[r.Reason]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON document of the refusal.
func (r *Refusal) Body() []byte {
	doc := struct {
		Error struct {
			Refusal
			RetryAfterMillis int64 `json:"after_ms,omitempty"`
		} `json:"error"`
	}{}
	doc.Error.Refusal = *r
	doc.Error.RetryAfterMillis = r.RetryAfter.Milliseconds()
	body, err := json.Marshal(doc)
	if err != nil {
		return []byte(`{"error":{"reason":"internal","ran":"unknown"}}`)
	}
	return append(body, '\n')
}

// Write sends the refusal as the response to a request. Retry-After is rounded up
// to whole seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	body := r.Body()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(body)
}
