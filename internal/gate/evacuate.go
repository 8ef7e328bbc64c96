package gate

import (
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/roster"
)

// errEvacuated is returned for a request that was not sent because the zone of its
// endpoint was evacuated after the endpoint had been chosen.
var errEvacuated = errors.New("the zone of the endpoint is evacuated")

// isEvacuated reports whether an endpoint gets no requests because its zone is evacuated.
func (gateway *Gateway) isEvacuated(endpoint roster.Record) bool {
	return gateway.view.State().IsEvacuated(endpoint.Zone)
}

// unusableReason returns why no endpoint can be chosen.
func (forwarder *forwarder) unusableReason() string {
	records := forwarder.gateway.poller.Endpoints(forwarder.service.Name)
	for _, record := range records {
		if !forwarder.gateway.isEvacuated(record) {
			return "no endpoint takes the request"
		}
	}
	if len(records) == 0 {
		return "no endpoint takes the request"
	}
	return "the zones of all endpoints are evacuated"
}

// noteEvacuations records the zones whose evacuation has ended since the last call, so
// that their endpoints count as cold.
func (gateway *Gateway) noteEvacuations() {
	for _, record := range gateway.view.State().Evacuations() {
		zone := record.GetZone()
		if wasActive := gateway.evacuated[zone]; wasActive && !record.GetActive() {
			gateway.EvacuationEnded(zone, gateway.clock.Now())
		}
		gateway.evacuated[zone] = record.GetActive()
	}
}
