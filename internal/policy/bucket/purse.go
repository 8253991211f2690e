package bucket

import (
	"math"
	"time"
)

const (
	// ahead is how much demand a drawer keeps tokens for.
	ahead = 500 * time.Millisecond
	// demandMemory is the time constant of a drawer's demand estimate.
	demandMemory = time.Second
	// dryWait is how long a drawer that got nothing waits before it asks again.
	dryWait = 20 * time.Millisecond
)

// Source names where tokens were drawn: a part, under one of its holders.
type Source struct {
	Part  int
	Epoch uint64
}

// Purse holds the tokens that one node has drawn for one organisation. It is
// not safe for concurrent use.
type Purse struct {
	batches []batch
	spent   map[Source][]Usage
	demand  float64
	at      time.Time
	dryTill time.Time
}

type batch struct {
	source Source
	grant  uint64
	tokens int
	// told is how many of them the holder counts as spent already.
	told  int
	until time.Time
}

// NewPurse returns an empty purse.
func NewPurse() *Purse {
	return &Purse{spent: map[Source][]Usage{}}
}

// Spend uses one token. It reports false when there is none.
func (p *Purse) Spend(now time.Time) bool {
	for i := range p.batches {
		b := &p.batches[i]
		if b.tokens == 0 || !now.Before(b.until) {
			continue
		}
		b.tokens--
		if b.told > 0 {
			b.told--
		} else {
			p.spend(b.source, b.grant)
		}
		return true
	}
	return false
}

// Refund takes back a token that was spent at most a moment ago on a request
// that did not run.
func (p *Purse) Refund(now time.Time) {
	for i := range p.batches {
		b := &p.batches[i]
		list := p.spent[b.source]
		n := len(list)
		if !now.Before(b.until) || n == 0 || list[n-1].Grant != b.grant || list[n-1].Tokens == 0 {
			continue
		}
		b.tokens++
		list[n-1].Tokens--
		return
	}
}

// spend counts one token of a grant for the next report.
func (p *Purse) spend(source Source, id uint64) {
	list := p.spent[source]
	if n := len(list); n > 0 && list[n-1].Grant == id {
		list[n-1].Tokens++
		return
	}
	p.spent[source] = append(list, Usage{Grant: id, Tokens: 1})
}

// Count adds one request to the demand estimate.
func (p *Purse) Count(now time.Time) {
	elapsed := now.Sub(p.at).Seconds()
	if p.at.IsZero() {
		elapsed = math.Inf(1)
	}
	p.demand = p.demand*math.Exp(-elapsed/demandMemory.Seconds()) + 1/demandMemory.Seconds()
	p.at = now
}

// Want is the number of tokens to draw now: one for each request that waits,
// and what the demand of the next half second surely needs, beyond what is held.
func (p *Purse) Want(now time.Time, waiting int) int {
	if now.Before(p.dryTill) {
		return 0
	}
	elapsed := now.Sub(p.at).Seconds()
	demand := p.demand * math.Exp(-elapsed/demandMemory.Seconds())
	need := waiting + int(demand*ahead.Seconds())
	return max(0, need-p.Held(now))
}

// Held is the number of tokens that can be spent now.
func (p *Purse) Held(now time.Time) int {
	held := 0
	kept := p.batches[:0]
	for _, b := range p.batches {
		if b.tokens > 0 && now.Before(b.until) {
			held += b.tokens
			kept = append(kept, b)
		}
	}
	p.batches = kept
	return held
}

// Ask returns what to ask a source for. The count in it is handed over: it is
// not reported again, and not to another holder.
func (p *Purse) Ask(drawer string, source Source, want int) Request {
	ask := Request{Node: drawer, Want: want, Spent: p.spent[source]}
	delete(p.spent, source)
	return ask
}

// Add puts drawn tokens into the purse. Asked is when the drawer began to ask.
func (p *Purse) Add(asked time.Time, source Source, g Grant) {
	if g.Tokens > 0 {
		p.batches = append(p.batches, batch{source, g.ID, g.Tokens, g.Spent, asked.Add(TokenLife)})
	}
}

// Dry notes that no holder had a token.
func (p *Purse) Dry(now time.Time) { p.dryTill = now.Add(dryWait) }

// IsDry reports whether a holder said a moment ago that it has no token.
func (p *Purse) IsDry(now time.Time) bool { return now.Before(p.dryTill) }
