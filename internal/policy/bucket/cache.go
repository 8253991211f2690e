package bucket

import (
	"math"
	"time"
)

const (
	// demandHorizon is the period of expected demand that tokens are drawn for.
	demandHorizon = 500 * time.Millisecond
	// demandDecay is the time constant of the decaying demand estimate.
	demandDecay = time.Second
	// exhaustedBackoff is the delay before the next draw after an empty grant.
	exhaustedBackoff = 20 * time.Millisecond
)

// Source identifies the shard that tokens were drawn from, and the epoch of its
// holder.
type Source struct {
	Shard int
	Epoch uint64
}

// Cache holds the tokens that one node has drawn for one organisation. It is
// not safe for concurrent use.
type Cache struct {
	batches        []batch
	spent          map[Source][]Usage
	demand         float64
	updated        time.Time
	exhaustedUntil time.Time
}

type batch struct {
	source Source
	grant  uint64
	tokens int
	// counted is how many of the tokens the holder already counts as spent.
	counted int
	expires time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{spent: map[Source][]Usage{}}
}

// Spend uses one token. It returns false if there is none.
func (c *Cache) Spend(now time.Time) bool {
	for i := range c.batches {
		b := &c.batches[i]
		if b.tokens == 0 || !now.Before(b.expires) {
			continue
		}
		b.tokens--
		if b.counted > 0 {
			b.counted--
		} else {
			c.reportSpent(b.source, b.grant)
		}
		return true
	}
	return false
}

// Refund returns a token that was just spent on a request that did not run.
func (c *Cache) Refund(now time.Time) {
	for i := range c.batches {
		b := &c.batches[i]
		list := c.spent[b.source]
		n := len(list)
		if !now.Before(b.expires) || n == 0 || list[n-1].Grant != b.grant || list[n-1].Tokens == 0 {
			continue
		}
		b.tokens++
		list[n-1].Tokens--
		return
	}
}

// reportSpent adds one token of a grant to the next report.
func (c *Cache) reportSpent(source Source, id uint64) {
	list := c.spent[source]
	if n := len(list); n > 0 && list[n-1].Grant == id {
		list[n-1].Tokens++
		return
	}
	c.spent[source] = append(list, Usage{Grant: id, Tokens: 1})
}

// CountDemand adds one request to the demand estimate.
func (c *Cache) CountDemand(now time.Time) {
	elapsed := now.Sub(c.updated).Seconds()
	if c.updated.IsZero() {
		elapsed = math.Inf(1)
	}
	c.demand = c.demand*math.Exp(-elapsed/demandDecay.Seconds()) + 1/demandDecay.Seconds()
	c.updated = now
}

// Deficit is the number of tokens to draw now: one for each waiting request plus
// the whole tokens expected to be used within demandHorizon, less the available
// tokens. It is 0 while the cache is Exhausted.
func (c *Cache) Deficit(now time.Time, waiting int) int {
	if now.Before(c.exhaustedUntil) {
		return 0
	}
	elapsed := now.Sub(c.updated).Seconds()
	demand := c.demand * math.Exp(-elapsed/demandDecay.Seconds())
	need := waiting + int(demand*demandHorizon.Seconds())
	return max(0, need-c.Available(now))
}

// Available is the number of tokens that can be spent now.
func (c *Cache) Available(now time.Time) int {
	held := 0
	kept := c.batches[:0]
	for _, b := range c.batches {
		if b.tokens > 0 && now.Before(b.expires) {
			held += b.tokens
			kept = append(kept, b)
		}
	}
	c.batches = kept
	return held
}

// Request returns a request to a source. It takes over the pending report of spent
// tokens: they are not reported again, nor to another holder.
func (c *Cache) Request(node string, source Source, want int) Request {
	request := Request{Node: node, Want: want, Spent: c.spent[source]}
	delete(c.spent, source)
	return request
}

// Add stores granted tokens. Their TTL counts from when the request was sent.
func (c *Cache) Add(asked time.Time, source Source, g Grant) {
	if g.Tokens > 0 {
		c.batches = append(c.batches, batch{source, g.ID, g.Tokens, g.Spent, asked.Add(TokenTTL)})
	}
}

// MarkExhausted records that a holder had no token.
func (c *Cache) MarkExhausted(now time.Time) { c.exhaustedUntil = now.Add(exhaustedBackoff) }

// Exhausted reports whether a holder had no token within exhaustedBackoff.
func (c *Cache) Exhausted(now time.Time) bool { return now.Before(c.exhaustedUntil) }
