package gate

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hibiscuslug/hibiscuslug/internal/cold"
	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// coldLogInterval is the minimum time between log lines that count requests kept from
// cold endpoints.
const coldLogInterval = clock.Second

// Outcomes of requests that were kept from cold endpoints.
const (
	deniedElsewhere = "elsewhere"
	deniedRefused   = "refused"
)

// coldState returns whether an endpoint gets requests at the rate for cold ones. No
// endpoint does if its service states no such rate.
func (gateway *Gateway) coldState(service plan.Service, record roster.Record) cold.State {
	if service.ColdRate <= 0 {
		return cold.State{}
	}
	gateway.mu.Lock()
	table := gateway.cold
	gateway.mu.Unlock()
	return table.State(record, service.ColdTime, gateway.clock.Now())
}

// limitsOf returns the limits of an endpoint: the one that it names and that of a cold
// endpoint.
func (gateway *Gateway) limitsOf(service plan.Service, record roster.Record) []quota.Limit {
	var limits []quota.Limit
	if limit, ok := gateway.board.Limit(endpointKey(record)); ok {
		limits = append(limits, limit)
	}
	if gateway.coldState(service, record).IsCold {
		limits = append(limits, gateway.coldLimit(service, record))
	}
	return limits
}

func (gateway *Gateway) coldLimit(service plan.Service, record roster.Record) quota.Limit {
	limit := quota.NewCold(endpointKey(record), service.ColdRate, gateway.settings.Gateway.ColdOver, gateway.settings.Gateway.ColdSlack)
	limit.At = gateway.clock.Now()
	return limit
}

// hasExpired reports whether the permit for a cold endpoint has expired.
func (forwarder *forwarder) hasExpired() bool {
	return forwarder.coldUntil > 0 && forwarder.gateway.clock.Now() > forwarder.coldUntil
}

// hasCold reports whether endpoints of any service get requests at a rate for cold ones,
// so that it need be known which are cold.
func (gateway *Gateway) hasCold() bool {
	current := gateway.plan.Load()
	if current == nil {
		return false
	}
	for _, service := range current.Services() {
		if service.ColdRate > 0 {
			return true
		}
	}
	return false
}

// recordCold records how long an endpoint stays cold by its answer to a request that was
// sent at the given time; nil if it does not state it.
func (gateway *Gateway) recordCold(endpoint roster.Record, remaining *clock.Millis, sent clock.Millis) {
	if remaining == nil || !gateway.hasCold() {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.cold = gateway.cold.WithAnswer(endpointKey(endpoint), *remaining, sent, gateway.clock.Now())
}

// recordUnreachable records that an endpoint could not be reached, if the error of an
// attempt says so. It may be cold once it can be reached again.
func (gateway *Gateway) recordUnreachable(endpoint roster.Record, err error) {
	isUnreachable := errors.IsAny(err, conns.ErrNotSent, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH)
	if !isUnreachable || !gateway.hasCold() {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.cold = gateway.cold.WithFailure(endpointKey(endpoint), gateway.clock.Now())
}

// EvacuationEnded records that the evacuation of a zone ended at a time of this process's
// clock. Endpoints of the zone got no requests and may be cold.
func (gateway *Gateway) EvacuationEnded(zone string, at clock.Millis) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.cold = gateway.cold.WithEnded(zone, at)
}

// countDenied counts a request that got no permit if a cold endpoint is among those that
// it asked for.
func (gateway *Gateway) countDenied(limits []quota.Limit, goesElsewhere bool) {
	for _, limit := range limits {
		if !limit.Cold {
			continue
		}
		outcome := deniedRefused
		if goesElsewhere {
			outcome = deniedElsewhere
		}
		gateway.denied.Add(outcome)
		gateway.mu.Lock()
		gateway.coldDenied[outcome]++
		gateway.mu.Unlock()
		return
	}
}

// coldEndpoint is an endpoint that gets requests at the rate for cold ones.
type coldEndpoint struct {
	cold.State
	limit quota.Limit
}

// coldEndpoints returns the endpoints that are cold.
func (gateway *Gateway) coldEndpoints() map[quota.Endpoint]coldEndpoint {
	found := map[quota.Endpoint]coldEndpoint{}
	current := gateway.plan.Load()
	if current == nil {
		return found
	}
	for _, service := range current.Services() {
		if service.ColdRate <= 0 {
			continue
		}
		for _, record := range gateway.poller.Endpoints(service.Name) {
			if state := gateway.coldState(service, record); state.IsCold {
				found[endpointKey(record)] = coldEndpoint{State: state, limit: gateway.coldLimit(service, record)}
			}
		}
	}
	return found
}

// logCold logs which endpoints became cold or are no longer, and how many requests were
// kept from cold ones.
func (gateway *Gateway) logCold() {
	found, now := gateway.coldEndpoints(), gateway.clock.Now()
	gateway.mu.Lock()
	logged, denied := gateway.coldLogged, gateway.coldDenied
	isDue := len(denied) > 0 && now-gateway.coldLoggedAt >= coldLogInterval
	gateway.coldLogged = make(map[quota.Endpoint]bool, len(found))
	for endpoint := range found {
		gateway.coldLogged[endpoint] = true
	}
	if isDue {
		gateway.coldDenied, gateway.coldLoggedAt = map[string]int{}, now
	}
	gateway.mu.Unlock()
	for endpoint, state := range found {
		if logged[endpoint] {
			continue
		}
		left := clock.Millis(-1)
		if state.Until > 0 {
			left = state.Until - now
		}
		gateway.log.Write(event.EndpointCold, "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation, "reason", state.Reason, "left", left, "rate", state.limit.Rate)
	}
	for endpoint := range logged {
		if _, ok := found[endpoint]; !ok {
			gateway.log.Write(event.EndpointWarm, "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation)
		}
	}
	if isDue {
		gateway.log.Write(event.RequestsOverCold, deniedRefused, denied[deniedRefused], deniedElsewhere, denied[deniedElsewhere])
	}
}
