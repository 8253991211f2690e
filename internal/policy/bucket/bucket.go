// Package bucket divides an organisation's fleet-wide rate and burst.
//
// The bucket is cut into parts, each with one holder. Nodes draw batches of
// tokens that are debited at the holder when granted. The level of a part plus
// its tokens outstanding never exceeds the part's burst, so over any window no
// more than burst plus rate times the window is spent, whatever the nodes do.
package bucket

import (
	"math"
	"slices"
	"time"
)

// TokenLife is how long a drawn token can be spent, as the drawer counts it
// from before it asked.
const TokenLife = 2 * time.Second

// lapsedShare is the part of rate and burst that a holder keeps after its
// lease has lapsed; the rest is its successor's.
const lapsedShare = 0.5

// outShare is the part of the burst that may be outstanding at drawers, so
// that a successor knows how much of it its predecessor can have left behind.
const outShare = 0.5

// Claim is how much of a part a holder may hand out.
type Claim int

// The claims of a holder. Whole needs a lease in force and no doubt about the
// former holder; Remainder is a successor's while the former may still run;
// Lapsed is a holder's whose lease is no longer in force.
const (
	Whole Claim = iota
	Remainder
	Lapsed
)

// String is the name shown to operators.
func (c Claim) String() string {
	switch c {
	case Remainder:
		return "remainder"
	case Lapsed:
		return "lapsed"
	}
	return "whole"
}

func (c Claim) factor() float64 {
	switch c {
	case Remainder:
		return 1 - lapsedShare
	case Lapsed:
		return lapsedShare
	}
	return 1
}

// Limits are the rate in tokens a second and the burst in tokens of one part.
type Limits struct {
	Rate  float64
	Burst float64
}

// Divide returns the terms of one of n equal parts.
func (t Limits) Divide(n int) Limits {
	return Limits{Rate: t.Rate / float64(n), Burst: t.Burst / float64(n)}
}

type grant struct {
	id     uint64
	drawer string
	tokens float64
	until  time.Time
	// former is set for what a former holder may have left outstanding.
	former bool
}

// Bucket is the state of one part at its holder. It is not safe for concurrent
// use.
type Bucket struct {
	terms  Limits
	claim  Claim
	level  float64
	at     time.Time
	grants []grant
	lastID uint64
}

// New returns the part of a successor. It starts empty, and what the
// former holder may still have outstanding counts against its burst. That is
// known only if the former holder was no recent successor itself: one must have
// held the part for TokenLife before another follows.
func New(now time.Time, terms Limits, claim Claim) *Bucket {
	left := max(terms.Burst*claim.factor()*outShare, 1)
	former := grant{tokens: left, until: now.Add(TokenLife), former: true}
	return &Bucket{terms: terms, claim: claim, at: now, grants: []grant{former}}
}

// NewFull returns a full part, for an organisation that never had tokens.
func NewFull(now time.Time, terms Limits) *Bucket {
	return &Bucket{terms: terms, level: terms.Burst, at: now}
}

// SetTerms changes rate and burst.
func (p *Bucket) SetTerms(now time.Time, terms Limits) {
	p.refill(now)
	p.terms = terms
	p.cap()
}

// SetClaim changes how much of the part may be handed out.
func (p *Bucket) SetClaim(now time.Time, claim Claim) {
	p.refill(now)
	p.claim = claim
	p.cap()
}

// Inherit notes that the former holder has provably stopped. What it granted
// after its lease lapsed may still be spent for the life of a token.
func (p *Bucket) Inherit(now time.Time) {
	p.refill(now)
	left := p.terms.Burst * lapsedShare * outShare
	p.grants = append(p.grants, grant{tokens: max(left, 1), until: now.Add(TokenLife), former: true})
	p.cap()
}

// Claim is the present claim.
func (p *Bucket) Claim() Claim { return p.claim }

// refill adds what the time since the last call brought. Expired grants count
// as spent at their expiry: only the drawer knows whether they were. Up to then
// they leave no room to fill.
func (p *Bucket) refill(now time.Time) {
	for {
		next := p.firstExpiry()
		if next < 0 || p.grants[next].until.After(now) {
			break
		}
		p.accrue(p.grants[next].until)
		p.grants = slices.Delete(p.grants, next, next+1)
	}
	p.accrue(now)
	p.grants = slices.DeleteFunc(p.grants, func(g grant) bool { return g.tokens <= 0 })
}

// firstExpiry is the index of the grant that expires first, or -1.
func (p *Bucket) firstExpiry() int {
	first := -1
	for i, g := range p.grants {
		if first < 0 || g.until.Before(p.grants[first].until) {
			first = i
		}
	}
	return first
}

// accrue fills the level at the rate until a time.
func (p *Bucket) accrue(until time.Time) {
	if elapsed := until.Sub(p.at).Seconds(); elapsed > 0 {
		p.level += elapsed * p.terms.Rate * p.claim.factor()
		p.at = until
	}
	p.cap()
}

// cap keeps level plus outstanding within the burst.
func (p *Bucket) cap() {
	room := p.terms.Burst*p.claim.factor() - p.Outstanding()
	p.level = max(0, min(p.level, room))
}

// Outstanding is the number of tokens granted that may still be spent.
func (p *Bucket) Outstanding() float64 {
	sum := 0.0
	for _, g := range p.grants {
		sum += g.tokens
	}
	return sum
}

// ownOutstanding is the part of Outstanding that this holder granted.
func (p *Bucket) ownOutstanding() float64 {
	sum := 0.0
	for _, g := range p.grants {
		if !g.former {
			sum += g.tokens
		}
	}
	return sum
}

// Level is the number of tokens that can be granted now.
func (p *Bucket) Level(now time.Time) float64 {
	p.refill(now)
	return p.level
}

// AddLevel adds tokens that a former holder handed over.
func (p *Bucket) AddLevel(now time.Time, tokens float64) {
	p.refill(now)
	p.level += max(tokens, 0)
	p.cap()
}

// Request is one request of a drawer.
type Request struct {
	Node string `json:"drawer"`
	// Want is the number of tokens asked for.
	Want int `json:"want"`
	// Now is how many of them are spent as soon as they are there, by requests
	// that wait: they are never outstanding.
	Now int `json:"now,omitempty"`
	// Keep is the part of the burst that stays for more important requests.
	Keep float64 `json:"keep,omitempty"`
	// Spent is how many tokens of earlier grants were used. Each is reported
	// once: a report whose answer is lost is not sent again. Tokens that ran out
	// are not given back: the part may have filled up since.
	Spent []Usage `json:"spent,omitempty"`
}

// Usage is a number of tokens used of one grant.
type Usage struct {
	Grant  uint64 `json:"g"`
	Tokens int    `json:"n"`
}

// Grant is the answer to an Ask.
type Grant struct {
	ID     uint64 `json:"g"`
	Tokens int    `json:"n"`
	// Spent is how many of the tokens the holder counts as spent already.
	Spent int `json:"s,omitempty"`
}

// Draw settles the drawer's earlier grants and grants whole tokens, at most as
// many as it wants.
func (p *Bucket) Draw(now time.Time, ask Request) Grant {
	p.refill(now)
	p.settle(ask.Spent)
	room := max(1, p.terms.Burst*p.claim.factor()*outShare) - p.ownOutstanding()
	level := p.level - ask.Keep*p.terms.Burst*p.claim.factor()
	n := min(ask.Want, int(math.Floor(min(level, room+float64(ask.Now))+1e-9)))
	if n <= 0 {
		return Grant{}
	}
	p.level -= float64(n)
	p.lastID++
	spent := min(n, ask.Now)
	if n > spent {
		p.grants = append(p.grants, grant{id: p.lastID, drawer: ask.Node, tokens: float64(n - spent), until: now.Add(TokenLife)})
	}
	return Grant{ID: p.lastID, Tokens: n, Spent: spent}
}

// settle takes used tokens off their grants. Those of an expired grant count as
// spent already.
func (p *Bucket) settle(spent []Usage) {
	for _, u := range spent {
		for i := range p.grants {
			if g := &p.grants[i]; g.id == u.Grant && !g.former {
				g.tokens = max(0, g.tokens-float64(u.Tokens))
			}
		}
	}
}

// Extend moves the expiry of the newest grant to count from after the answer
// was sent.
func (p *Bucket) Extend(now time.Time, drawer string) {
	for i := len(p.grants) - 1; i >= 0; i-- {
		if p.grants[i].drawer == drawer {
			p.grants[i].until = now.Add(TokenLife)
			return
		}
	}
}
