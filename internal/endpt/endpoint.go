// Package endpt implements the endpoint process. It is the proxy in front of the
// engines of an endpoint VM, holds their only request queue, and buffers the
// answers of its attempts until they are delivered.
package endpt

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	sweepInterval     = clock.Second
	drainPollInterval = 10 * clock.Millis(1)
)

// Settings configures an endpoint process.
type Settings struct {
	Node     opts.Node
	Endpoint opts.Endpoint
}

// Endpoint is a running endpoint process.
type Endpoint struct {
	settings    Settings
	incarnation uint64
	clock       *clock.Clock
	log         *event.Log
	view        *feed.View
	pool        *link.Pool
	tracer      *span.Tracer
	meter       *meter.Meter
	guard       *guard.Guard
	server      *link.Server
	announcer   *member.Announcer
	table       *table
	memory      *memory
	runner      *engine.Runner
	lanes       map[string]*lane
	leaving     atomic.Bool
	quarantine  quarantine
	// background is cancelled when the process stops.
	background context.Context //nolint:containedctx // background work outlives the call that starts it
	// runs tracks the goroutines of attempts, loops the periodic background work.
	runs   conc.WaitGroup
	loops  conc.WaitGroup
	cancel context.CancelFunc
}

// New creates and starts an endpoint process.
func New(settings Settings, ticker *clock.Clock, log *event.Log) (*Endpoint, error) {
	endpoint := &Endpoint{
		settings: settings, incarnation: member.NewIncarnation(ticker.Now()), clock: ticker, log: log,
		view: feed.NewView(ticker), pool: link.NewPool(), table: newTable(), lanes: map[string]*lane{},
	}
	tracer, err := span.New(settings.Node, "endpoint")
	if err != nil {
		return nil, err
	}
	endpoint.tracer = tracer
	endpoint.runner = engine.NewRunner(ticker).WithTracer(tracer)
	for _, text := range settings.Endpoint.Engine {
		target, err := engine.Parse(text)
		if err != nil {
			return nil, err
		}
		name := target.Info().GetName()
		if _, ok := endpoint.lanes[name]; ok {
			return nil, errors.Newf("setting --engine defines engine %s twice", name)
		}
		endpoint.lanes[name] = newLane(target, endpoint.runner, settings.Endpoint.Slots, ticker, log, &endpoint.runs)
	}
	server, err := link.Listen(settings.Node.Listen)
	if err != nil {
		return nil, err
	}
	bounds := guard.Machine(settings.Node)
	endpoint.memory = newMemory(bounds.Bytes)
	endpoint.guard = guard.New(bounds, ticker, log)
	server.Bound(endpoint.guard, guard.PeersShare)
	endpoint.server = server
	if err := wire.DRPCRegisterRelay(server.Mux(), endpoint); err != nil {
		return nil, err
	}
	endpoint.announcer = member.NewAnnouncer(endpoint.pool, ticker, log, settings.Endpoint.Entry, endpoint.announcement)
	if err := endpoint.measure(); err != nil {
		return nil, err
	}
	endpoint.start()
	return endpoint, nil
}

func (endpoint *Endpoint) start() {
	ctx, cancel := context.WithCancel(context.Background())
	endpoint.cancel, endpoint.background = cancel, ctx
	endpoint.server.Start()
	follower := feed.NewFollower(endpoint.view, endpoint.settings.Node.Name, endpoint.pool, endpoint.clock, endpoint.log, endpoint.announcer.Targets)
	endpoint.loops.Go(func() { follower.Run(ctx) })
	endpoint.loops.Go(func() { endpoint.announcer.Run(ctx) })
	endpoint.loops.Go(func() { endpoint.sweep(ctx) })
	endpoint.loops.Go(func() { endpoint.tick(ctx) })
	endpoint.log.Write(event.Started, "role", "endpoint", "address", endpoint.server.Address())
}

// Address returns the address on which other processes reach this one.
func (endpoint *Endpoint) Address() string { return endpoint.server.Address() }

func (endpoint *Endpoint) announcement() *wire.Announcement {
	node := endpoint.settings.Node
	address := node.Advertise
	if address == "" {
		address = endpoint.server.Address()
	}
	state := wire.NodeState_NODE_STATE_SERVING
	switch {
	case endpoint.leaving.Load():
		state = wire.NodeState_NODE_STATE_LEAVING
	case endpoint.view.State().Drained(node.Name):
		state = wire.NodeState_NODE_STATE_DRAINING
	}
	engines := make([]*wire.EngineInfo, 0, len(endpoint.lanes))
	for _, lane := range endpoint.lanes {
		engines = append(engines, lane.info())
	}
	return &wire.Announcement{
		Node: node.Name, Role: wire.NodeRole_NODE_ROLE_ENDPOINT, Incarnation: endpoint.incarnation,
		Address: address, Zone: node.Zone, Region: node.Region, State: state,
		Lifetime: int64(endpoint.settings.Endpoint.Lifetime), Engines: engines,
		Revision: endpoint.view.State().Revision(), RevisionAge: int64(endpoint.view.Age()),
	}
}

func (endpoint *Endpoint) sweep(ctx context.Context) {
	for endpoint.clock.Sleep(ctx, sweepInterval) == nil {
		for _, run := range endpoint.table.sweep(endpoint.clock.Now()) {
			endpoint.stopAttempt(run)
		}
		if endpoint.memory.isShort() {
			endpoint.table.trim()
		}
	}
}

func (endpoint *Endpoint) tick(ctx context.Context) {
	for endpoint.clock.Sleep(ctx, tickInterval) == nil {
		for _, lane := range endpoint.lanes {
			lane.tick()
		}
	}
}

// Close announces that the endpoint is leaving, waits for the attempts in
// flight for at most the shutdown limit, and stops.
func (endpoint *Endpoint) Close() error {
	endpoint.leaving.Store(true)
	endpoint.log.Write(event.Stopping)
	ctx, cancel := context.WithTimeout(context.Background(), endpoint.settings.Node.ShutdownLimit.Duration())
	defer cancel()
	endpoint.announcer.Once(ctx)
	for !endpoint.delivered() {
		if err := endpoint.clock.Sleep(ctx, drainPollInterval); err != nil {
			endpoint.log.Write(event.ShutdownLimit)
			break
		}
	}
	endpoint.cancel()
	endpoint.loops.Wait()
	if err := endpoint.server.Close(); err != nil {
		return err
	}
	defer endpoint.guard.Close()
	endpoint.runner.Close()
	endpoint.log.Write(event.Stopped)
	return errors.Join(endpoint.pool.Close(), endpoint.meter.Close(), endpoint.tracer.Close())
}

// delivered reports whether no attempt is queued, running or attached to a stream.
func (endpoint *Endpoint) delivered() bool {
	for _, lane := range endpoint.lanes {
		if !lane.idle() {
			return false
		}
	}
	return endpoint.table.detached()
}
