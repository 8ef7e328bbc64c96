package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// memoryLog is the part of the log that is kept in memory.
type memoryLog struct {
	// base and baseTerm are the index and term just before the first entry.
	base     uint64
	baseTerm uint64
	entries  []*wire.Entry
}

func (log *memoryLog) last() uint64 { return log.base + uint64(len(log.entries)) }

func (log *memoryLog) lastTerm() uint64 {
	term, _ := log.term(log.last())
	return term
}

// term returns the term at an index, if the index is the base or an entry in
// memory.
func (log *memoryLog) term(index uint64) (uint64, bool) {
	if index == log.base {
		return log.baseTerm, true
	}
	if index < log.base || index > log.last() {
		return 0, false
	}
	return log.entries[index-log.base-1].GetTerm(), true
}

// slice returns the entries from first to last, inclusive.
func (log *memoryLog) slice(first, last uint64) []*wire.Entry {
	if first > last {
		return nil
	}
	return log.entries[first-log.base-1 : last-log.base]
}

// truncate drops the entries from an index on.
func (log *memoryLog) truncate(from uint64) {
	kept := int(from - log.base - 1)
	log.entries = append([]*wire.Entry(nil), log.entries[:kept]...)
}

// compact drops the entries up to and including an index, which becomes the base.
func (log *memoryLog) compact(to uint64) {
	term, ok := log.term(to)
	if !ok || to <= log.base {
		return
	}
	log.entries = append([]*wire.Entry(nil), log.entries[to-log.base:]...)
	log.base, log.baseTerm = to, term
}

// findConflictByTerm returns the index and term of the last entry at or before
// index whose term is at most term, or the base if there is none. Two logs cannot
// agree beyond it.
func (log *memoryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	at := min(index, log.last())
	for ; at > log.base; at-- {
		if entryTerm, _ := log.term(at); entryTerm <= term {
			return at, entryTerm
		}
	}
	return log.base, log.baseTerm
}

// limitBatch returns the first entries that fit into one append message, at
// least one.
func limitBatch(entries []*wire.Entry) []*wire.Entry {
	size := 0
	for at, entry := range entries {
		size += entry.SizeVT()
		if size > maxBatchBytes && at > 0 || at == maxBatchEntries {
			return entries[:at]
		}
	}
	return entries
}
