// Package queue orders the work that waits in front of an engine. It is pure:
// the caller gives the time and takes the next item when the engine has room.
package queue

import (
	"container/heap"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Item is one waiting attempt.
type Item struct {
	ID       string
	Customer string
	Tier     wire.Tier
	Priority int32
	Weight   uint32
	// Size is the predicted size in stream events.
	Size     uint32
	Arrived  clock.Millis
	Deadline clock.Millis

	sequence uint64
	index    int
}

// Queue holds waiting items: paid before free, then by priority, then by arrival.
type Queue struct {
	items    items
	byID     map[string]*Item
	sequence uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{byID: map[string]*Item{}}
}

// Len returns the number of waiting items.
func (queue *Queue) Len() int { return len(queue.items) }

// Push adds an item.
func (queue *Queue) Push(item Item) {
	queue.sequence++
	item.sequence = queue.sequence
	stored := &item
	queue.byID[item.ID] = stored
	heap.Push(&queue.items, stored)
}

// Pop takes the item that runs next.
func (queue *Queue) Pop(_ clock.Millis) (Item, bool) {
	if len(queue.items) == 0 {
		return Item{}, false
	}
	item, _ := heap.Pop(&queue.items).(*Item)
	delete(queue.byID, item.ID)
	return *item, true
}

// Remove takes an item out of the queue.
func (queue *Queue) Remove(id string) bool {
	item, ok := queue.byID[id]
	if !ok {
		return false
	}
	heap.Remove(&queue.items, item.index)
	delete(queue.byID, id)
	return true
}

// Waiting counts the waiting items of a tier.
func (queue *Queue) Waiting(tier wire.Tier) int {
	count := 0
	for _, item := range queue.items {
		if item.Tier == tier {
			count++
		}
	}
	return count
}

type items []*Item

func (list items) Len() int { return len(list) }

func (list items) Less(first, second int) bool {
	left, right := list[first], list[second]
	if left.Tier != right.Tier {
		return left.Tier < right.Tier
	}
	if left.Priority != right.Priority {
		return left.Priority > right.Priority
	}
	return left.sequence < right.sequence
}

func (list items) Swap(first, second int) {
	list[first], list[second] = list[second], list[first]
	list[first].index, list[second].index = first, second
}

func (list *items) Push(value any) {
	item, _ := value.(*Item)
	item.index = len(*list)
	*list = append(*list, item)
}

func (list *items) Pop() any {
	last := len(*list) - 1
	item := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return item
}
