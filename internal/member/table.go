// Package member keeps the announcements that processes send about themselves.
// There is no configured list of endpoints: a process that has not announced
// itself within its lifetime is no longer a member. Endpoint processes announce
// themselves; the entry process keeps the table.
package member

import (
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Observed is the effect of an announcement on the table.
type Observed int

// Results of Observe.
const (
	// Dropped means that the table has the same or a later announcement or
	// incarnation.
	Dropped Observed = iota
	// Refreshed means that the table already had the node's incarnation.
	Refreshed
	// Joined means that the node or its incarnation is new.
	Joined
	// Incomplete means that the announcement is brief and its incarnation unknown.
	Incomplete
)

// Table holds announcements by node until they expire. Announcements in the
// table are never modified.
type Table struct {
	// mu guards the fields below. No other lock is acquired while it is held.
	mu      sync.RWMutex
	nodes   map[string]record
	version uint64
}

// record is the latest announcement of a node.
type record struct {
	announcement *wire.Announcement
	expires      clock.Millis
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{nodes: map[string]record{}}
}

// Observe adds an announcement to the table.
func (table *Table) Observe(announcement *wire.Announcement, now clock.Millis) Observed {
	table.mu.Lock()
	defer table.mu.Unlock()
	old, exists := table.nodes[announcement.GetNode()]
	same := exists && old.announcement.GetIncarnation() == announcement.GetIncarnation()
	if same && old.announcement.GetSequence() >= announcement.GetSequence() {
		return Dropped
	}
	// Peers may still forward records of a process that was restarted.
	if exists && old.announcement.GetIncarnation() > announcement.GetIncarnation() {
		return Dropped
	}
	if announcement.GetBrief() {
		if !same {
			return Incomplete
		}
		announcement = merge(old.announcement, announcement)
	}
	if !same || old.announcement.GetState() != announcement.GetState() || !sameEngines(old.announcement, announcement) {
		table.version++
	}
	table.nodes[announcement.GetNode()] = record{
		announcement: announcement,
		expires:      now + clock.Millis(announcement.GetLifetime()),
	}
	if same {
		return Refreshed
	}
	return Joined
}

// merge completes a brief announcement with the earlier record of the
// incarnation.
func merge(old, brief *wire.Announcement) *wire.Announcement {
	full := proto.CloneOf(old)
	full.Sequence, full.Lifetime, full.State = brief.GetSequence(), brief.GetLifetime(), brief.GetState()
	full.Revision, full.RevisionAge = brief.GetRevision(), brief.GetRevisionAge()
	loads := make(map[string]*wire.EngineLoad, len(brief.GetEngines()))
	for _, engine := range brief.GetEngines() {
		loads[engine.GetLoad().GetEngine()] = engine.GetLoad()
	}
	for _, engine := range full.GetEngines() {
		if load, ok := loads[engine.GetName()]; ok {
			engine.Load = load
		}
	}
	return full
}

func sameEngines(first, second *wire.Announcement) bool {
	return slices.EqualFunc(first.GetEngines(), second.GetEngines(), func(left, right *wire.EngineInfo) bool {
		return left.GetName() == right.GetName() && left.GetKind() == right.GetKind() &&
			left.GetService() == right.GetService() && slices.Equal(left.GetModels(), right.GetModels())
	})
}

// Brief returns an announcement without the fields that a receiver already has
// from the full announcement of the incarnation.
func Brief(full *wire.Announcement) *wire.Announcement {
	brief := &wire.Announcement{
		Node: full.GetNode(), Incarnation: full.GetIncarnation(), Sequence: full.GetSequence(), State: full.GetState(),
		Lifetime: full.GetLifetime(), Revision: full.GetRevision(), RevisionAge: full.GetRevisionAge(),
		PeersVersion: full.GetPeersVersion(), Brief: true,
	}
	for _, engine := range full.GetEngines() {
		brief.Engines = append(brief.Engines, &wire.EngineInfo{Load: engine.GetLoad()})
	}
	return brief
}

// Expire removes nodes whose lifetime has ended and returns them.
func (table *Table) Expire(now clock.Millis) []*wire.Announcement {
	table.mu.Lock()
	defer table.mu.Unlock()
	var expired []*wire.Announcement
	for name, node := range table.nodes {
		if node.expires <= now {
			expired = append(expired, node.announcement)
			delete(table.nodes, name)
		}
	}
	if len(expired) > 0 {
		table.version++
	}
	return expired
}

// Remove removes a node if the table still has it at the given incarnation.
func (table *Table) Remove(node string, incarnation uint64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.nodes[node].announcement.GetIncarnation() == incarnation {
		delete(table.nodes, node)
		table.version++
	}
}

// Version returns a number that changes when a node is added, removed, or
// changes its state or engines. It does not change with the load of engines.
func (table *Table) Version() uint64 {
	table.mu.RLock()
	defer table.mu.RUnlock()
	return table.version
}

// Role returns the nodes of a role, sorted by name.
func (table *Table) Role(role wire.NodeRole) []*wire.Announcement {
	table.mu.RLock()
	defer table.mu.RUnlock()
	var list []*wire.Announcement
	for _, node := range table.nodes {
		if node.announcement.GetRole() == role {
			list = append(list, node.announcement)
		}
	}
	slices.SortFunc(list, func(first, second *wire.Announcement) int {
		return strings.Compare(first.GetNode(), second.GetNode())
	})
	return list
}

// Records returns the nodes of a role to forward to peers, with their remaining
// lifetime. With the full lifetime peers would keep renewing each other's
// records of a dead node indefinitely.
func (table *Table) Records(role wire.NodeRole, now clock.Millis) []*wire.Announcement {
	list := table.Role(role)
	table.mu.RLock()
	defer table.mu.RUnlock()
	records := make([]*wire.Announcement, 0, len(list))
	for _, announcement := range list {
		remaining := table.nodes[announcement.GetNode()].expires - now
		if remaining <= 0 {
			continue
		}
		forwarded := proto.CloneOf(announcement)
		forwarded.Lifetime = int64(remaining)
		records = append(records, forwarded)
	}
	return records
}

// Count returns the number of nodes of a role.
func (table *Table) Count(role wire.NodeRole) int {
	table.mu.RLock()
	defer table.mu.RUnlock()
	count := 0
	for _, node := range table.nodes {
		if node.announcement.GetRole() == role {
			count++
		}
	}
	return count
}

// Node returns the announcement of a node.
func (table *Table) Node(name string) (*wire.Announcement, bool) {
	table.mu.RLock()
	defer table.mu.RUnlock()
	node, ok := table.nodes[name]
	return node.announcement, ok
}
