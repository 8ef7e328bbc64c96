package place

import "container/list"

// lru is an engine's prefix cache with room for a number of prompts.
type lru struct {
	room  int
	order *list.List
	items map[uint64]*list.Element
}

func newLRU(room int) *lru {
	return &lru{room: room, order: list.New(), items: map[uint64]*list.Element{}}
}

// touch uses a prefix and tells whether it was cached.
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
