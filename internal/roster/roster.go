// Package roster holds the latest reported state of endpoints. It does no I/O. Gateways
// and control VMs use it.
package roster

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// TombstoneLifetime is how long the record of a stopped or silent endpoint is kept, so
// that a delayed message does not add it again. Messages are delayed by seconds at most.
const TombstoneLifetime = 2 * clock.Minute

// Group is an endpoint's membership in a group of ranks.
type Group struct {
	Name  string
	Epoch uint64
	Rank  int
	Size  int
	// Broken is set while a rank of the group is missing.
	Broken bool
}

// Record is one incarnation of an endpoint.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Born is the start time by the endpoint's clock.
	Born clock.Millis
	// Sequence orders the messages of one incarnation.
	Sequence uint64
	// Draining and Gone stay set for the rest of the incarnation.
	Draining bool
	Gone     bool
	// EndedAt is set when the endpoint deregistered without naming its start: no start up
	// to this Unix time is usable.
	EndedAt clock.Millis
	Slots   int
	Group   Group
	// ReceivedAt is the time at which a control VM received the message.
	ReceivedAt clock.Millis
	// ColdUntil is the time at which the endpoint reaches full speed after its start.
	// ColdUnstated is set when the endpoint did not state it.
	ColdUntil    clock.Millis
	ColdUnstated bool
	// FirstAt is the time at which this process's table got the first record of the
	// incarnation. It is not sent.
	FirstAt clock.Millis
}

// Usable reports whether the endpoint accepts new work.
func (record Record) Usable() bool { return !record.Draining && !record.Gone && record.Address != "" }

type entry struct {
	Record
	// position is the table's position at the latest update of the record.
	position uint64
}

// Table holds records by endpoint ID. It is not safe for concurrent use.
type Table struct {
	records map[string]*entry
	// byAddress holds the ID of the newest endpoint at each address.
	byAddress map[string]string
	position  uint64
}

// New returns an empty table.
func New() *Table { return &Table{records: map[string]*entry{}, byAddress: map[string]string{}} }

// Position returns the number of updates so far.
func (table *Table) Position() uint64 { return table.position }

// Get returns a record by endpoint ID.
func (table *Table) Get(id string) (Record, bool) {
	current, ok := table.records[id]
	if !ok {
		return Record{}, false
	}
	return current.Record, true
}

// Holder returns the latest start at the address of an endpoint, which may be of another
// endpoint.
func (table *Table) Holder(id string) (Record, bool) {
	current, ok := table.records[id]
	if !ok {
		return Record{}, false
	}
	if holder, ok := table.records[table.byAddress[current.Address]]; ok {
		return holder.Record, true
	}
	return current.Record, true
}

// Update is the effect of a message on the table.
type Update int

// Updates, from no effect to one that may change the set of usable endpoints.
const (
	// Stale messages are older than the current record and are ignored.
	Stale Update = iota
	// Refreshed messages show only that the endpoint is alive.
	Refreshed
	// Changed messages report that an endpoint was added, restarted, drains, stopped,
	// turned cold or changed its group.
	Changed
)

// Put merges a record. If two endpoints report the same address, the one that started
// later owns it.
func (table *Table) Put(record Record) Update {
	current, ok := table.records[record.ID]
	if !ok {
		current = &entry{}
	}
	if record.Gone && record.Born == 0 && record.EndedAt == 0 {
		// The message names no incarnation, so it ends every start before its receipt, also
		// one whose heartbeats are still on their way. Starts and receipts are Unix times.
		record.EndedAt = max(record.ReceivedAt-1, current.Born)
	}
	if ok && !newer(record, current.Record) {
		return Stale
	}
	if record.Gone && record.Born < current.Born {
		record = current.withEnd(record)
	}
	record.FirstAt = record.ReceivedAt
	if ok && current.Born == record.Born {
		record.FirstAt = current.FirstAt
		record.Draining = record.Draining || current.Draining
		record.Gone = record.Gone || current.Gone
		if record.Address == "" {
			record.Service, record.Address, record.Zone = current.Service, current.Address, current.Zone
			record.Slots, record.Group = current.Slots, current.Group
			record.ColdUntil, record.ColdUnstated = current.ColdUntil, current.ColdUnstated
		}
	}
	// An end is kept also if the address belongs to another endpoint by now.
	isEnd := record.Gone
	if !table.takeAddress(&record) && !ok && !isEnd {
		return Stale
	}
	table.position++
	table.records[record.ID] = &entry{Record: record, position: table.position}
	if ok && same(current.Record, record) && !turnsCold(current.Record, record) {
		return Refreshed
	}
	return Changed
}

// withEnd returns the record after a final message whose sender knew only earlier starts of
// the endpoint, or none.
func (record Record) withEnd(final Record) Record {
	record.Gone, record.EndedAt, record.ReceivedAt = true, final.EndedAt, final.ReceivedAt
	return record
}

// takeAddress assigns the address to the record and marks its previous owner as gone.
// If that owner started later, it keeps the address, also when it is gone itself, and the
// record is marked as gone instead. takeAddress reports whether no later owner keeps the
// address.
func (table *Table) takeAddress(record *Record) bool {
	if record.Address == "" {
		return true
	}
	holder, ok := table.records[table.byAddress[record.Address]]
	if !ok || holder.ID == record.ID {
		table.byAddress[record.Address] = record.ID
		return true
	}
	if holder.Born > record.Born || record.Gone && holder.Born == record.Born {
		record.Gone = true
		return false
	}
	if !holder.Gone {
		holder.Gone = true
		table.position++
		holder.position = table.position
	}
	table.byAddress[record.Address] = record.ID
	return true
}

// lastStart returns the latest start of the endpoint that the record covers.
func (record Record) lastStart() clock.Millis { return max(record.Born, record.EndedAt) }

// Covers reports whether the record tells the end of all starts that another record of the
// endpoint tells the end of.
func (record Record) Covers(other Record) bool {
	return record.lastStart() >= other.lastStart() && (record.Gone || record.Draining && !other.Gone)
}

// newer reports whether a record supersedes the current one.
func newer(record, current Record) bool {
	switch {
	case record.lastStart() != current.lastStart():
		return record.lastStart() > current.lastStart()
	case record.Gone != current.Gone:
		return record.Gone
	case record.Gone:
		// Another process knows where the endpoint was.
		return record.Address != "" && current.Address == ""
	}
	return record.Sequence > current.Sequence
}

// same reports whether two records differ only in fields that every heartbeat changes.
func same(first, second Record) bool {
	first.Sequence, first.ReceivedAt, first.FirstAt = second.Sequence, second.ReceivedAt, second.FirstAt
	first.ColdUntil, first.ColdUnstated = second.ColdUntil, second.ColdUnstated
	return first == second
}

// turnsCold reports whether an endpoint that was at full speed became cold.
func turnsCold(current, record Record) bool {
	return current.ColdUntil <= record.ReceivedAt && record.ColdUntil > record.ReceivedAt
}

// Since returns the records updated after a position.
func (table *Table) Since(position uint64) []Record {
	var list []Record
	for _, entry := range table.records {
		if entry.position > position {
			list = append(list, entry.Record)
		}
	}
	return list
}

// Usable returns the endpoints of a service that accept new work.
func (table *Table) Usable(service string) []Record {
	return table.list(service, Record.Usable)
}

// Present returns the endpoints of a service that are not gone, including silent ones
// until they expire.
func (table *Table) Present(service string) []Record {
	return table.list(service, func(record Record) bool { return !record.Gone })
}

// Group returns the latest epoch of a group that one of its ranks reported, or the given
// group if none reported a later one.
func (table *Table) Group(service string, latest Group) Group {
	for _, entry := range table.records {
		if reported := entry.Group; entry.Service == service && !entry.Gone && reported.Name == latest.Name && reported.Epoch > latest.Epoch {
			latest = reported
		}
	}
	return latest
}

func (table *Table) list(service string, matches func(Record) bool) []Record {
	var list []Record
	for _, entry := range table.records {
		if entry.Service == service && matches(entry.Record) {
			list = append(list, entry.Record)
		}
	}
	return list
}

// Expire removes endpoints whose last message is older than TombstoneLifetime.
func (table *Table) Expire(now clock.Millis) {
	for id, entry := range table.records {
		if now-entry.ReceivedAt <= TombstoneLifetime {
			continue
		}
		if table.byAddress[entry.Address] == id {
			delete(table.byAddress, entry.Address)
		}
		delete(table.records, id)
	}
}
