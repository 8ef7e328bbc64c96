package entry

import (
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/internal/tables"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// serveMetrics registers this entry VM's metrics and serves them.
func (entry *Entry) serveMetrics() error {
	entry.meter = meter.New(entry.settings.Node, "entry", entry.view)
	entry.flights.requests = entry.meter.Counter(meter.Requests)
	entry.flights.attempts = entry.meter.Counter(meter.Attempts)
	entry.meter.Gauge(meter.InFlight, func() any { return entry.flights.count() })
	entry.meter.Gauge(meter.Members, func() any { return entry.memberCounts() })
	entry.meter.Control(entry.pool, entry.server)
	entry.meter.Bound(entry.guard)
	return entry.meter.Serve(entry.settings.Node.MetricsListen)
}

// memberCounts returns the number of known entry VMs and endpoint processes, by role.
func (entry *Entry) memberCounts() map[string]int {
	counts := map[string]int{}
	for _, role := range []wire.NodeRole{wire.NodeRole_NODE_ROLE_ENTRY, wire.NodeRole_NODE_ROLE_ENDPOINT} {
		counts[tables.Word(role)] = len(entry.members.Role(role))
	}
	return counts
}
