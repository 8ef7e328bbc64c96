package queue

import "container/heap"

// none is the index of what is in no pile.
const none = -1

// pile is a heap whose elements know their index.
type pile[T any] struct {
	list []T
	less func(first, second T) bool
	// index returns where an element keeps its index.
	index func(T) *int
}

// Len returns the number of elements.
func (pile *pile[T]) Len() int { return len(pile.list) }

// Less compares two elements.
func (pile *pile[T]) Less(first, second int) bool {
	return pile.less(pile.list[first], pile.list[second])
}

// Swap swaps two elements.
func (pile *pile[T]) Swap(first, second int) {
	pile.list[first], pile.list[second] = pile.list[second], pile.list[first]
	*pile.index(pile.list[first]), *pile.index(pile.list[second]) = first, second
}

// Push appends an element, for container/heap.
func (pile *pile[T]) Push(value any) {
	element, _ := value.(T)
	*pile.index(element) = len(pile.list)
	pile.list = append(pile.list, element)
}

// Pop removes the last element, for container/heap.
func (pile *pile[T]) Pop() any {
	last := len(pile.list) - 1
	element := pile.list[last]
	var empty T
	pile.list[last] = empty
	pile.list = pile.list[:last]
	*pile.index(element) = none
	return element
}

func (pile *pile[T]) top() (T, bool) {
	if len(pile.list) == 0 {
		var empty T
		return empty, false
	}
	return pile.list[0], true
}

func (pile *pile[T]) add(element T) { heap.Push(pile, element) }

func (pile *pile[T]) remove(element T) {
	if at := *pile.index(element); at != none {
		heap.Remove(pile, at)
	}
}

func (pile *pile[T]) fix(element T) {
	if at := *pile.index(element); at != none {
		heap.Fix(pile, at)
	}
}
