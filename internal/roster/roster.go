// Package roster holds what endpoints last said of themselves. It is pure.
package roster

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// tombstone is how long an endpoint that has left is remembered, so that a
// late message does not bring it back. Messages are seconds late at most.
const tombstone = 2 * clock.Minute

// Group is an endpoint's place in a group of ranks.
type Group struct {
	Name   string
	Epoch  uint64
	Rank   int
	Size   int
	Broken bool
}

// Record is one incarnation of an endpoint.
type Record struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Born is the instant of its start by its own clock.
	Born clock.Millis
	// Sequence orders its messages since its start.
	Sequence uint64
	// Draining and Gone stay set until it starts again.
	Draining bool
	Gone     bool
	Slots    int
	Group    Group
	// Heard is when the message arrived at a control VM.
	Heard clock.Millis
	// ColdUntil is when it reaches its full speed.
	ColdUntil clock.Millis
}

// Usable tells whether the endpoint takes new work.
func (record Record) Usable() bool { return !record.Draining && !record.Gone && record.Address != "" }

type entry struct {
	Record
	position uint64
}

// Table holds the records by id. It is not safe for concurrent use.
type Table struct {
	records map[string]*entry
	// byAddress is the id of the newest incarnation at each address.
	byAddress map[string]string
	position  uint64
}

// New returns an empty table.
func New() *Table { return &Table{records: map[string]*entry{}, byAddress: map[string]string{}} }

// Position returns the number of updates so far.
func (table *Table) Position() uint64 { return table.position }

// Get returns a record by id.
func (table *Table) Get(id string) (Record, bool) {
	known, ok := table.records[id]
	if !ok {
		return Record{}, false
	}
	return known.Record, true
}

// Update is what a message changed.
type Update int

// Updates, from none to one that decides where work may go.
const (
	// Stale is a message that arrived after a later one.
	Stale Update = iota
	// Refreshed shows only that the endpoint is alive.
	Refreshed
	// Changed is a new endpoint, or one that started, drains, left or regrouped.
	Changed
)

// Put merges a record. Of two incarnations at one address the one born later
// holds it.
func (table *Table) Put(record Record) Update {
	known, ok := table.records[record.ID]
	if ok && record.Gone && record.Born == 0 {
		// A farewell may leave out which start of the endpoint it ends.
		record.Born, record.Sequence = known.Born, known.Sequence
	}
	if ok && !newer(record, known.Record) {
		return Stale
	}
	if ok && known.Born == record.Born {
		record.Draining = record.Draining || known.Draining
		record.Gone = record.Gone || known.Gone
		if record.Address == "" {
			record.Service, record.Address, record.Zone = known.Service, known.Address, known.Zone
			record.Slots, record.Group, record.ColdUntil = known.Slots, known.Group, known.ColdUntil
		}
	}
	if !table.claim(&record) && !ok {
		return Stale
	}
	table.position++
	table.records[record.ID] = &entry{Record: record, position: table.position}
	if ok && same(known.Record, record) {
		return Refreshed
	}
	return Changed
}

// claim gives the address to the record, unless a later incarnation holds it;
// then the record's endpoint has ended.
func (table *Table) claim(record *Record) bool {
	holder, ok := table.records[table.byAddress[record.Address]]
	if record.Address == "" || record.Gone || !ok || holder.ID == record.ID {
		if record.Address != "" && !record.Gone {
			table.byAddress[record.Address] = record.ID
		}
		return true
	}
	if holder.Born > record.Born && !holder.Gone {
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

func newer(record, known Record) bool {
	switch {
	case record.Born != known.Born:
		return record.Born > known.Born
	case record.Gone != known.Gone:
		return record.Gone
	}
	return record.Sequence > known.Sequence
}

func same(first, second Record) bool {
	first.Sequence, first.Heard, first.ColdUntil = second.Sequence, second.Heard, second.ColdUntil
	return first == second
}

// Since returns the records updated after a position.
func (table *Table) Since(position uint64) []Record {
	var list []Record
	for _, known := range table.records {
		if known.position > position {
			list = append(list, known.Record)
		}
	}
	return list
}

// Usable returns the endpoints of a service that take new work.
func (table *Table) Usable(service string) []Record {
	return table.list(service, Record.Usable)
}

// Present returns the endpoints of a service that are not gone.
func (table *Table) Present(service string) []Record {
	return table.list(service, func(record Record) bool { return !record.Gone })
}

// Group returns the latest epoch of a group that one of its ranks has told, or
// the group as known when none tells more.
func (table *Table) Group(service string, known Group) Group {
	for _, entry := range table.records {
		if told := entry.Group; entry.Service == service && !entry.Gone && told.Name == known.Name && told.Epoch > known.Epoch {
			known = told
		}
	}
	return known
}

func (table *Table) list(service string, fits func(Record) bool) []Record {
	var list []Record
	for _, known := range table.records {
		if known.Service == service && fits(known.Record) {
			list = append(list, known.Record)
		}
	}
	return list
}

// Expire forgets endpoints that left or fell silent long ago.
func (table *Table) Expire(now clock.Millis) {
	for id, known := range table.records {
		if now-known.Heard <= tombstone {
			continue
		}
		if table.byAddress[known.Address] == id {
			delete(table.byAddress, known.Address)
		}
		delete(table.records, id)
	}
}
