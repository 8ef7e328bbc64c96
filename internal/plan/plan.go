// Package plan is the configuration of request forwarding: routes, services,
// customers and limits, as an immutable value. It is pure.
package plan

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Kind tells what may be repeated of a request.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	Idempotent
	// Streaming answers are event streams.
	Streaming
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route selects requests by host and path prefix and tells how to serve them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to its final answer.
	Timeout clock.Millis
	// Objective is the time to the answer, or to the first event of a stream,
	// within which a request earns its full credit.
	Objective clock.Millis
	// Gap is the longest pause between events of a stream that is still on time.
	Gap       clock.Millis
	Priority  int
	Shares    []Share
	Attempts  int
	Keyless   bool
	Resumable bool
	// Generates is set when requests describe a prompt for a model engine.
	Generates bool
}

// Repeatable tells whether a request may run more than once.
func (route Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Streaming && route.Resumable
}

// Engine is the speed and size of the model engines of a service.
type Engine struct {
	Slots int
	// KVTokens is the memory for prompts and answers, in tokens.
	KVTokens int
	// Stride is the number of token steps in one pass of the batch.
	Stride int
	// StepMillis and PerSequenceMillis make up the length of one token step.
	StepMillis        float64
	PerSequenceMillis float64
	ReadTokensPerS    float64
	// UsualPrompt and UsualAnswer are mean sizes, in tokens.
	UsualPrompt int
	UsualAnswer int
	// Sets, Experts, Places and Spare describe the expert map of the group.
	Sets, Experts, Places, Spare int
	ExpertShare                  float64
	// CopyMillis is how long a rank copies one expert; 0 when that is not known.
	CopyMillis float64
	// FormTime is how long a group takes to open once all ranks are back.
	FormTime clock.Millis
}

// Service is a set of endpoints that run the same work.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine
}

// Customer holds keys. Priority, when set, takes precedence over the route's.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	Header int
	Body   int
	Idle   clock.Millis
}

// Plan is one version of the configuration. Its contents must not be modified.
type Plan struct {
	version   uint64
	limits    Limits
	byHost    map[string][]Route
	services  map[string]Service
	keys      map[string]Customer
	customers int
}

// New checks the parts of a configuration and returns it.
func New(version uint64, routes []Route, services []Service, customers []Customer, limits Limits) (*Plan, error) {
	made := &Plan{
		version: version, limits: limits, byHost: map[string][]Route{}, services: map[string]Service{},
		keys: map[string]Customer{}, customers: len(customers),
	}
	for _, service := range services {
		made.services[service.Name] = service
	}
	for _, route := range routes {
		if err := made.add(route); err != nil {
			return nil, err
		}
	}
	for _, list := range made.byHost {
		slices.SortStableFunc(list, func(first, second Route) int { return len(second.Prefix) - len(first.Prefix) })
	}
	for _, customer := range customers {
		for _, key := range customer.Keys {
			if owner, ok := made.keys[key]; ok && owner.Name != customer.Name {
				return nil, errors.Newf("customers %q and %q share a key", owner.Name, customer.Name)
			}
			made.keys[key] = customer
		}
	}
	return made, nil
}

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
	for _, other := range plan.byHost[host] {
		if other.Prefix == route.Prefix {
			return errors.Newf("routes %q and %q have the same host and prefix", other.Name, route.Name)
		}
	}
	plan.byHost[host] = append(plan.byHost[host], route)
	return nil
}

// Version returns the number that the operator gave.
func (plan *Plan) Version() uint64 { return plan.version }

// Limits returns the limits on callers.
func (plan *Plan) Limits() Limits { return plan.limits }

// Route returns the route of the longest prefix that begins a path.
func (plan *Plan) Route(host, path string) (Route, bool) {
	for _, route := range plan.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
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

// Services returns all services, ordered by name.
func (plan *Plan) Services() []Service {
	list := make([]Service, 0, len(plan.services))
	for _, name := range slices.Sorted(maps.Keys(plan.services)) {
		list = append(list, plan.services[name])
	}
	return list
}

// HasCustomers tells whether requests need a key.
func (plan *Plan) HasCustomers() bool { return plan.customers > 0 }

// ByKey returns the customer that holds a key.
func (plan *Plan) ByKey(key string) (Customer, bool) {
	customer, ok := plan.keys[key]
	return customer, ok
}
