// Package queue holds the requests that wait for a slot of a target, in the
// order in which they get one.
package queue

import (
	"cmp"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

// Item is one waiting request.
type Item struct {
	// ID identifies the item at its owner.
	ID uint64
	// Score orders items; smaller goes first.
	Score priority.Score
	// Organisation and Share divide slots fairly.
	Organisation string
	Share        float64
	// Depth is the number of hops from the root's caller.
	Depth int
	// Deadline is when the answer is worthless.
	Deadline time.Time
	// Arrived is when the item was offered.
	Arrived time.Time

	// YieldsTo is a class; callers' requests of more important ones go before this
	// item when it would be the next, whatever its score.
	YieldsTo int

	tag float64
	seq uint64
}

// Order decides which of two waiting items goes first.
type Order interface{ order() }

// ByScore is strict by importance, then by rank, then deeper calls first, then
// the earlier deadline. All nodes order alike.
type ByScore struct{}

// WeightedFair is strict by importance, then start-time fair between organisations,
// then deeper calls first, then the earlier deadline.
type WeightedFair struct{}

// FIFO is first in, first out, and blind to importance.
type FIFO struct{}

// LIFO is last in, first out, and blind to importance.
type LIFO struct{}

func (ByScore) order()      {}
func (WeightedFair) order() {}
func (FIFO) order()         {}
func (LIFO) order()         {}

// Queue is a bounded queue. It is not safe for concurrent use.
type Queue struct {
	order   Order
	size    int
	items   []Item
	virtual float64
	tags    map[string]float64
	seq     uint64
}

// New returns a queue for size items.
func New(order Order, size int) *Queue {
	return &Queue{order: order, size: size, tags: map[string]float64{}}
}

// Len is the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Resize changes the bound; items over it stay until they leave.
func (q *Queue) Resize(size int) { q.size = size }

// Push adds an item. When the queue is full, the item that goes last is
// returned as displaced; it may be the new one.
func (q *Queue) Push(item Item) (displaced Item, full bool) {
	q.seq++
	item.seq = q.seq
	item.tag = q.nextTag(item)
	at, _ := slices.BinarySearchFunc(q.items, item, q.compare)
	q.items = slices.Insert(q.items, at, item)
	if len(q.items) <= q.size {
		return Item{}, false
	}
	last := len(q.items) - 1
	displaced = q.items[last]
	q.items = q.items[:last]
	return displaced, true
}

// nextTag is the virtual start time of an organisation's next item.
func (q *Queue) nextTag(item Item) float64 {
	if _, ok := q.order.(WeightedFair); !ok {
		return 0
	}
	key := item.Score.Importance().String() + "/" + item.Organisation
	tag := max(q.virtual, q.tags[key])
	q.tags[key] = tag + 1/max(item.Share, 1e-9)
	return tag
}

// Pop removes the item that goes first. Items whose deadline has passed are
// returned as expired.
func (q *Queue) Pop(now time.Time) (first Item, ok bool, expired []Item) {
	for len(q.items) > 0 {
		at := q.next()
		item := q.items[at]
		q.items = slices.Delete(q.items, at, at+1)
		if !now.Before(item.Deadline) {
			expired = append(expired, item)
			continue
		}
		q.virtual = max(q.virtual, item.tag)
		q.forget()
		return item, true, expired
	}
	q.forget()
	return Item{}, false, expired
}

// next is the index of the item that goes first: the first in order, or the first of
// callers' requests that it yields to.
func (q *Queue) next() int {
	first := q.items[0]
	if first.YieldsTo == 0 {
		return 0
	}
	at := slices.IndexFunc(q.items, func(i Item) bool { return i.Depth <= 1 })
	if at < 0 || q.items[at].Score.Class() >= first.YieldsTo {
		return 0
	}
	return at
}

// forget starts the virtual clock anew when nothing waits.
func (q *Queue) forget() {
	if len(q.items) == 0 && len(q.tags) > 0 {
		clear(q.tags)
		q.virtual = 0
	}
}

// Remove takes out the item with this ID, for a caller that has gone.
func (q *Queue) Remove(id uint64) bool {
	at := slices.IndexFunc(q.items, func(i Item) bool { return i.ID == id })
	if at < 0 {
		return false
	}
	q.items = slices.Delete(q.items, at, at+1)
	return true
}

// Drain removes and returns all items.
func (q *Queue) Drain() []Item {
	items := q.items
	q.items = nil
	q.forget()
	return items
}

// Last returns the item that goes last.
func (q *Queue) Last() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.items[len(q.items)-1], true
}

func (q *Queue) compare(a, b Item) int {
	switch q.order.(type) {
	case FIFO:
		return cmp.Compare(a.seq, b.seq)
	case LIFO:
		return cmp.Compare(b.seq, a.seq)
	case WeightedFair:
		return cmp.Or(
			cmp.Compare(b.Score.Importance(), a.Score.Importance()),
			cmp.Compare(a.tag, b.tag),
			cmp.Compare(b.Depth, a.Depth),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.seq, b.seq),
		)
	default:
		return cmp.Or(
			cmp.Compare(a.Score, b.Score),
			cmp.Compare(b.Depth, a.Depth),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.seq, b.seq),
		)
	}
}
