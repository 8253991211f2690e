// Package retry decides whether a call that did not succeed is sent again.
package retry

import (
	"net/http"

	"chestnutshed.example/chestnutshed/internal/core/failure"
)

// Result is the result of one attempt: Answer, Refused or NoAnswer.
type Result interface{ result() }

// Answer is a complete answer of a target. InnerFailed is set when the target failed
// because an inner call was refused or lost. That call was retried already.
type Answer struct {
	Status      int
	InnerFailed bool
}

// Refused is a node's refusal.
type Refused struct{ Refusal *failure.Refusal }

// NoAnswer means that no answer arrived. NotSent is set when no connection was
// established, so that the request did not run.
type NoAnswer struct{ NotSent bool }

func (Answer) result()   {}
func (Refused) result()  {}
func (NoAnswer) result() {}

// Allowed reports whether the result of an attempt allows a retry. The caller
// must check the retry budget.
func Allowed(result Result, idempotent bool) bool {
	switch r := result.(type) {
	case Answer:
		return idempotent && !r.InnerFailed && isTargetFailure(r.Status)
	case NoAnswer:
		return r.NotSent || idempotent
	case Refused:
		return allowedAfter(r.Refusal, idempotent)
	}
	return false
}

func allowedAfter(r *failure.Refusal, idempotent bool) bool {
	switch r.Reason {
	case failure.Overload, failure.Leaving, failure.NotReady, failure.NoTarget:
		return r.Ran == failure.RanNo || idempotent
	case failure.Lost, failure.BadResponse:
		return idempotent || r.Ran == failure.RanNo
	}
	return false
}

// isTargetFailure reports whether a status means that the target failed, as
// opposed to an invalid request.
func isTargetFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// TargetFailed reports whether a status counts against the target's health.
func TargetFailed(status int) bool { return isTargetFailure(status) }
