package gate

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/knee"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// estimateLogStep is the relative change of an estimate that is logged.
const estimateLogStep = 0.25

// response is a complete response of an endpoint.
type response struct {
	at, took clock.Millis
}

// recordResponse records a complete response of an endpoint of a service without engines.
// Ranks of a group share one pace, so they are not compared with each other.
func (gateway *Gateway) recordResponse(service plan.Service, endpoint roster.Record, took clock.Millis) {
	if service.Engine != nil {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	now := gateway.clock.Now()
	gateway.responses[endpoint.ID] = append(recent(gateway.responses[endpoint.ID], now), response{now, took})
}

// recent returns the responses that ended within the last window.
func recent(responses []response, now clock.Millis) []response {
	for len(responses) > 0 && now-responses[0].at > knee.Window {
		responses = responses[1:]
	}
	return responses
}

// total returns this gateway's responses of an endpoint within the last window. The caller
// holds mu.
func (gateway *Gateway) total(id string, now clock.Millis) knee.Total {
	remaining := recent(gateway.responses[id], now)
	if len(remaining) == 0 {
		delete(gateway.responses, id)
		return knee.Total{}
	}
	gateway.responses[id] = remaining
	var total knee.Total
	for _, each := range remaining {
		total = total.Plus(knee.Total{Ended: 1, Took: each.took})
	}
	return total
}

// estimates returns the estimates of the endpoints of a service; none for one with engines.
// The caller holds mu.
func (gateway *Gateway) estimates(service plan.Service, records []roster.Record, totals map[string]knee.Total, now clock.Millis) knee.Table {
	if service.Engine != nil {
		return knee.Table{}
	}
	table := gateway.knees[service.Name]
	if !table.IsDue(now) {
		return table
	}
	samples := make([]knee.Sample, 0, len(records))
	for _, record := range records {
		samples = append(samples, knee.Sample{
			Endpoint: endpointKey(record), Slots: record.Slots, Total: gateway.total(record.ID, now).Plus(totals[record.ID]),
		})
	}
	table = table.With(samples, now)
	gateway.knees[service.Name] = table
	return table
}

// updateEstimates updates the estimates of all services, also of those that get few
// requests from this gateway.
func (gateway *Gateway) updateEstimates() {
	current := gateway.plan.Load()
	if current == nil {
		return
	}
	totals, now := gateway.poller.Totals(), gateway.clock.Now()
	for _, service := range current.Services() {
		records := gateway.poller.Endpoints(service.Name)
		gateway.mu.Lock()
		gateway.estimates(service, records, totals, now)
		gateway.mu.Unlock()
	}
}

// slowEndpoints returns the number of endpoints that are estimated to be slower than others
// of their service.
func (gateway *Gateway) slowEndpoints() int {
	slow := 0
	for _, estimate := range gateway.allEstimates() {
		if estimate.Pace > 0 {
			slow++
		}
	}
	return slow
}

func (gateway *Gateway) allEstimates() map[quota.Endpoint]knee.Estimate {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	all := map[quota.Endpoint]knee.Estimate{}
	for _, table := range gateway.knees {
		for endpoint, estimate := range table.All() {
			all[endpoint] = estimate
		}
	}
	return all
}

// logEstimates logs the estimates that changed by more than a quarter since they were last
// logged. The first one of a start is not a change. Only follow calls it.
func (gateway *Gateway) logEstimates() {
	current := gateway.allEstimates()
	for endpoint := range gateway.estimated {
		if _, ok := current[endpoint]; !ok {
			delete(gateway.estimated, endpoint)
		}
	}
	for endpoint, estimate := range current {
		if estimate.Unloaded == 0 && estimate.Pace == 0 {
			continue
		}
		logged, ok := gateway.estimated[endpoint]
		if !ok && estimate.Pace == 0 {
			gateway.estimated[endpoint] = estimate
			continue
		}
		if !differs(logged.Unloaded, estimate.Unloaded) && !differs(logged.Limit, estimate.Limit) && !differs(max(logged.Pace, 1), max(estimate.Pace, 1)) {
			continue
		}
		gateway.estimated[endpoint] = estimate
		gateway.log.Write(event.EstimateChanged, "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation, "unloaded", clock.Millis(estimate.Unloaded),
			"limit", estimate.Limit, "pace", estimate.Pace, "samples", estimate.Samples)
	}
}

func differs(before, after float64) bool {
	return math.Abs(after-before) > estimateLogStep*before
}
