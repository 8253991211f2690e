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
	// ID identifies the item to the user of the queue.
	ID uint64
	// Score orders items. A lower score goes first.
	Score priority.Score
	// Organisation and Share are the flow and its weight for fair queueing.
	Organisation string
	Share        float64
	// Depth is the number of hops from the root's caller.
	Depth int
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Arrived is when the item was offered.
	Arrived time.Time

	// YieldsTo is a class, 0 for none. If this item is the next one, callers'
	// requests of a more important class go before it, whatever its score.
	YieldsTo int

	startTag float64
	seq      uint64
}

// Order decides which of two waiting items goes first.
type Order interface{ order() }

// ByScore orders by importance, grade and rank, then deeper calls first, then
// the earlier deadline. All nodes use the same order.
type ByScore struct{}

// WeightedFair orders by importance, then by start-time fair queueing between
// organisations, then deeper calls first, then the earlier deadline.
type WeightedFair struct{}

// FIFO is first in, first out, and ignores importance.
type FIFO struct{}

// LIFO is last in, first out, and ignores importance.
type LIFO struct{}

func (ByScore) order()      {}
func (WeightedFair) order() {}
func (FIFO) order()         {}
func (LIFO) order()         {}

// Queue is a bounded queue. It is not safe for concurrent use.
type Queue struct {
	order Order
	size  int
	items []Item
	// virtualTime is the highest start tag that was dequeued.
	virtualTime float64
	// nextTags is the next start tag of each flow.
	nextTags map[string]float64
	seq      uint64
}

// New returns a queue for size items.
func New(order Order, size int) *Queue {
	return &Queue{order: order, size: size, nextTags: map[string]float64{}}
}

// Len is the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Resize changes the size in items. Items above it stay until they are removed.
func (q *Queue) Resize(size int) { q.size = size }

// Push adds an item. If the queue is full, the last item is removed and returned
// as displaced; it may be the new one.
func (q *Queue) Push(item Item) (displaced Item, full bool) {
	q.seq++
	item.seq = q.seq
	item.startTag = q.newStartTag(item)
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

// newStartTag returns the virtual start time of an organisation's next item.
func (q *Queue) newStartTag(item Item) float64 {
	if _, ok := q.order.(WeightedFair); !ok {
		return 0
	}
	key := item.Score.Importance().String() + "/" + item.Organisation
	tag := max(q.virtualTime, q.nextTags[key])
	q.nextTags[key] = tag + 1/max(item.Share, 1e-9)
	return tag
}

// Pop removes the first item. Items whose deadline has passed are removed on the
// way and returned as expired.
func (q *Queue) Pop(now time.Time) (first Item, ok bool, expired []Item) {
	for len(q.items) > 0 {
		at := q.nextIndex()
		item := q.items[at]
		q.items = slices.Delete(q.items, at, at+1)
		if !now.Before(item.Deadline) {
			expired = append(expired, item)
			continue
		}
		q.virtualTime = max(q.virtualTime, item.startTag)
		q.resetIfEmpty()
		return item, true, expired
	}
	q.resetIfEmpty()
	return Item{}, false, expired
}

// nextIndex returns the index of the item to dequeue: the first in order, or the
// first caller's request that it yields to.
func (q *Queue) nextIndex() int {
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

// resetIfEmpty restarts the virtual time when nothing waits.
func (q *Queue) resetIfEmpty() {
	if len(q.items) == 0 && len(q.nextTags) > 0 {
		clear(q.nextTags)
		q.virtualTime = 0
	}
}

// Remove removes the item with this ID, for example when its caller has
// disconnected. It reports whether the item was in the queue.
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
	q.resetIfEmpty()
	return items
}

// Last returns the item that is last in order, without removing it.
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
			cmp.Compare(a.startTag, b.startTag),
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
