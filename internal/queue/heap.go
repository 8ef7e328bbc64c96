package queue

import "container/heap"

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

// indexedHeap is a heap whose elements store their index, so that any of them can
// be removed or moved in logarithmic time.
type indexedHeap[T any] struct {
	list []T
	less func(first, second T) bool
	// index returns a pointer to the index stored in an element.
	index func(T) *int
}

// Len returns the number of elements, for container/heap.
func (elements *indexedHeap[T]) Len() int { return len(elements.list) }

// Less compares the elements at two indexes, for container/heap.
func (elements *indexedHeap[T]) Less(first, second int) bool {
	return elements.less(elements.list[first], elements.list[second])
}

// Swap swaps the elements at two indexes, for container/heap.
func (elements *indexedHeap[T]) Swap(first, second int) {
	elements.list[first], elements.list[second] = elements.list[second], elements.list[first]
	*elements.index(elements.list[first]), *elements.index(elements.list[second]) = first, second
}

// Push appends an element, for container/heap.
func (elements *indexedHeap[T]) Push(value any) {
	element, _ := value.(T)
	*elements.index(element) = len(elements.list)
	elements.list = append(elements.list, element)
}

// Pop removes the last element, for container/heap.
func (elements *indexedHeap[T]) Pop() any {
	last := len(elements.list) - 1
	element := elements.list[last]
	var empty T
	elements.list[last] = empty
	elements.list = elements.list[:last]
	*elements.index(element) = notInHeap
	return element
}

func (elements *indexedHeap[T]) top() (T, bool) {
	if len(elements.list) == 0 {
		var empty T
		return empty, false
	}
	return elements.list[0], true
}

func (elements *indexedHeap[T]) add(element T) { heap.Push(elements, element) }

func (elements *indexedHeap[T]) remove(element T) {
	if at := *elements.index(element); at != notInHeap {
		heap.Remove(elements, at)
	}
}

func (elements *indexedHeap[T]) fix(element T) {
	if at := *elements.index(element); at != notInHeap {
		heap.Fix(elements, at)
	}
}
