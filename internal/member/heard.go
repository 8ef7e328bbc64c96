package member

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

// Heard returns the time since a node's latest announcement arrived.
func (table *Table) Heard(name string, now clock.Millis) clock.Millis {
	table.mu.RLock()
	defer table.mu.RUnlock()
	node, ok := table.nodes[name]
	if !ok {
		return 0
	}
	return max(now-node.expires+clock.Millis(node.announcement.GetLifetime()), 0)
}
