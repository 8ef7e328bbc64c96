package feed

import (
	"context"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// heartbeatEvery is the time between items when nothing changes. A watcher
// that hears nothing for three of them looks for another source.
const heartbeatEvery = 500 * clock.Millis(1)

// Server serves a view to watchers.
type Server struct {
	view  *View
	clock *clock.Clock
}

// NewServer returns a server of a view.
func NewServer(view *View, ticker *clock.Clock) *Server {
	return &Server{view: view, clock: ticker}
}

// Watch sends what the watcher is missing, then every change and heartbeats.
func (server *Server) Watch(request *wire.WatchRequest, stream wire.DRPCFeed_WatchStream) error {
	revision := request.GetRevision()
	for {
		item, changed := server.view.Since(revision)
		if err := stream.Send(item); err != nil {
			return err
		}
		revision = max(revision, item.GetRevision())
		if err := server.wait(stream.Context(), changed); err != nil {
			return err
		}
	}
}

func (server *Server) wait(ctx context.Context, changed <-chan struct{}) error {
	idle, cancel := context.WithTimeout(ctx, heartbeatEvery.Duration())
	defer cancel()
	select {
	case <-changed:
	case <-idle.Done():
	}
	return ctx.Err()
}
