// Package source decides which control VM a process polls next, and how long it
// remembers one that is gone. It does no I/O and reads no clock. Gateways and control
// VMs use it.
//
// A control VM that is replaced leaves an address that never replies again, and a
// connection to it hangs. The table therefore prefers control VMs that are known to be
// alive, tries the others in turn with growing pauses, and forgets those that no process
// has heard from for a while.
package source

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// SilenceLimit is the time without a message from a control VM after which it is no
	// longer preferred. Control VMs poll each other several times in it.
	SilenceLimit = 2 * clock.Second
	// retention is how long a control VM is remembered after the last message from it.
	// It is longer than restarts and partitions.
	retention = 30 * clock.Second
	// minBackoff is the pause before another poll of a control VM after its first
	// failure. The pause doubles with each further failure up to maxBackoff.
	minBackoff = 200 * clock.Millis(1)
	maxBackoff = 5 * clock.Second
)

// Control is a control VM as it is told to other processes.
type Control struct {
	Address string
	Zone    string
	// HeardAt is the time of the last message from it that is known.
	HeardAt clock.Millis
}

// entry is what the table knows of a control VM.
type entry struct {
	zone string
	// isNamed is set when the control VM or another one told of it; it is not set for an
	// address that is only a seed.
	isNamed bool
	// addedAt is when it became known, heardAt the time of the last message from it that
	// is known, and retryAt the time before which others are preferred to it.
	addedAt, heardAt, retryAt clock.Millis
	// failures counts the polls without a reply since the last reply to this process, and
	// failedAt is the time of the last one.
	failures int
	failedAt clock.Millis
	// isPolled is set while this process polls it.
	isPolled bool
}

// lastSign returns the time of the last message from the control VM, or when it became
// known if there was none.
func (known entry) lastSign() clock.Millis {
	if known.heardAt > 0 {
		return known.heardAt
	}
	return known.addedAt
}

// Table holds the control VMs that a process knows. It is immutable.
type Table struct {
	zone, self string
	entries    map[string]entry
}

// New returns an empty table of a process in a zone. self is the own address of a
// control VM, which is never picked, or "".
func New(zone, self string) Table { return Table{zone: zone, self: self} }

// entryOf returns what is known of an address, or a new entry.
func (table Table) entryOf(address string, now clock.Millis) entry {
	if known, ok := table.entries[address]; ok {
		return known
	}
	return entry{addedAt: now}
}

func (table Table) with(address string, changed entry) Table {
	entries := maps.Clone(table.entries)
	if entries == nil {
		entries = map[string]entry{}
	}
	entries[address] = changed
	table.entries = entries
	return table
}

// WithHeard returns the table after it became known when control VMs sent messages. An
// empty zone is not known. A control VM that has been silent for longer than others are
// remembered is not added, so that processes do not remind each other of it for ever.
func (table Table) WithHeard(now clock.Millis, heard ...Control) Table {
	entries := maps.Clone(table.entries)
	if entries == nil {
		entries = map[string]entry{}
	}
	for _, control := range heard {
		silence := now - control.HeardAt
		known, ok := entries[control.Address]
		if !ok && silence > retention {
			continue
		}
		if !ok {
			known.addedAt = now
		}
		if known.heardAt == 0 && silence > SilenceLimit {
			// It is likely gone, so others that have just failed are tried before it.
			known.retryAt = max(known.retryAt, now+min(silence, maxBackoff))
		}
		known.isNamed = true
		known.heardAt = max(known.heardAt, control.HeardAt)
		if control.Zone != "" {
			known.zone = control.Zone
		}
		entries[control.Address] = known
	}
	table.entries = entries
	return table
}

// WithReply returns the table after a control VM replied to a poll sent at the time sent.
func (table Table) WithReply(address string, sent clock.Millis) Table {
	known := table.entryOf(address, sent)
	known.heardAt, known.failures, known.failedAt, known.retryAt = max(known.heardAt, sent), 0, 0, 0
	return table.with(address, known)
}

// WithFailure returns the table after polling of a control VM ended with a failure.
func (table Table) WithFailure(address string, now clock.Millis) Table {
	known := table.entryOf(address, now)
	backoff := maxBackoff
	if doubled := minBackoff << min(known.failures, 16); doubled < maxBackoff {
		backoff = doubled
	}
	known.failures++
	known.failedAt, known.retryAt, known.isPolled = now, now+backoff, false
	return table.with(address, known)
}

// WithPicked returns the table and the control VM to poll next, or "" if all are polled
// already. Seeds are the addresses from the settings.
//
// Control VMs from which this process or another one has heard since they failed last come
// first, those in the own zone before others. The rest is tried in the order of the times at
// which they may be polled again, so that none of them keeps the others out.
func (table Table) WithPicked(seeds []string, now clock.Millis) (Table, string) {
	newest := table.newest()
	best, bestRank := "", rank{}
	for _, address := range table.candidates(seeds) {
		if candidate := table.rank(address, newest, now); best == "" || candidate.isBefore(bestRank) {
			best, bestRank = address, candidate
		}
	}
	if best == "" {
		return table, ""
	}
	picked := table.entryOf(best, now)
	picked.isPolled = true
	return table.with(best, picked), best
}

// candidates lists the control VMs that could be polled, the seeds first.
func (table Table) candidates(seeds []string) []string {
	list := slices.Clone(seeds)
	for _, address := range slices.Sorted(maps.Keys(table.entries)) {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return slices.DeleteFunc(list, func(address string) bool { return address == table.self || table.entries[address].isPolled })
}

// rank orders the candidates.
type rank struct {
	isAlive, isNear bool
	retryAt         clock.Millis
}

func (table Table) rank(address string, newest, now clock.Millis) rank {
	known := table.entryOf(address, now)
	return rank{
		isAlive: known.heardAt >= known.failedAt && known.retryAt <= now && newest-known.lastSign() < SilenceLimit,
		isNear:  known.zone == table.zone,
		retryAt: known.retryAt,
	}
}

func (first rank) isBefore(second rank) bool {
	switch {
	case first.isAlive != second.isAlive:
		return first.isAlive
	case first.isAlive && first.isNear != second.isNear:
		return first.isNear
	}
	return first.retryAt < second.retryAt
}

// newest returns the time of the last message from any control VM. Silence is measured
// from it, so that a process that is cut off or frozen forgets nothing.
func (table Table) newest() clock.Millis {
	newest := clock.Millis(0)
	for _, known := range table.entries {
		newest = max(newest, known.heardAt)
	}
	return newest
}

// WithoutGone returns the table without the control VMs that no process has heard from
// for the time of retention, and their addresses. Seeds remain candidates but are no
// longer told to others.
func (table Table) WithoutGone(seeds []string) (Table, []string) {
	newest := table.newest()
	entries := maps.Clone(table.entries)
	var gone []string
	for address, known := range table.entries {
		isSeed := slices.Contains(seeds, address)
		if newest-known.lastSign() <= retention || known.isPolled && !isSeed || isSeed && !known.isNamed {
			continue
		}
		gone = append(gone, address)
		delete(entries, address)
		if isSeed {
			known.isNamed = false
			entries[address] = known
		}
	}
	if len(gone) == 0 {
		return table, nil
	}
	slices.Sort(gone)
	table.entries = entries
	return table, gone
}

// Controls lists the known control VMs by address, without those that are only seeds.
func (table Table) Controls() []Control {
	list := make([]Control, 0, len(table.entries))
	for address, known := range table.entries {
		if known.isNamed {
			list = append(list, Control{Address: address, Zone: known.zone, HeardAt: known.heardAt})
		}
	}
	slices.SortFunc(list, func(first, second Control) int { return cmp.Compare(first.Address, second.Address) })
	return list
}

// Failures returns the number of polls of a control VM without a reply since the last one.
func (table Table) Failures(address string) int { return table.entries[address].failures }
