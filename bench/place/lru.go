package place

import "container/list"

// lru models an engine's prefix cache, which holds a fixed number of prompts and
// evicts the least recently used one.
type lru struct {
	room  int
	order *list.List
	items map[uint64]*list.Element
}

func newLRU(room int) *lru {
	return &lru{room: room, order: list.New(), items: map[uint64]*list.Element{}}
}

// touch marks a prefix as used and reports whether it was cached.
func (cache *lru) touch(prefix uint64) bool {
	if item, ok := cache.items[prefix]; ok {
		cache.order.MoveToFront(item)
		return true
	}
	cache.items[prefix] = cache.order.PushFront(prefix)
	if cache.order.Len() > cache.room {
		oldest := cache.order.Back()
		delete(cache.items, cache.order.Remove(oldest).(uint64))
	}
	return false
}
