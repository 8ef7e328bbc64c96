package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// records is the part of the log that is kept in memory, behind an image.
type records struct {
	// base and baseTerm are the position in front of the first kept entry.
	base     uint64
	baseTerm uint64
	entries  []*wire.Entry
}

func (log *records) last() uint64 { return log.base + uint64(len(log.entries)) }

func (log *records) lastTerm() uint64 {
	term, _ := log.term(log.last())
	return term
}

// term returns the term of a position, if it is known.
func (log *records) term(index uint64) (uint64, bool) {
	if index == log.base {
		return log.baseTerm, true
	}
	if index < log.base || index > log.last() {
		return 0, false
	}
	return log.entries[index-log.base-1].GetTerm(), true
}

// slice returns entries from first to last, both included.
func (log *records) slice(first, last uint64) []*wire.Entry {
	if first > last {
		return nil
	}
	return log.entries[first-log.base-1 : last-log.base]
}

// truncate drops the entries from an index on.
func (log *records) truncate(from uint64) {
	kept := int(from - log.base - 1)
	log.entries = append([]*wire.Entry(nil), log.entries[:kept]...)
}

// compact drops the entries up to an index.
func (log *records) compact(to uint64) {
	term, ok := log.term(to)
	if !ok || to <= log.base {
		return
	}
	log.entries = append([]*wire.Entry(nil), log.entries[to-log.base:]...)
	log.base, log.baseTerm = to, term
}

// upTo returns the last position at or before index whose term is at most term.
// It is the best guess where two logs still agree.
func (log *records) upTo(index, term uint64) (uint64, uint64) {
	at := min(index, log.last())
	for ; at > log.base; at-- {
		if here, _ := log.term(at); here <= term {
			return at, here
		}
	}
	return log.base, log.baseTerm
}

// bounded cuts entries so that a message stays below the frame limit.
func bounded(entries []*wire.Entry) []*wire.Entry {
	size := 0
	for at, entry := range entries {
		size += entry.SizeVT()
		if size > maxBatchBytes && at > 0 || at == maxBatchEntries {
			return entries[:at]
		}
	}
	return entries
}
