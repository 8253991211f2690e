package retry

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/budget"
)

// Attempts is one call on its way: where it was sent, and what it may still
// spend on being sent again. It is not safe for concurrent use.
type Attempts struct {
	call       balancer.Call
	idempotent bool
	extra      *budget.Budget
	sends      int
	// below is the number of sends that all tries led to further down, and
	// cost what another try takes.
	below   int
	cost    int
	last    Result
	refusal *failure.Refusal
	// ran is the most that any send so far may have done.
	ran failure.Ran
}

// NewAttempts returns the course of a call that holds extra sends.
func NewAttempts(call balancer.Call, idempotent bool, extra int) *Attempts {
	return &Attempts{call: call, idempotent: idempotent, extra: budget.New(extra), ran: failure.RanNo}
}

// Step is what to do next: Send or Stop.
type Step interface{ step() }

// Send means to send the call to the pick, with extra sends lent to it.
type Send struct {
	Pick balancer.Pick
	Lent int
}

// Stop means that the call has ended; Last tells how.
type Stop struct{}

func (Send) step() {}
func (Stop) step() {}

// Next decides what to do at now. All are the nodes that serve the call;
// permit is asked before an extra send.
func (c *Attempts) Next(now time.Time, all []balancer.Candidate, chooser *balancer.Balancer, ratio *budget.Ratio, permit func() bool) Step {
	if c.sends > 0 && !c.Allowed() {
		return Stop{}
	}
	pick, refusal := chooser.Choose(now, all, c.call)
	if _, gone := c.last.(NoAnswer); gone && refusal != nil && refusal.Reason == failure.NoTarget {
		// Only the connection may have been at fault.
		c.call.Tried = nil
		pick, refusal = chooser.Choose(now, all, c.call)
	}
	if refusal != nil {
		c.refusal = refusal
		return Stop{}
	}
	if c.sends == 0 {
		ratio.RecordFirst()
	} else if c.extra.Remaining() < c.cost || !ratio.AllowRetry() || !permit() || !c.extra.Spend(c.cost) {
		return Stop{}
	}
	c.sends++
	c.call.Tried = append(c.call.Tried, pick.Candidate.ID)
	chooser.Sent(pick.Candidate.ID)
	send := Send{Pick: pick}
	if chooser.HasInnerCalls(c.call.Route) {
		send.Lent = c.extra.Lend()
	}
	return send
}

// Record notes what came of the latest send. Unused is how many of the lent
// extra sends came back; a lost answer brings none. Below is the number of
// sends that it led to further down.
func (c *Attempts) Record(result Result, lent, unused, below int) {
	c.extra.Return(unused, lent)
	c.below += below
	c.cost = budget.Cost(below, lent-unused)
	c.last = result
	c.ran = most(c.ran, ranOf(result))
}

// ranOf is what a send may have done.
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

func most(a, b failure.Ran) failure.Ran {
	switch {
	case a == failure.RanYes || b == failure.RanYes:
		return failure.RanYes
	case a == failure.RanUnknown || b == failure.RanUnknown:
		return failure.RanUnknown
	}
	return failure.RanNo
}

// Allowed reports whether what came of the latest send allows another.
func (c *Attempts) Allowed() bool { return Allowed(c.last, c.idempotent) }

// Sends is the number of sends so far.
func (c *Attempts) Sends() int { return c.sends }

// TotalSends is the number of sends so far with those further down.
func (c *Attempts) TotalSends() int { return c.sends + c.below }

// WithinBudget reports whether another try is within what the call holds.
func (c *Attempts) WithinBudget() bool { return c.extra.Remaining() >= c.cost }

// Remaining is the number of extra sends left.
func (c *Attempts) Remaining() int { return c.extra.Remaining() }

// Result is what came of the call: the answer, or the refusal of the latest
// send. Its Ran covers the earlier sends too. A call that was never sent has
// the refusal to choose a node.
func (c *Attempts) Result() Result {
	switch last := c.last.(type) {
	case nil:
		if c.refusal == nil {
			return Refused{failure.New(failure.Deadline, "the deadline passed before the call was sent")}
		}
		return Refused{c.refusal}
	case Refused:
		return Refused{last.Refusal.WithRan(c.ran)}
	case NoAnswer:
		r := failure.New(failure.Lost, "no answer came from the node that serves the target")
		return Refused{r.WithRan(c.ran)}
	}
	return c.last
}
