// Package plan defines the configuration of request forwarding as an immutable value:
// routes, services, customers and limits. It does no I/O. The gateway process uses it,
// and on control VMs the coordinator of the expert maps.
package plan

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Kind determines whether and how a request may be retried.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by an event stream.
	Streaming
)

// Share is a service of a route and its weight in the traffic split.
type Share struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix and defines how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to the end of its response.
	Timeout clock.Millis
	// Objective is the latency objective: the time to the response, or to the first
	// event of a stream, within which a request counts as on time.
	Objective clock.Millis
	// MaxPause is the objective for the longest pause between events of a stream.
	MaxPause clock.Millis
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// Attempts is the maximum number of attempts that may run.
	Attempts int
	// Keyless routes serve requests without a customer's key.
	Keyless bool
	// Resumable streams can be resumed after the last event that the caller received.
	Resumable bool
	// Generates is set when the requests contain a prompt for a model engine. Nothing
	// reads it yet.
	Generates bool
}

// Repeatable reports whether a request may run more than once.
func (route Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Streaming && route.Resumable
}

// Engine describes the capacity and speed of a service's model engines. Nothing reads
// KVTokens, Stride, ReadTokensPerS, UsualPrompt, UsualAnswer and FormTime yet.
type Engine struct {
	// RequestSlots is the number of requests that an engine can run at a time.
	RequestSlots int
	// KVTokens is the capacity of the KV cache, in tokens.
	KVTokens int
	// Stride is the number of token steps in one pass over the batch.
	Stride int
	// StepMillis is the fixed part of a token step, PerSequenceMillis the part for each
	// sequence in the batch.
	StepMillis        float64
	PerSequenceMillis float64
	// ReadTokensPerS is the speed of the prefill, in prompt tokens per second.
	ReadTokensPerS float64
	// UsualPrompt and UsualAnswer are the mean sizes of prompts and answers, in tokens.
	UsualPrompt int
	UsualAnswer int
	// Layers, Experts, ExpertSlotsPerRank and Spare describe the expert map of a group:
	// the number of layers with experts, of experts per layer, of expert slots per rank
	// and layer, and of spare slots. The document calls them sets, experts, places and
	// spare.
	Layers, Experts, ExpertSlotsPerRank, Spare int
	// ExpertShare is the share of a pass that grows with the load of the busiest rank.
	ExpertShare float64
	// CopyMillis is the time in which a rank copies one expert; 0 when it is unknown.
	CopyMillis float64
	// FormTime is the time from when all ranks are available until the group accepts
	// work.
	FormTime clock.Millis
}

// Service is a set of interchangeable endpoints. Nothing reads HealthPath and MaxConns
// yet. Engine is nil for a service without model engines.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine
	// ColdTime is how long an endpoint is cold after its start. ColdRate is the number of
	// requests a second that it takes meanwhile from all gateways together; 0 for no limit.
	ColdTime clock.Millis
	ColdRate float64
}

// Customer owns API keys. Its priority, if set, takes precedence over the route's; 0 is
// the most urgent.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits bound the header and body sizes of requests, in bytes, and the idle time of
// connections. Idle is not read yet.
type Limits struct {
	Header int
	Body   int
	Idle   clock.Millis
}

// hostRoutes holds the routes of a host by prefix. A configuration may have many thousands
// of them, and each version is validated before it is acknowledged and put in force.
type hostRoutes struct {
	byPrefix map[string]Route
	// lengths lists the lengths of the prefixes, the longest first.
	lengths []int
}

// Plan is one version of the configuration. Its contents must not be modified.
type Plan struct {
	version   uint64
	limits    Limits
	byHost    map[string]*hostRoutes
	services  map[string]Service
	keys      map[string]Customer
	customers int
}

// New validates the parts of a configuration and returns it.
func New(version uint64, routes []Route, services []Service, customers []Customer, limits Limits) (*Plan, error) {
	built := &Plan{
		version: version, limits: limits, byHost: map[string]*hostRoutes{}, services: map[string]Service{},
		keys: map[string]Customer{}, customers: len(customers),
	}
	for _, service := range services {
		built.services[service.Name] = service
	}
	for _, route := range routes {
		if err := built.add(route); err != nil {
			return nil, err
		}
	}
	for _, routes := range built.byHost {
		for prefix := range routes.byPrefix {
			routes.lengths = append(routes.lengths, len(prefix))
		}
		slices.SortFunc(routes.lengths, func(first, second int) int { return second - first })
		routes.lengths = slices.Compact(routes.lengths)
	}
	for _, customer := range customers {
		for _, key := range customer.Keys {
			if owner, ok := built.keys[key]; ok && owner.Name != customer.Name {
				return nil, errors.Newf("customers %q and %q share a key", owner.Name, customer.Name)
			}
			built.keys[key] = customer
		}
	}
	return built, nil
}

// add validates a route and adds it.
func (plan *Plan) add(route Route) error {
	if route.Timeout <= 0 {
		return errors.Newf("route %q: the timeout is %d ms; allowed is 1 ms or more", route.Name, int64(route.Timeout))
	}
	total := 0.0
	for _, share := range route.Shares {
		if _, ok := plan.services[share.Service]; !ok {
			return errors.Newf("route %q: there is no service %q", route.Name, share.Service)
		}
		if share.Weight < 0 {
			return errors.Newf("route %q: the weight of service %q is %g; allowed is 0 or more", route.Name, share.Service, share.Weight)
		}
		total += share.Weight
	}
	if total <= 0 {
		return errors.Newf("route %q: the weights of its services add up to 0", route.Name)
	}
	host := strings.ToLower(route.Host)
	routes := plan.byHost[host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: map[string]Route{}}
		plan.byHost[host] = routes
	}
	if other, ok := routes.byPrefix[route.Prefix]; ok {
		return errors.Newf("routes %q and %q have the same host and prefix", other.Name, route.Name)
	}
	routes.byPrefix[route.Prefix] = route
	return nil
}

// Version returns the version number set by the operator.
func (plan *Plan) Version() uint64 { return plan.version }

// Limits returns the limits on requests.
func (plan *Plan) Limits() Limits { return plan.limits }

// Route returns the route of the host with the longest prefix of a path.
func (plan *Plan) Route(host, path string) (Route, bool) {
	routes := plan.byHost[strings.ToLower(host)]
	if routes == nil {
		return Route{}, false
	}
	for _, length := range routes.lengths {
		if length > len(path) {
			continue
		}
		if route, ok := routes.byPrefix[path[:length]]; ok {
			return route, true
		}
	}
	return Route{}, false
}

// Service returns a service by name.
func (plan *Plan) Service(name string) (Service, bool) {
	service, ok := plan.services[name]
	return service, ok
}

// MaxPause returns the strictest objective for the longest pause among the routes of
// streams that a service serves; 0 for none.
func (plan *Plan) MaxPause(service string) clock.Millis {
	strictest := clock.Millis(0)
	for _, routes := range plan.byHost {
		for _, route := range routes.byPrefix {
			serves := slices.ContainsFunc(route.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
			if serves && route.Kind == Streaming && route.MaxPause > 0 && (strictest == 0 || route.MaxPause < strictest) {
				strictest = route.MaxPause
			}
		}
	}
	return strictest
}

// Services returns all services, ordered by name.
func (plan *Plan) Services() []Service {
	list := make([]Service, 0, len(plan.services))
	for _, name := range slices.Sorted(maps.Keys(plan.services)) {
		list = append(list, plan.services[name])
	}
	return list
}

// HasCustomers reports whether the configuration has customers, so that requests
// need a key.
func (plan *Plan) HasCustomers() bool { return plan.customers > 0 }

// ByKey returns the customer that owns a key.
func (plan *Plan) ByKey(key string) (Customer, bool) {
	customer, ok := plan.keys[key]
	return customer, ok
}
