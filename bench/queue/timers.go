package queue

import "container/heap"

// timer is a pending callback. Callbacks of the same instant run in the order of
// their sequence numbers.
type timer struct {
	at       float64
	sequence uint64
	act      func()
}

// timers is a virtual clock with its pending callbacks, earliest first.
type timers struct {
	now      float64
	sequence uint64
	list     timerHeap
}

func (timers *timers) after(span float64, act func()) {
	timers.sequence++
	heap.Push(&timers.list, timer{at: timers.now + span, sequence: timers.sequence, act: act})
}

func (timers *timers) every(span, offset float64, act func()) {
	var again func()
	again = func() {
		act()
		timers.after(span, again)
	}
	timers.after(offset, again)
}

func (timers *timers) runUntil(end float64) {
	for len(timers.list) > 0 {
		next, _ := heap.Pop(&timers.list).(timer)
		if next.at > end {
			return
		}
		timers.now = next.at
		next.act()
	}
}

type timerHeap []timer

func (list timerHeap) Len() int { return len(list) }

func (list timerHeap) Less(first, second int) bool {
	if list[first].at != list[second].at {
		return list[first].at < list[second].at
	}
	return list[first].sequence < list[second].sequence
}

func (list timerHeap) Swap(first, second int) { list[first], list[second] = list[second], list[first] }

func (list *timerHeap) Push(value any) {
	added, _ := value.(timer)
	*list = append(*list, added)
}

func (list *timerHeap) Pop() any {
	last := len(*list) - 1
	removed := (*list)[last]
	(*list)[last] = timer{}
	*list = (*list)[:last]
	return removed
}
