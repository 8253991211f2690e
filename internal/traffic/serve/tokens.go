package serve

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
)

// Parent is a call that runs on the target, as its inner calls see it.
type Parent struct {
	Call     wire.Call
	Deadline time.Time

	mu    sync.Mutex
	extra *budget.Budget
	inner map[string]*InnerAttempt
	// sends is the number of sends that inner calls led to.
	sends int
	// failed is set once an inner call was refused or lost.
	failed bool
}

// InnerAttempt is one send of a call that the target makes under a parent. Repeats of
// a non-idempotent one get the same outcome.
type InnerAttempt struct {
	// Done is closed when Outcome is set.
	Done    chan struct{}
	Outcome any
	// notRun is set when the send provably had no effect.
	notRun bool
	// cost is what a repeat takes.
	cost int
}

// TakeRetries takes out the extra sends that go with an inner call.
func (p *Parent) TakeRetries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.LendAll()
}

// ReturnRetries takes back what an inner call did not use.
func (p *Parent) ReturnRetries(unused, lent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extra.Return(unused, lent)
}

// Begin notes an inner call by its key. Any but the first with a key is a
// repeat, which costs extra sends and is not allowed without them. Run is set
// when the call is to be sent; otherwise the outcome of the send under way, or
// of the first one of a call that is not idempotent, counts.
func (p *Parent) Begin(key string, idempotent bool) (inner *InnerAttempt, run, allowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, repeat := p.inner[key]
	if repeat && !known.ended() {
		return known, false, p.extra.Spend(1)
	}
	if repeat && !idempotent && !known.notRun {
		return known, false, p.extra.Spend(1)
	}
	if repeat && !p.extra.Spend(known.cost) {
		return nil, false, false
	}
	inner = &InnerAttempt{Done: make(chan struct{})}
	p.inner[key] = inner
	// A send under way counts, in case the target crashes meanwhile.
	p.sends++
	return inner, true, true
}

func (i *InnerAttempt) ended() bool {
	select {
	case <-i.Done:
		return true
	default:
		return false
	}
}

// SendResult is how a send that Begin allowed has ended.
type SendResult struct {
	Outcome any
	// NotRun is set when it provably had no effect, Failed when it was refused,
	// lost or answered by an error of the server.
	NotRun bool
	Failed bool
	// Sends is the number of sends made, with those further down; Used is how
	// many of the lent extra sends they used.
	Sends       int
	RetriesUsed int
}

// End notes the end of a send that Begin allowed.
func (p *Parent) End(inner *InnerAttempt, e SendResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = p.failed || e.Failed
	p.sends += e.Sends - 1
	inner.Outcome, inner.notRun = e.Outcome, e.NotRun
	inner.cost = max(1, e.Sends-e.RetriesUsed)
	close(inner.Done)
}

// end returns the extra sends left, the sends of inner calls, and whether one
// of them failed.
func (p *Parent) end() (left, sends int, innerFailed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.extra.Remaining(), p.sends, p.failed
}

// tokens maps call tokens to the calls that run on the target.
type tokens struct {
	mu      sync.Mutex
	parents map[string]*Parent
}

func newTokens() *tokens { return &tokens{parents: map[string]*Parent{}} }

// add returns a new token for a call.
func (t *tokens) add(call wire.Call, deadline time.Time) (string, *Parent) {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw)
	token := hex.EncodeToString(raw)
	p := &Parent{
		Call:     call,
		Deadline: deadline,
		extra:    budget.New(call.Retries),
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
