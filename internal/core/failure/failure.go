// Package failure defines the refusals that callers and peers receive.
package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Ran tells whether a refused request may have had an effect.
type Ran string

// The values of Ran. RanNo is used only where the request provably never
// reached a target.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Reason names why a request was refused.
type Reason string

// The reasons of a refusal.
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
	Lost             Reason = "lost"
	BadResponse      Reason = "broken-answer"
	BadTicket        Reason = "bad-ticket"
	TicketUsed       Reason = "ticket-used"
	RetriesExhausted Reason = "retries"
	Poison           Reason = "poison"
	Leaving          Reason = "leaving"
	NotReady         Reason = "not-ready"
	TooDeep          Reason = "too-deep"
	Unsafe           Reason = "unsafe-call"
)

// status maps each reason to the HTTP status of its answer.
var status = map[Reason]int{
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
	TooDeep:          http.StatusLoopDetected,
	Unsafe:           http.StatusUnprocessableEntity,
}

// Refusal is the answer to a request that the system did not complete.
type Refusal struct {
	Reason     Reason        `json:"reason"`
	Ran        Ran           `json:"ran"`
	Detail     string        `json:"detail,omitempty"`
	Root       string        `json:"root,omitempty"`
	RetryAfter time.Duration `json:"-"`
}

// New returns a refusal that did not run.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, Detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy with another Ran.
func (r Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return &r
}

// WithRetryAfter returns a copy that asks the caller to wait before the next try.
func (r Refusal) WithRetryAfter(after time.Duration) *Refusal {
	r.RetryAfter = after
	return &r
}

// WithRoot returns a copy with the identity of the root request.
func (r Refusal) WithRoot(root string) *Refusal {
	r.Root = root
	return &r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// Status is the HTTP status for the reason.
func (r *Refusal) Status() int {
	if s, ok := status[r.Reason]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON document of the refusal.
func (r *Refusal) Body() []byte {
	doc := struct {
		Error struct {
			Refusal
			AfterMillis int64 `json:"after_ms,omitempty"`
		} `json:"error"`
	}{}
	doc.Error.Refusal = *r
	doc.Error.AfterMillis = r.RetryAfter.Milliseconds()
	body, err := json.Marshal(doc)
	if err != nil {
		return []byte(`{"error":{"reason":"internal","ran":"unknown"}}`)
	}
	return append(body, '\n')
}

// Write sends the refusal as the answer to a request.
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
