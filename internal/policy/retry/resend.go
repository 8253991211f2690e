// Package resend decides whether a call that did not succeed is sent again.
package retry

import (
	"net/http"

	"chestnutshed.example/chestnutshed/internal/core/failure"
)

// Result is what came of one send: Whole, Refused or Gone.
type Result interface{ result() }

// Answer is a target's whole answer. Inner is set when the target failed since
// a call of its own was refused or lost: that was sent again already.
type Answer struct {
	Status int
	Inner  bool
}

// Refused is a node's refusal.
type Refused struct{ Refusal *failure.Refusal }

// NoAnswer means that no answer came. NotSent is set when no connection could be
// made, so that nothing can have run.
type NoAnswer struct{ NotSent bool }

func (Answer) result()   {}
func (Refused) result()  {}
func (NoAnswer) result() {}

// Allowed reports whether another send is allowed by what the first one did.
// The budget is the caller's to check.
func Allowed(result Result, idempotent bool) bool {
	switch r := result.(type) {
	case Answer:
		return idempotent && !r.Inner && failedStatus(r.Status)
	case NoAnswer:
		return r.NotSent || idempotent
	case Refused:
		return againAfter(r.Refusal, idempotent)
	}
	return false
}

func againAfter(r *failure.Refusal, idempotent bool) bool {
	switch r.Reason {
	case failure.Overload, failure.Leaving, failure.NotReady, failure.NoTarget:
		return r.Ran == failure.RanNo || idempotent
	case failure.Lost, failure.Broken:
		return idempotent || r.Ran == failure.RanNo
	}
	return false
}

// failedStatus reports whether a status says that the target failed, not the
// request.
func failedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// TargetFailed reports whether an answer counts against the target's health.
func TargetFailed(status int) bool { return failedStatus(status) }
