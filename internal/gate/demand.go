package gate

import (
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/shed"
)

// use identifies the streams of one level at a service.
type use struct {
	service string
	level   int
}

// countUse counts a stream at an endpoint until the function that it returns is called.
func (gateway *Gateway) countUse(call *call) func() {
	if call.route.Kind != plan.Streaming {
		return func() {}
	}
	counted := use{call.service.Name, shed.Level(call.urgency, call.route.Priority)}
	gateway.addUse(counted, 1)
	return func() { gateway.addUse(counted, -1) }
}

func (gateway *Gateway) addUse(counted use, change int) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.uses[counted] += change; gateway.uses[counted] == 0 {
		delete(gateway.uses, counted)
	}
}

// reserved returns the number of slots of a service that are kept free for streams that
// are more urgent. The caller holds mu.
func (gateway *Gateway) reserved(service string, others []shed.Use, level int) int {
	uses := others[:len(others):len(others)]
	for counted, streams := range gateway.uses {
		if counted.service == service {
			uses = append(uses, shed.Use{Level: counted.level, Streams: streams})
		}
	}
	demand := gateway.demands[service].With(uses, gateway.waits[service].Duration(), gateway.clock.Now())
	gateway.demands[service] = demand
	return demand.Reserved(level)
}
