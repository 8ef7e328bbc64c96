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
	silenceLimit = 3 * heartbeatEvery
	retryLeast   = 50 * clock.Millis(1)
	retrySpread  = 200 * clock.Millis(1)
	// staleLimit is the age from which another source may know more: a control
	// VM that is cut off from its group still sends heartbeats. It is also the
	// least time with a source, so that watchers do not rush from one to the
	// next while no majority confirms anything.
	staleLimit = 2 * clock.Second
)

// Follower keeps a view up to date from the sources it is given.
type Follower struct {
	view    *View
	node    string
	pool    *link.Pool
	clock   *clock.Clock
	log     *event.Log
	sources func() []string
}

// NewFollower returns a follower. The sources are addresses in order of
// preference and are asked for again after each failure.
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
			// The connection may be silent; a stream given up leaves it open.
			follower.pool.Discard(address)
			follower.log.Write(event.FeedLost, "source", address, "error", err)
		}
		// Jitter keeps a restarted source from being met by all its watchers at once.
		pause := retryLeast + clock.Millis(rand.Int64N(int64(retrySpread)))
		if err := follower.clock.Sleep(ctx, pause); err != nil {
			return
		}
	}
}

func (follower *Follower) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(silenceLimit, func() { cancel(errors.Newf("no heartbeat for %s", silenceLimit)) })
	defer watchdog.stop()
	since := follower.clock.Now()
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
		if age := clock.Millis(item.GetAge()); age > staleLimit && follower.clock.Now()-since > staleLimit && len(follower.sources()) > 1 {
			return errors.Newf("control has not confirmed the source's revision for %s", age)
		}
	}
}
