package retry

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/budget"
)

// Attempts tracks the attempts of one call and the retries that it may still
// use. It is not safe for concurrent use.
type Attempts struct {
	call       balancer.Call
	idempotent bool
	retries    *budget.Budget
	sends      int
	// downstream is the number of sends further downstream that all attempts
	// caused, and cost the number of retries that another attempt takes from
	// the budget.
	downstream int
	cost       int
	last       Result
	refusal    *failure.Refusal
	// ran says whether any attempt so far ran at the target.
	ran failure.Ran
}

// NewAttempts returns the attempts of a call with a budget of retries.
func NewAttempts(call balancer.Call, idempotent bool, retries int) *Attempts {
	return &Attempts{call: call, idempotent: idempotent, retries: budget.New(retries), ran: failure.RanNo}
}

// Step is what to do next: Send or Stop.
type Step interface{ step() }

// Send means to send the call to the picked node. Lent is the number of retries
// from the call's budget that the target may use for inner calls.
type Send struct {
	Pick balancer.Pick
	Lent int
}

// Stop means that no further attempt follows. Attempts.Result returns the result
// of the call.
type Stop struct{}

func (Send) step() {}
func (Stop) step() {}

// Next decides what to do at now. All are the nodes that serve the call. A retry
// must be allowed by the call's budget, by ratio and by permit, which is not
// called for the first attempt.
func (a *Attempts) Next(now time.Time, all []balancer.Candidate, b *balancer.Balancer, ratio *budget.Ratio, permit func() bool) Step {
	if a.sends > 0 && !a.Allowed() {
		return Stop{}
	}
	pick, refusal := b.Choose(now, all, a.call)
	if _, noAnswer := a.last.(NoAnswer); noAnswer && refusal != nil && refusal.Reason == failure.NoTarget {
		// Perhaps only the connection failed: try the same nodes again.
		a.call.Tried = nil
		pick, refusal = b.Choose(now, all, a.call)
	}
	if refusal != nil {
		a.refusal = refusal
		return Stop{}
	}
	if a.sends == 0 {
		ratio.RecordFirst()
	} else if a.retries.Remaining() < a.cost || !ratio.AllowRetry() || !permit() || !a.retries.Spend(a.cost) {
		return Stop{}
	}
	a.sends++
	a.call.Tried = append(a.call.Tried, pick.Candidate.ID)
	b.Sent(pick.Candidate.ID)
	send := Send{Pick: pick}
	if b.HasInnerCalls(a.call.Route) {
		send.Lent = a.retries.Lend()
	}
	return send
}

// Record records the result of the latest attempt. Unused is the number of lent
// retries that were returned, 0 if the answer was lost. Downstream is the number
// of sends further downstream that the attempt caused.
func (a *Attempts) Record(result Result, lent, unused, downstream int) {
	a.retries.Return(unused, lent)
	a.downstream += downstream
	a.cost = budget.Cost(downstream, lent-unused)
	a.last = result
	a.ran = mostRan(a.ran, ranOf(result))
}

// ranOf returns whether the request ran at the target.
func ranOf(result Result) failure.Ran {
	switch r := result.(type) {
	case Answer:
		return failure.RanYes
	case Refused:
		return r.Refusal.Ran
	case NoAnswer:
		if r.NotSent {
			return failure.RanNo
		}
	}
	return failure.RanUnknown
}

func mostRan(a, b failure.Ran) failure.Ran {
	switch {
	case a == failure.RanYes || b == failure.RanYes:
		return failure.RanYes
	case a == failure.RanUnknown || b == failure.RanUnknown:
		return failure.RanUnknown
	}
	return failure.RanNo
}

// Allowed reports whether the result of the latest attempt allows a retry. It
// does not check the budget.
func (a *Attempts) Allowed() bool { return Allowed(a.last, a.idempotent) }

// Sends is the number of attempts so far.
func (a *Attempts) Sends() int { return a.sends }

// TotalSends is the number of attempts so far and of the sends further
// downstream that they caused.
func (a *Attempts) TotalSends() int { return a.sends + a.downstream }

// WithinBudget reports whether the remaining budget covers another attempt.
func (a *Attempts) WithinBudget() bool { return a.retries.Remaining() >= a.cost }

// Remaining is the number of retries left in the budget.
func (a *Attempts) Remaining() int { return a.retries.Remaining() }

// Result is the result of the call: the answer, or the refusal of the latest
// attempt with a Ran that covers the earlier attempts too. For a call that was
// never sent it is the refusal of the balancer.
func (a *Attempts) Result() Result {
	switch last := a.last.(type) {
	case nil:
		if a.refusal == nil {
			return Refused{failure.New(failure.Deadline, "deadline exceeded before the call was sent")}
		}
		return Refused{a.refusal}
	case Refused:
		return Refused{last.Refusal.WithRan(a.ran)}
	case NoAnswer:
		r := failure.New(failure.Lost, "the target's node did not answer")
		return Refused{r.WithRan(a.ran)}
	}
	return a.last
}
