// Package begun remembers when answers to requests with a prompt part last began. It
// does no I/O and reads no clock. Gateways use it to tell parts that have been answered
// before from new ones.
package begun

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

// generationSize is the number of parts in a generation. Two are kept, so that between
// one and two times as many of the latest parts are remembered, in about 300 KB.
const generationSize = 4096

// Table holds the latest begin by part. It is not safe for concurrent use. The zero
// value is empty.
type Table struct {
	current, previous map[uint64]clock.Millis
}

// Put records that an answer to a request with a part began.
func (table *Table) Put(part uint64, at clock.Millis) {
	if table.current == nil || len(table.current) >= generationSize {
		table.previous, table.current = table.current, make(map[uint64]clock.Millis)
	}
	table.current[part] = at
}

// At returns when an answer to a request with the part last began, and whether any is
// remembered.
func (table *Table) At(part uint64) (clock.Millis, bool) {
	if at, ok := table.current[part]; ok {
		return at, true
	}
	at, ok := table.previous[part]
	return at, ok
}
