package member

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

// SinceAnnouncement returns the time since a node's latest announcement arrived,
// or zero for an unknown node.
func (table *Table) SinceAnnouncement(name string, now clock.Millis) clock.Millis {
	table.mu.RLock()
	defer table.mu.RUnlock()
	node, ok := table.nodes[name]
	if !ok {
		return 0
	}
	return max(now-node.expires+clock.Millis(node.announcement.GetLifetime()), 0)
}
