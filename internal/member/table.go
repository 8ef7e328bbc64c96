// Package member keeps what processes announce about themselves. There is no
// list of endpoints: whoever has not announced itself within its lifetime is gone.
package member

import (
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Observed tells what an announcement did to the table.
type Observed int

// Results of Observe.
const (
	// Dropped means that a later announcement or incarnation is known.
	Dropped Observed = iota
	// Refreshed means that the node was known.
	Refreshed
	// Joined means that the node or its incarnation is new.
	Joined
	// Incomplete means that a brief announcement is about an unknown incarnation.
	Incomplete
)

// Table holds announcements by node until they expire. Announcements in the
// table are never modified.
type Table struct {
	// mu guards the fields below. It is never held while another lock is taken.
	mu      sync.RWMutex
	nodes   map[string]known
	version uint64
}

type known struct {
	announcement *wire.Announcement
	expires      clock.Millis
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{nodes: map[string]known{}}
}

// Observe takes an announcement.
func (table *Table) Observe(announcement *wire.Announcement, now clock.Millis) Observed {
	table.mu.Lock()
	defer table.mu.Unlock()
	old, exists := table.nodes[announcement.GetNode()]
	same := exists && old.announcement.GetIncarnation() == announcement.GetIncarnation()
	if same && old.announcement.GetSequence() >= announcement.GetSequence() {
		return Dropped
	}
	// Peers may still pass on records of a process that was restarted.
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
	table.nodes[announcement.GetNode()] = known{
		announcement: announcement,
		expires:      now + clock.Millis(announcement.GetLifetime()),
	}
	if same {
		return Refreshed
	}
	return Joined
}

// merge completes a brief announcement by what is known of the incarnation.
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

// Brief returns an announcement without what the receiver knows of the incarnation.
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
	var gone []*wire.Announcement
	for name, node := range table.nodes {
		if node.expires <= now {
			gone = append(gone, node.announcement)
			delete(table.nodes, name)
		}
	}
	if len(gone) > 0 {
		table.version++
	}
	return gone
}

// Remove drops a node if it is still at the incarnation.
func (table *Table) Remove(node string, incarnation uint64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.nodes[node].announcement.GetIncarnation() == incarnation {
		delete(table.nodes, node)
		table.version++
	}
}

// Version changes when a node comes, goes, or changes its state or engines; it
// does not change with their load.
func (table *Table) Version() uint64 {
	table.mu.RLock()
	defer table.mu.RUnlock()
	return table.version
}

// Role returns the nodes of a role, by name.
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

// Records returns the nodes of a role for passing on to peers, with the rest of
// their lifetime. The whole lifetime would let peers revive each other's records
// of a dead node for ever.
func (table *Table) Records(role wire.NodeRole, now clock.Millis) []*wire.Announcement {
	list := table.Role(role)
	table.mu.RLock()
	defer table.mu.RUnlock()
	records := make([]*wire.Announcement, 0, len(list))
	for _, announcement := range list {
		left := table.nodes[announcement.GetNode()].expires - now
		if left <= 0 {
			continue
		}
		record := proto.CloneOf(announcement)
		record.Lifetime = int64(left)
		records = append(records, record)
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
