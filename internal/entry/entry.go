// Package entry implements the entry process. It connects the components that
// serve callers on an entry VM: admit, crash, dedup, member and route. Requests
// forwarded by the gateway process (package gate) do not pass through it.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/dedup"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/front"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// maxFinishedRequests is how many finished requests are kept for explain queries.
	maxFinishedRequests = 10_000
	expireInterval      = 100 * clock.Millis(1)
)

// Settings of an entry VM.
type Settings struct {
	Node  opts.Node
	Entry opts.Entry
}

// Entry is a running entry process.
type Entry struct {
	settings    Settings
	incarnation uint64
	sequence    atomic.Uint64
	clock       *clock.Clock
	log         *event.Log
	view        *feed.View
	pool        *link.Pool
	// requestPool holds the connections for requests. Control traffic uses pool, so
	// that it can be measured separately.
	requestPool *link.Pool
	tracer      *span.Tracer
	meter       *meter.Meter
	server      *link.Server
	members     *member.Table
	fleet       *engines
	ledger      *ledger.Ledger
	guard       *guard.Guard
	front       *front.Front
	runner      *dedup.Runner
	admission   *admission
	tracker     *crashTracker
	flights     *flights
	leaving     atomic.Bool
	loops       conc.WaitGroup
	cancel      context.CancelFunc
}

// New starts an entry process.
func New(settings Settings, ticker *clock.Clock, log *event.Log) (*Entry, error) {
	entry := &Entry{
		settings: settings, incarnation: member.NewIncarnation(ticker.Now()), clock: ticker, log: log, view: feed.NewView(ticker),
		pool: link.NewPool(), requestPool: link.NewPool(), members: member.NewTable(), ledger: ledger.New(maxFinishedRequests),
	}
	entry.fleet = newEngines(entry.members, entry.view, ticker)
	entry.guard = guard.New(guard.Machine(settings.Node), ticker, log)
	server, err := link.Listen(settings.Node.Listen)
	if err != nil {
		return nil, err
	}
	server.Bound(entry.guard, guard.FewPeersShare)
	entry.server = server
	if err := entry.register(); err != nil {
		return nil, err
	}
	entry.tracker = newCrashTracker(entry)
	placer := place.New(settings.Node.Zone, rand.IntN)
	router := route.New(route.Settings{Node: settings.Node.Name, SilenceLimit: settings.Entry.SilenceLimit},
		entry.requestPool, placer, entry.fleet, entry.tracker, entry.ledger, ticker, log)
	entry.admission = newAdmission(router, entry.fleet, func() int { return len(entry.peers()) }, ticker, log)
	entry.runner = dedup.New(dedup.Settings{
		Router: entry.admission, Claims: dedup.NewClaims(entry.pool, ticker, settings.Entry.Control), Pool: entry.requestPool,
		Endpoints: entry.members.Node, Clock: ticker, Log: log, SilenceLimit: settings.Entry.SilenceLimit,
	})
	if entry.tracer, err = span.New(settings.Node, "entry"); err != nil {
		return nil, err
	}
	entry.flights = newFlights(blockGuard{router: router, next: entry.runner}, entry.ledger, entry.tracer)
	if err := entry.serveMetrics(); err != nil {
		return nil, err
	}
	entry.front, err = front.New(settings.Entry, entry.guard, entry.view, entry.flights, entry.ledger, ticker, entry.newID)
	if err != nil {
		return nil, err
	}
	entry.start()
	return entry, nil
}

func (entry *Entry) register() error {
	mux := entry.server.Mux()
	if err := wire.DRPCRegisterMember(mux, entry); err != nil {
		return err
	}
	if err := wire.DRPCRegisterOperate(mux, entry); err != nil {
		return err
	}
	return wire.DRPCRegisterFeed(mux, feed.NewServer(entry.view, entry.clock))
}

func (entry *Entry) start() {
	ctx, cancel := context.WithCancel(context.Background())
	entry.cancel = cancel
	entry.server.Start()
	follower := feed.NewFollower(entry.view, entry.settings.Node.Name, entry.pool, entry.clock, entry.log, entry.sources)
	entry.loops.Go(func() { follower.Run(ctx) })
	entry.loops.Go(func() { entry.expire(ctx) })
	entry.loops.Go(func() { entry.admission.refresh(ctx) })
	entry.loops.Go(func() { entry.runExchange(ctx) })
	entry.loops.Go(func() { entry.tracker.run(ctx) })
	entry.log.Write(event.Started, "role", "entry", "address", entry.server.Address(), "http", entry.front.Address())
}

// Address returns the address on which other processes reach this one.
func (entry *Entry) Address() string { return entry.server.Address() }

// HTTPAddress returns the address of the HTTP server for callers.
func (entry *Entry) HTTPAddress() string { return entry.front.Address() }

// newID returns a request id that is unique across all entry VMs.
func (entry *Entry) newID() string {
	return fmt.Sprintf("%s-%08x-%d", entry.settings.Node.Name, uint32(entry.incarnation), entry.sequence.Add(1))
}

// sources lists the addresses that serve configuration revisions: the control VMs
// in random order, then the entry VMs in the same zone.
func (entry *Entry) sources() []string {
	sources := slices.Clone(entry.settings.Entry.Control)
	rand.Shuffle(len(sources), func(first, second int) {
		sources[first], sources[second] = sources[second], sources[first]
	})
	for _, peer := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
		if peer.GetNode() != entry.settings.Node.Name && peer.GetZone() == entry.settings.Node.Zone {
			sources = append(sources, peer.GetAddress())
		}
	}
	return sources
}

func (entry *Entry) announcement() *wire.Announcement {
	node := entry.settings.Node
	address := node.Advertise
	if address == "" {
		address = entry.server.Address()
	}
	state := wire.NodeState_NODE_STATE_SERVING
	if entry.leaving.Load() {
		state = wire.NodeState_NODE_STATE_LEAVING
	}
	return &wire.Announcement{
		Node: node.Name, Role: wire.NodeRole_NODE_ROLE_ENTRY, Incarnation: entry.incarnation, Address: address,
		Zone: node.Zone, Region: node.Region, State: state, Lifetime: int64(member.PeerLifetime(entry.members.Count(wire.NodeRole_NODE_ROLE_ENTRY))),
		Sequence: uint64(entry.clock.Now()), Revision: entry.view.State().Revision(), RevisionAge: int64(entry.view.Age()),
	}
}

func (entry *Entry) expire(ctx context.Context) {
	for entry.clock.Sleep(ctx, expireInterval) == nil {
		for _, expired := range entry.members.Expire(entry.clock.Now()) {
			entry.log.Write(event.EndpointExpired, "gone", expired.GetNode(), "role", expired.GetRole())
			entry.pool.Discard(expired.GetAddress())
			entry.requestPool.Discard(expired.GetAddress())
		}
	}
}

// Close refuses new requests, waits for those in flight up to the shutdown limit
// and stops.
func (entry *Entry) Close() error {
	entry.leaving.Store(true)
	entry.log.Write(event.Stopping)
	if err := entry.front.Close(entry.settings.Node.ShutdownLimit.Duration()); err != nil {
		entry.log.Write(event.ShutdownLimit, "error", err)
	}
	if err := entry.runner.Close(); err != nil {
		return err
	}
	entry.cancel()
	entry.loops.Wait()
	entry.tracker.work.Wait()
	if err := entry.server.Close(); err != nil {
		return err
	}
	defer entry.guard.Close()
	entry.log.Write(event.Stopped)
	return errors.Join(entry.pool.Close(), entry.requestPool.Close(), entry.meter.Close(), entry.tracer.Close())
}
