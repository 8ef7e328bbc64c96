// Package member keeps what processes announce about themselves. There is no
// list of endpoints: whoever has not announced itself within its lifetime is gone.
package member

import (
	"slices"
	"strings"
	"sync"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Table holds announcements by node until they expire.
type Table struct {
	// mu guards nodes. It is never held while another lock is taken.
	mu    sync.RWMutex
	nodes map[string]known
}

type known struct {
	announcement *wire.Announcement
	expires      clock.Millis
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{nodes: map[string]known{}}
}

// Observe takes an announcement and tells whether the node is new. An
// announcement that was overtaken by a later one of the same incarnation is dropped.
func (table *Table) Observe(announcement *wire.Announcement, now clock.Millis) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	old, exists := table.nodes[announcement.GetNode()]
	if exists && old.announcement.GetIncarnation() == announcement.GetIncarnation() &&
		old.announcement.GetSequence() >= announcement.GetSequence() {
		return false
	}
	table.nodes[announcement.GetNode()] = known{
		announcement: announcement,
		expires:      now + clock.Millis(announcement.GetLifetime()),
	}
	return !exists || old.announcement.GetIncarnation() != announcement.GetIncarnation()
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
	return gone
}

// Remove drops a node if it is still at the incarnation.
func (table *Table) Remove(node string, incarnation uint64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.nodes[node].announcement.GetIncarnation() == incarnation {
		delete(table.nodes, node)
	}
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

// Node returns the announcement of a node.
func (table *Table) Node(name string) (*wire.Announcement, bool) {
	table.mu.RLock()
	defer table.mu.RUnlock()
	node, ok := table.nodes[name]
	return node.announcement, ok
}
