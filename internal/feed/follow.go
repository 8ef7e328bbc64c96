package feed

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	silenceTimeout = 3 * heartbeatInterval
	minRetryPause  = 50 * clock.Millis(1)
	retryJitter    = 200 * clock.Millis(1)
	// staleLimit is the age of a confirmation from which the follower switches to
	// another source: a control VM that is cut off from its group still sends
	// heartbeats. It is also the minimum time with a source, so that followers do
	// not cycle through the sources while there is no majority.
	staleLimit = 2 * clock.Second
)

// Follower keeps a view up to date from the feed of one source at a time.
type Follower struct {
	view    *View
	node    string
	pool    *link.Pool
	clock   *clock.Clock
	log     *event.Log
	sources func() []string
}

// NewFollower returns a follower. sources returns addresses in order of
// preference and is called again after each failure.
func NewFollower(view *View, node string, pool *link.Pool, ticker *clock.Clock, log *event.Log, sources func() []string) *Follower {
	return &Follower{view: view, node: node, pool: pool, clock: ticker, log: log, sources: sources}
}

// Run follows one source after another until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		sources := follower.sources()
		if len(sources) > 0 {
			address := sources[next%len(sources)]
			err := follower.follow(ctx, address)
			if ctx.Err() != nil {
				return
			}
			// A canceled stream leaves its connection open, and the peer may be unresponsive.
			follower.pool.Discard(address)
			follower.log.Write(event.FeedLost, "source", address, "error", err)
		}
		// Jitter keeps all watchers from reconnecting to a restarted source at once.
		pause := minRetryPause + clock.Millis(rand.Int64N(int64(retryJitter)))
		if err := follower.clock.Sleep(ctx, pause); err != nil {
			return
		}
	}
}

func (follower *Follower) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(silenceTimeout, func() { cancel(errors.Newf("no heartbeat for %s", silenceTimeout)) })
	defer watchdog.stop()
	began := follower.clock.Now()
	client := wire.NewDRPCFeedClient(follower.pool.Conn(ctx, address))
	stream, err := client.Watch(ctx, &wire.WatchRequest{Revision: follower.view.State().Revision(), Node: follower.node})
	if err != nil {
		return err
	}
	for {
		item, err := stream.Recv()
		if err != nil {
			return errors.CombineErrors(context.Cause(ctx), err)
		}
		watchdog.reset()
		if err := follower.view.Apply(item, follower.clock.Now()); err != nil {
			follower.log.Write(event.RevisionRefused, "source", address, "error", err)
			return err
		}
		if age := clock.Millis(item.GetAge()); age > staleLimit && follower.clock.Now()-began > staleLimit && len(follower.sources()) > 1 {
			return errors.Newf("control has not confirmed the source's revision for %s", age)
		}
	}
}
