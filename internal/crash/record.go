package crash

import (
	"cmp"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Record is a block of a part or a request that the replicated configuration holds. It
// applies where the crashes that it was decided by are not known, as after a restart of
// all processes. Where they are, they decide: they may have been explained since.
type Record struct {
	// Part is the blocked part; 0 if a request as a whole is blocked by its Fingerprint.
	Part        uint64
	Fingerprint uint64
	At          clock.Millis
	Until       clock.Millis
	Crashes     int
}

// recordKey identifies a record; one of the fields is 0.
type recordKey struct{ part, fingerprint uint64 }

func (record Record) key() recordKey { return recordKey{record.Part, record.Fingerprint} }

// Message encodes a record.
func (record Record) Message() *wire.CrashBlock {
	return &wire.CrashBlock{
		Part: record.Part, Fingerprint: record.Fingerprint, At: int64(record.At), Until: int64(record.Until), Crashes: uint32(record.Crashes),
	}
}

// RecordFromMessage decodes a record.
func RecordFromMessage(block *wire.CrashBlock) Record {
	return Record{
		Part: block.GetPart(), Fingerprint: block.GetFingerprint(), At: clock.Millis(block.GetAt()), Until: clock.Millis(block.GetUntil()),
		Crashes: int(block.GetCrashes()),
	}
}

// withRecorded replaces the records by those that are in force.
func (core Core) withRecorded(event Recorded, now clock.Millis) Core {
	core.recorded = make(map[recordKey]Record, len(event.Records))
	for _, record := range event.Records {
		if now < record.Until {
			core.recorded[record.key()] = record
		}
	}
	return core
}

// recordAgainst returns the record that blocks a request, the longest one if there are
// several.
func (core Core) recordAgainst(request Request, now clock.Millis) (Record, bool) {
	var longest Record
	if len(core.recorded) == 0 {
		return longest, false
	}
	keys := []recordKey{{fingerprint: request.Fingerprint}}
	for _, part := range request.Parts {
		keys = append(keys, recordKey{part: part})
	}
	for _, key := range keys {
		if record, ok := core.recorded[key]; ok && core.applies(record, now) && record.Until > longest.Until {
			longest = record
		}
	}
	return longest, longest.Until > 0
}

// applies reports whether a record is in force and neither known crashes decide in its
// place nor an answer has begun since.
func (core Core) applies(record Record, now clock.Millis) bool {
	exonerated := max(core.begun[record.Part], core.cleared[record.Fingerprint])
	return now < record.Until && exonerated <= record.At && !core.knows(record)
}

// knows reports whether at least as many crashes are known as a record was decided by.
func (core Core) knows(record Record) bool {
	count := 0
	for _, crash := range core.crashes {
		if record.Part != 0 && crash.hasPart(record.Part) || record.Part == 0 && crash.has(record.Fingerprint) {
			count++
		}
	}
	return count >= record.Crashes
}

// established returns the blocks that follow from the known crashes now and no longer
// depend on reports of other processes.
func (core Core) established(now clock.Millis) []Record {
	var list []Record
	for _, part := range core.Suspicious() {
		if held, ok := core.suspicionOf(part, now); ok && now >= latest(held.crashes)+reportTime && now < held.until {
			list = append(list, Record{Part: part, At: now, Until: held.until, Crashes: len(held.crashes)})
		}
	}
	for fingerprint, current := range core.blocks {
		if current.crashes > 0 && now < current.until {
			list = append(list, Record{Fingerprint: fingerprint, At: now, Until: current.until, Crashes: current.crashes})
		}
	}
	return list
}

// Unrecorded returns the records to be added to the configuration: blocks that it does
// not hold or holds for a shorter time, and ends of blocks that no longer follow from
// the crashes that they were decided by. Such a record ends when it was decided.
func (core Core) Unrecorded(now clock.Millis) []Record {
	var list []Record
	wanted := map[recordKey]bool{}
	for _, record := range core.established(now) {
		wanted[record.key()] = true
		// Leaders may know the time of a crash with different delays.
		if held, ok := core.recorded[record.key()]; !ok || record.Until > held.Until+reportTime {
			list = append(list, record)
		}
	}
	for key, record := range core.recorded {
		lifted := core.knows(record) || core.begun[record.Part] > record.At || core.cleared[record.Fingerprint] > record.At
		if now < record.Until && !wanted[key] && lifted {
			list = append(list, Record{Part: record.Part, Fingerprint: record.Fingerprint, At: now, Until: now, Crashes: record.Crashes})
		}
	}
	slices.SortFunc(list, func(first, second Record) int {
		return cmp.Or(cmp.Compare(first.Part, second.Part), cmp.Compare(first.Fingerprint, second.Fingerprint))
	})
	return list
}
