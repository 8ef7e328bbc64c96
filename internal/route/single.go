package route

import (
	"context"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
)

// Place chooses an engine for an attempt that the caller records before it is
// sent. Engines named in used are left out.
func (router *Router) Place(request call.Call, used []string) (place.Choice, bool) {
	return router.choose(request, used)
}

// Attempt sends one attempt to the engine chosen for it and never tries again.
func (router *Router) Attempt(ctx context.Context, request call.Call, number uint32, choice place.Choice, sink Sink) Result {
	return router.try(ctx, request, number, choice, &delivery{sink: sink})
}
