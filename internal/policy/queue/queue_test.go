package queue_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/queue"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// A full queue drops the least important item for a more important one.
func ExampleQueue_Push() {
	q := queue.New(queue.ByScore{}, 1)
	low := queue.Item{ID: 1, Score: priority.New(manifest.Low, 1), Deadline: start.Add(time.Second)}
	high := queue.Item{ID: 2, Score: priority.New(manifest.High, 1), Deadline: start.Add(time.Second)}
	q.Push(low)
	displaced, full := q.Push(high)
	fmt.Println(displaced.ID, full)
	// Output: 1 true
}

func TestOrder(t *testing.T) {
	item := func(id uint64, i manifest.Importance, rank float64, org string, depth int) queue.Item {
		return queue.Item{ID: id, Score: priority.New(i, rank), Organisation: org, Share: 1, Depth: depth, Deadline: start.Add(time.Second)}
	}
	tests := []struct {
		name  string
		order queue.Order
		items []queue.Item
		want  []uint64
	}{
		{"importance before rank", queue.ByScore{}, []queue.Item{item(1, manifest.Low, 0, "a", 1), item(2, manifest.High, 9, "a", 1)}, []uint64{2, 1}},
		{"rank within an importance", queue.ByScore{}, []queue.Item{item(1, manifest.Low, 5, "a", 1), item(2, manifest.Low, 1, "b", 1)}, []uint64{2, 1}},
		{"inner calls before roots of the same score", queue.ByScore{}, []queue.Item{item(1, manifest.Low, 1, "a", 1), item(2, manifest.Low, 1, "a", 3)}, []uint64{2, 1}},
		{"organisations in turn", queue.WeightedFair{}, []queue.Item{item(1, manifest.Low, 0, "a", 1), item(2, manifest.Low, 0, "a", 1), item(3, manifest.Low, 0, "b", 1)}, []uint64{1, 3, 2}},
		{"first in, first out", queue.FIFO{}, []queue.Item{item(1, manifest.Low, 0, "a", 1), item(2, manifest.High, 0, "a", 1)}, []uint64{1, 2}},
		{"last in, first out", queue.LIFO{}, []queue.Item{item(1, manifest.High, 0, "a", 1), item(2, manifest.Low, 0, "a", 1)}, []uint64{2, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := queue.New(tt.order, 10)
			for _, i := range tt.items {
				q.Push(i)
			}
			var got []uint64
			for q.Len() > 0 {
				i, _, _ := q.Pop(start)
				got = append(got, i.ID)
			}
			is.Equal(got, tt.want)
		})
	}
}

// In any sequence of Push and Pop, a full queue displaces no item while a less
// important one waits, and no item is lost or returned twice.
func TestDisplacementProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(queue.ByScore{}, rapid.IntRange(1, 8).Draw(t, "size"))
		waiting := map[uint64]queue.Item{}
		removed := map[uint64]bool{}
		remove := func(id uint64) {
			if removed[id] {
				t.Fatalf("item %d was removed twice", id)
			}
			removed[id] = true
			delete(waiting, id)
		}
		for id := uint64(1); id <= 60; id++ {
			if rapid.Bool().Draw(t, "pop") {
				if first, ok, _ := q.Pop(start); ok {
					for _, other := range waiting {
						if other.Score.Importance() > first.Score.Importance() {
							t.Fatalf("%v was dequeued before %v", first, other)
						}
					}
					remove(first.ID)
				}
				continue
			}
			i := queue.Item{
				ID:       id,
				Score:    priority.New(manifest.Importance(rapid.IntRange(0, 3).Draw(t, "importance")), rapid.Float64Range(0, 50).Draw(t, "rank")),
				Deadline: start.Add(time.Minute),
			}
			waiting[id] = i
			displaced, full := q.Push(i)
			if !full {
				continue
			}
			for _, other := range waiting {
				if other.ID != displaced.ID && other.Score.Importance() < displaced.Score.Importance() {
					t.Fatalf("%v was displaced while less important %v waits", displaced, other)
				}
			}
			remove(displaced.ID)
		}
		if q.Len() != len(waiting) {
			t.Fatalf("queue has %d items, want %d", q.Len(), len(waiting))
		}
	})
}

// Inner calls go first, unless their root is certain and less important than a
// waiting caller's request. Otherwise inner calls of unimportant roots would
// starve more important callers.
func TestInnerCallsYieldToMoreImportant(t *testing.T) {
	is := is.New(t)
	deadline := start.Add(time.Minute)
	inner := func(id uint64, root manifest.Importance, certain bool) queue.Item {
		i := queue.Item{ID: id, Score: priority.New(manifest.Critical, 0), Depth: 2, Deadline: deadline}
		if certain {
			i.YieldsTo = priority.New(root, 0).Class()
		}
		return i
	}
	direct := func(id uint64, i manifest.Importance) queue.Item {
		return queue.Item{ID: id, Score: priority.New(i, 1), Depth: 1, Deadline: deadline}
	}
	order := func(items ...queue.Item) []uint64 {
		q := queue.New(queue.ByScore{}, 10)
		for _, i := range items {
			q.Push(i)
		}
		var ids []uint64
		for {
			i, ok, _ := q.Pop(start)
			if !ok {
				return ids
			}
			ids = append(ids, i.ID)
		}
	}
	is.Equal(order(inner(1, manifest.Low, true), inner(2, manifest.Low, true), direct(3, manifest.High), direct(4, manifest.Low)), []uint64{3, 1, 2, 4})
	is.Equal(order(inner(1, manifest.High, true), direct(2, manifest.High), direct(3, manifest.Low)), []uint64{1, 2, 3})
	is.Equal(order(inner(1, manifest.Low, false), inner(2, manifest.Low, true), direct(3, manifest.High)), []uint64{1, 3, 2})
}
