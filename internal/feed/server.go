package feed

import (
	"context"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// heartbeatInterval is the time between items when nothing changes. A watcher
// that receives nothing for three intervals changes to another source.
const heartbeatInterval = 500 * clock.Millis(1)

// Server serves a view to watchers.
type Server struct {
	view  *View
	clock *clock.Clock
}

// NewServer returns a server for a view.
func NewServer(view *View, ticker *clock.Clock) *Server {
	return &Server{view: view, clock: ticker}
}

// Watch sends the revisions that the watcher lacks, then every change, and
// heartbeats in between.
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
	idle, cancel := context.WithTimeout(ctx, heartbeatInterval.Duration())
	defer cancel()
	select {
	case <-changed:
	case <-idle.Done():
	}
	return ctx.Err()
}
