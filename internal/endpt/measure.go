package endpt

import (
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// measure registers this endpoint process's metrics and serves them.
func (endpoint *Endpoint) measure() error {
	endpoint.meter = meter.New(endpoint.settings.Node, "endpoint", endpoint.view)
	endpoint.meter.Gauge(meter.QueueLength, func() any { return endpoint.perEngine((*wire.EngineLoad).GetWaiting) })
	endpoint.meter.Gauge(meter.Running, func() any { return endpoint.perEngine((*wire.EngineLoad).GetRunning) })
	endpoint.meter.Control(endpoint.pool)
	endpoint.meter.Bound(endpoint.guard)
	return endpoint.meter.Serve(endpoint.settings.Node.MetricsListen)
}

func (endpoint *Endpoint) perEngine(read func(*wire.EngineLoad) uint32) map[string]uint32 {
	values := map[string]uint32{}
	for name, lane := range endpoint.lanes {
		values[name] = read(lane.info().GetLoad())
	}
	return values
}
