package serve

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
)

// Parent is a running call on the target, under which the target makes inner calls.
type Parent struct {
	Call     wire.Call
	Deadline time.Time

	mu      sync.Mutex
	retries *budget.Budget
	inner   map[string]*InnerAttempt
	// sends is the number of attempts that inner calls led to, on all services.
	sends int
	// innerFailed is set once an inner call was refused, lost or answered with a
	// server error.
	innerFailed bool
}

// InnerAttempt is one attempt of a call that the target makes under a parent.
// Repeats of a call that is not idempotent get the same outcome.
type InnerAttempt struct {
	// Done is closed when Outcome is set.
	Done    chan struct{}
	Outcome any
	// notRun is set if the attempt is known to have had no effect.
	notRun bool
	// retryCost is the number of retries that a repeat takes from the budget.
	retryCost int
}

// TakeRetries takes all remaining retries from the budget, for an inner call.
func (p *Parent) TakeRetries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retries.LendAll()
}

// ReturnRetries returns the retries that an inner call did not use.
func (p *Parent) ReturnRetries(unused, lent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retries.Return(unused, lent)
}

// Begin registers an inner call by its key. A call with a known key is a repeat: it
// is charged to the retry budget and not allowed if that is used up. If run is set,
// the caller sends the call and reports with End. Otherwise it waits for the outcome
// of inner, which is the attempt in flight, or the first one of a call that is not
// idempotent.
func (p *Parent) Begin(key string, idempotent bool) (inner *InnerAttempt, run, allowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, repeat := p.inner[key]
	if repeat && !known.isDone() {
		return known, false, p.retries.Spend(1)
	}
	if repeat && !idempotent && !known.notRun {
		return known, false, p.retries.Spend(1)
	}
	if repeat && !p.retries.Spend(known.retryCost) {
		return nil, false, false
	}
	inner = &InnerAttempt{Done: make(chan struct{})}
	p.inner[key] = inner
	// Counted at the start, in case the target crashes before the attempt ends.
	p.sends++
	return inner, true, true
}

func (i *InnerAttempt) isDone() bool {
	select {
	case <-i.Done:
		return true
	default:
		return false
	}
}

// SendResult is the result of an attempt that Begin allowed.
type SendResult struct {
	Outcome any
	// NotRun is set if the attempt is known to have had no effect. Failed is set if
	// it was refused, lost or answered with a server error.
	NotRun bool
	Failed bool
	// Sends is the number of sends, including those further downstream. RetriesUsed
	// is how many of the retries from TakeRetries they used.
	Sends       int
	RetriesUsed int
}

// End records the result of an attempt that Begin allowed and closes inner.Done.
func (p *Parent) End(inner *InnerAttempt, r SendResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.innerFailed = p.innerFailed || r.Failed
	p.sends += r.Sends - 1
	inner.Outcome, inner.notRun = r.Outcome, r.NotRun
	inner.retryCost = max(1, r.Sends-r.RetriesUsed)
	close(inner.Done)
}

// finish returns the unused retries, the number of sends of inner calls, and whether
// one of them failed.
func (p *Parent) finish() (left, sends int, anyFailed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retries.Remaining(), p.sends, p.innerFailed
}

// tokens maps call tokens to the calls that run on the target.
type tokens struct {
	mu      sync.Mutex
	parents map[string]*Parent
}

func newTokens() *tokens { return &tokens{parents: map[string]*Parent{}} }

// add registers a call under a new random token.
func (t *tokens) add(call wire.Call, deadline time.Time) (string, *Parent) {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw)
	token := hex.EncodeToString(raw)
	p := &Parent{
		Call:     call,
		Deadline: deadline,
		retries:  budget.New(call.Retries),
		inner:    map[string]*InnerAttempt{},
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parents[token] = p
	return token, p
}

func (t *tokens) remove(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.parents, token)
}

func (t *tokens) get(token string) (*Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parents[token]
	return p, ok
}
