// Package holds counts the bytes of request bodies and responses that a gateway holds in
// memory against a limit. It does no I/O and reads no clock.
package holds

import "sync/atomic"

// Budget counts the bytes held. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns an empty budget with a limit in bytes; 0 for none.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Take adds a number of bytes and reports whether the limit allows them. If it does not,
// the count is unchanged.
func (budget *Budget) Take(size int64) bool {
	for {
		held := budget.held.Load()
		if budget.limit > 0 && size > budget.limit-held {
			return false
		}
		if budget.held.CompareAndSwap(held, held+size) {
			return true
		}
	}
}

// Give subtracts a number of bytes that were taken.
func (budget *Budget) Give(size int64) { budget.held.Add(-size) }

// Held returns the number of bytes held.
func (budget *Budget) Held() int64 { return budget.held.Load() }
