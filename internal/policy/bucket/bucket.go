// Package bucket divides an organisation's fleet-wide rate and burst.
//
// Every bucket has one holder. Nodes draw batches of tokens, which the holder
// subtracts from the bucket when it grants them. The level of a bucket plus its
// outstanding tokens never exceeds its burst. Over any window, the nodes therefore
// spend at most burst plus rate times the window, whatever they do.
package bucket

import (
	"math"
	"slices"
	"time"
)

// TokenTTL is how long a drawn token can be spent. The requesting node counts it
// from before it sends the request.
const TokenTTL = 2 * time.Second

// expiredFraction is the fraction of rate and burst that a holder keeps after its
// lease has expired. The successor has the rest.
const expiredFraction = 0.5

// outstandingFraction is the fraction of the burst that may be outstanding at
// nodes. It bounds what a predecessor can have left outstanding, which a successor
// has to subtract.
const outstandingFraction = 0.5

// LeaseState determines how much of a bucket its holder may grant.
type LeaseState int

// Lease states of a holder. Exclusive: the lease is valid and the former holder
// has certainly stopped. Shared: the lease is valid, but the former holder may
// still be running. Expired: the lease is no longer valid.
const (
	Exclusive LeaseState = iota
	Shared
	Expired
)

// String is the name shown to operators.
func (l LeaseState) String() string {
	switch l {
	case Shared:
		return "remainder"
	case Expired:
		return "lapsed"
	}
	return "whole"
}

func (l LeaseState) fraction() float64 {
	switch l {
	case Shared:
		return 1 - expiredFraction
	case Expired:
		return expiredFraction
	}
	return 1
}

// Limits are the rate of a bucket in tokens a second and its burst in tokens.
type Limits struct {
	Rate  float64
	Burst float64
}

// Divide returns the limits of one of n equal shards.
func (l Limits) Divide(n int) Limits {
	return Limits{Rate: l.Rate / float64(n), Burst: l.Burst / float64(n)}
}

type grant struct {
	id      uint64
	node    string
	tokens  float64
	expires time.Time
	// predecessor is set on the tokens that a former holder may have left
	// outstanding.
	predecessor bool
}

// Bucket is the state of a token bucket on its holder. It is not safe for
// concurrent use.
type Bucket struct {
	limits   Limits
	lease    LeaseState
	level    float64
	refilled time.Time
	grants   []grant
	lastID   uint64
}

// New returns the bucket of a successor. It starts empty. The tokens that the
// predecessor may still have outstanding count against the burst. Their number is
// bounded only if the predecessor held the bucket for at least TokenTTL, so that
// the tokens of the holder before it have expired.
func New(now time.Time, limits Limits, lease LeaseState) *Bucket {
	outstanding := max(limits.Burst*lease.fraction()*outstandingFraction, 1)
	predecessor := grant{tokens: outstanding, expires: now.Add(TokenTTL), predecessor: true}
	return &Bucket{limits: limits, lease: lease, refilled: now, grants: []grant{predecessor}}
}

// NewFull returns a full bucket, for an organisation that never had tokens.
func NewFull(now time.Time, limits Limits) *Bucket {
	return &Bucket{limits: limits, level: limits.Burst, refilled: now}
}

// SetLimits changes rate and burst.
func (b *Bucket) SetLimits(now time.Time, limits Limits) {
	b.refill(now)
	b.limits = limits
	b.cap()
}

// SetLeaseState changes how much of the bucket may be granted.
func (b *Bucket) SetLeaseState(now time.Time, lease LeaseState) {
	b.refill(now)
	b.lease = lease
	b.cap()
}

// TakeOver accounts for the tokens of a predecessor that has provably stopped.
// What it granted after its lease expired may still be spent for TokenTTL.
func (b *Bucket) TakeOver(now time.Time) {
	b.refill(now)
	outstanding := b.limits.Burst * expiredFraction * outstandingFraction
	b.grants = append(b.grants, grant{tokens: max(outstanding, 1), expires: now.Add(TokenTTL), predecessor: true})
	b.cap()
}

// LeaseState is the current lease state of the holder.
func (b *Bucket) LeaseState() LeaseState { return b.lease }

// refill adds the tokens accrued since the last call. Expired grants count as
// spent when they expire, since only the requesting node knows whether they were.
// Until then they take up room in the burst.
func (b *Bucket) refill(now time.Time) {
	for {
		next := b.firstExpiry()
		if next < 0 || b.grants[next].expires.After(now) {
			break
		}
		b.accrue(b.grants[next].expires)
		b.grants = slices.Delete(b.grants, next, next+1)
	}
	b.accrue(now)
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool { return g.tokens <= 0 })
}

// firstExpiry is the index of the grant that expires first, or -1.
func (b *Bucket) firstExpiry() int {
	first := -1
	for i, g := range b.grants {
		if first < 0 || g.expires.Before(b.grants[first].expires) {
			first = i
		}
	}
	return first
}

// accrue raises the level at the current rate until a time.
func (b *Bucket) accrue(until time.Time) {
	if elapsed := until.Sub(b.refilled).Seconds(); elapsed > 0 {
		b.level += elapsed * b.limits.Rate * b.lease.fraction()
		b.refilled = until
	}
	b.cap()
}

// cap limits level plus outstanding tokens to the burst.
func (b *Bucket) cap() {
	room := b.limits.Burst*b.lease.fraction() - b.Outstanding()
	b.level = max(0, min(b.level, room))
}

// Outstanding is the number of granted tokens that may still be spent.
func (b *Bucket) Outstanding() float64 {
	sum := 0.0
	for _, g := range b.grants {
		sum += g.tokens
	}
	return sum
}

// ownOutstanding is Outstanding without the tokens of former holders.
func (b *Bucket) ownOutstanding() float64 {
	sum := 0.0
	for _, g := range b.grants {
		if !g.predecessor {
			sum += g.tokens
		}
	}
	return sum
}

// Level is the number of tokens that can be granted now.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// AddTokens adds tokens that a former holder handed over.
func (b *Bucket) AddTokens(now time.Time, tokens float64) {
	b.refill(now)
	b.level += max(tokens, 0)
	b.cap()
}

// Request asks a holder for tokens.
type Request struct {
	Node string `json:"drawer"`
	// Want is the number of tokens requested.
	Want int `json:"want"`
	// Immediate is how many of them waiting requests spend on arrival. These
	// tokens are never outstanding.
	Immediate int `json:"now,omitempty"`
	// Reserve is the fraction of the burst left for requests of higher rank.
	Reserve float64 `json:"keep,omitempty"`
	// Spent is how many tokens of earlier grants were used. Each use is reported
	// once, even if the answer to the report is lost. Expired tokens are not
	// returned, because the bucket may have filled up since.
	Spent []Usage `json:"spent,omitempty"`
}

// Usage is the number of tokens used of one grant.
type Usage struct {
	Grant  uint64 `json:"g"`
	Tokens int    `json:"n"`
}

// Grant answers a Request.
type Grant struct {
	ID     uint64 `json:"g"`
	Tokens int    `json:"n"`
	// Spent is how many of the tokens the holder already counts as spent.
	Spent int `json:"s,omitempty"`
}

// Draw settles the node's earlier grants, then grants whole tokens, at most as
// many as requested.
func (b *Bucket) Draw(now time.Time, request Request) Grant {
	b.refill(now)
	b.settle(request.Spent)
	room := max(1, b.limits.Burst*b.lease.fraction()*outstandingFraction) - b.ownOutstanding()
	level := b.level - request.Reserve*b.limits.Burst*b.lease.fraction()
	n := min(request.Want, int(math.Floor(min(level, room+float64(request.Immediate))+1e-9)))
	if n <= 0 {
		return Grant{}
	}
	b.level -= float64(n)
	b.lastID++
	spent := min(n, request.Immediate)
	if n > spent {
		b.grants = append(b.grants, grant{id: b.lastID, node: request.Node, tokens: float64(n - spent), expires: now.Add(TokenTTL)})
	}
	return Grant{ID: b.lastID, Tokens: n, Spent: spent}
}

// settle subtracts used tokens from their grants. The tokens of expired grants
// already count as spent.
func (b *Bucket) settle(spent []Usage) {
	for _, u := range spent {
		for i := range b.grants {
			if g := &b.grants[i]; g.id == u.Grant && !g.predecessor {
				g.tokens = max(0, g.tokens-float64(u.Tokens))
			}
		}
	}
}

// Extend restarts the TTL of a node's newest grant. The holder calls it after it has
// sent the answer.
func (b *Bucket) Extend(now time.Time, node string) {
	for i := len(b.grants) - 1; i >= 0; i-- {
		if b.grants[i].node == node {
			b.grants[i].expires = now.Add(TokenTTL)
			return
		}
	}
}
