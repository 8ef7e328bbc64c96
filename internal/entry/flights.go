package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/front"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
)

var errCanceled = errors.New("canceled by an operator")

// flights wraps a router and holds the requests in flight, so that an operator
// can cancel them.
type flights struct {
	router front.Router

	// mu guards running. It is a leaf lock.
	mu      sync.Mutex
	running map[string]flight
}

type flight struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func newFlights(router front.Router) *flights {
	return &flights{router: router, running: map[string]flight{}}
}

// Do runs a call until it ends or is canceled.
func (flights *flights) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	current := flight{cancel: cancel, done: make(chan struct{})}
	flights.mu.Lock()
	flights.running[request.ID] = current
	flights.mu.Unlock()
	defer func() {
		flights.mu.Lock()
		delete(flights.running, request.ID)
		flights.mu.Unlock()
		close(current.done)
	}()
	return flights.router.Do(ctx, request, sink)
}

// cancel stops a request and returns a channel that is closed at its end, or
// false when it is not in flight.
func (flights *flights) cancel(id string) (<-chan struct{}, bool) {
	flights.mu.Lock()
	defer flights.mu.Unlock()
	current, ok := flights.running[id]
	if !ok {
		return nil, false
	}
	current.cancel(errCanceled)
	return current.done, true
}
