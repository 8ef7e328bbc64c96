// Package ctrl is the control process. It does the I/O for packages quorum,
// store, state and claim: one goroutine passes events to the consensus core and
// applies committed entries, one writes to the disk, and one per other control
// VM sends messages.
package ctrl

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/internal/evac"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/internal/store"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Settings of a control VM.
type Settings struct {
	Node    opts.Node
	Control opts.Control
	// Disk replaces the machine's file system in tests.
	Disk store.FileSystem
	// Seeds returns the current seeds of the settings; if it is nil, the seeds
	// in Control are used throughout.
	Seeds func() []string
}

const (
	inboxSize = 8192
	// handoverTimeout limits the wait for another leader at shutdown.
	handoverTimeout      = clock.Second
	handoverPollInterval = 5 * clock.Millis(1)
	// replaceEighths is the part of the time to catch up, in eighths, for which a voter may
	// be silent before a waiting process takes its place. With the election and the changes
	// of the member set before and after it, the place is filled within that time after a
	// restart of all processes, and within half of it after the loss of one voter.
	replaceEighths = 5
	// minReplaceTimeouts is the same in election timeouts at least: a restart must not cost
	// a voter its place.
	minReplaceTimeouts = 3
	// relocateAfter is how long a voter may be silent before its place moves to another
	// availability zone. It exceeds partitions, after which the voter is back.
	relocateAfter = 30 * clock.Second
	// seededCatchUpEntries is the number of log entries kept behind an image in a
	// seeded group. It is small, because these entries are whole documents.
	seededCatchUpEntries = 64
)

// Control is a running control process.
type Control struct {
	settings Settings
	diskID   uint64
	clock    *clock.Clock
	log      *event.Log
	view     *feed.View
	pool     *link.Pool
	server   *link.Server
	writer   *writer
	meter    *meter.Meter
	peers    *peers
	poller   *poll.Poller
	board    *board.Board
	// replicator copies ends of endpoints to other control VMs.
	replicator *replicator
	// incarnation distinguishes this start of the process from earlier ones.
	incarnation uint64
	startedAt   clock.Millis
	// self is the name of this member of the group: the node's name, or its
	// address when the group is formed from seeds.
	self   string
	inbox  chan input
	status atomic.Pointer[quorum.Status]
	// leaderChanged is closed and replaced when the known leader changes.
	leaderChanged atomic.Pointer[chan struct{}]

	// changeMu is held while a command is turned into a change and committed,
	// so that an alter sees the result of the change before it. Lock it before mu.
	changeMu sync.Mutex
	// barrierTerm is the term in which the last barrier entry was applied, or 0
	// if a new one is needed; guarded by changeMu.
	barrierTerm uint64

	// The fields from core to bytesSinceImage are used only by the loop's goroutine.
	core    *quorum.Core
	waiters map[uint64]waiter
	// pendingProposals holds the reply channels of proposals that the core has not
	// yet accepted or refused, by proposal id.
	pendingProposals map[uint64][]chan<- outcome
	lastProposalID   uint64
	imageBytes       int
	bytesSinceImage  int

	// mu guards machine and claims. Lock it before the view's lock.
	mu      sync.Mutex
	machine *state.Machine
	claims  *claim.Table

	// reportsMu guards reports, the load reports by node, and spread, the revisions
	// that gateways hold. No other lock is acquired while it is held.
	reportsMu sync.Mutex
	reports   map[string]loadReport
	spread    *evac.Spread

	// guard bounds what clients make the process hold.
	guard     *guard.Guard
	documents documents
	cancel    context.CancelFunc
	loops     conc.WaitGroup
}

// New starts a control process.
func New(settings Settings, ticker *clock.Clock, log *event.Log) (*Control, error) {
	if settings.Disk == nil {
		settings.Disk = store.OSFileSystem{}
	}
	initialMembers, err := parseGroup(settings.Control.Group)
	if err != nil {
		return nil, err
	}
	seeded := len(settings.Control.Seed) > 0
	opening, err := awaitRoom(settings, ticker, log)
	if err != nil {
		return nil, err
	}
	server, opened, contents := opening.server, opening.store, opening.contents
	if seeded {
		initialMembers = membersByAddress(opening.seeds)
		if len(contents.Founders) > 0 {
			initialMembers = membersByAddress(contents.Founders)
		}
	}
	bounds := guard.New(guard.Machine(settings.Node), ticker, log)
	server.Bound(bounds, guard.PeersShare)
	control := &Control{
		settings: settings, diskID: contents.DiskID, clock: ticker, log: log, view: feed.NewView(ticker), pool: link.NewPool(), server: server,
		inbox: make(chan input, inboxSize), waiters: map[uint64]waiter{}, pendingProposals: map[uint64][]chan<- outcome{},
		machine: state.NewMachine(), claims: claim.NewTable(), self: opening.self,
		incarnation: rand.Uint64(), startedAt: ticker.Now(), reports: map[string]loadReport{}, board: board.New(ticker, log),
		replicator: newReplicator(),
		spread:     evac.New(settings.Control.EvacuateLimit), guard: bounds,
	}
	control.poller = newPoller(control, control.seeds)
	if contents.TruncatedBytes > 0 {
		log.Write(event.TailCut, "bytes", contents.TruncatedBytes, "damaged", contents.Damaged)
	}
	if contents.Image != nil {
		control.restore(contents.Image)
	}
	control.core = quorum.New(quorum.Settings{
		Self: quorum.Peer{Name: control.self, DiskID: contents.DiskID}, Address: control.advertised(), InitialMembers: initialMembers,
		JoinOnly: seeded && len(contents.Founders) == 0, Voters: voterCount(seeded, int(settings.Control.Tolerance)),
		ReplaceAfter: replaceAfter(settings.Control), RelocateAfter: relocateAfter, Zone: settings.Node.Zone,
		ElectionTimeout: settings.Control.ElectionTimeout, Seed: contents.DiskID,
		CatchUpEntries: catchUpEntries(seeded), ImageChunkBytes: quorum.DefaultImageChunkBytes,
	}, contents.Stored, ticker.Now())
	control.publish()
	control.peers = newPeers(control.pool, settings.Control.ElectionTimeout, initialMembers)
	control.writer = newWriter(opened, ticker, log, control.peers, control.post)
	if err := control.register(); err != nil {
		return nil, errors.CombineErrors(err, opened.Close())
	}
	control.meter = meter.New(settings.Node, "control", control.view)
	control.meter.Control(control.server, control.pool)
	control.meter.Bound(bounds)
	if err := control.meter.Serve(settings.Node.MetricsListen); err != nil {
		return nil, errors.CombineErrors(err, opened.Close())
	}
	control.start()
	return control, nil
}

func (control *Control) register() error {
	mux := control.server.Mux()
	if err := wire.DRPCRegisterFeed(mux, feed.NewServer(control.view, control.clock)); err != nil {
		return err
	}
	if err := wire.DRPCRegisterOperate(mux, control); err != nil {
		return err
	}
	if err := wire.DRPCRegisterClaims(mux, control); err != nil {
		return err
	}
	if err := wire.DRPCRegisterFleet(mux, control); err != nil {
		return err
	}
	return wire.DRPCRegisterGroup(mux, control)
}

// seeds returns the addresses of the control VMs listed in the settings.
func (control *Control) seeds() []string {
	seeds := control.settings.Control.Seed
	if control.settings.Seeds != nil {
		seeds = control.settings.Seeds()
	}
	addresses, err := ParseSeeds(seeds, control.advertised())
	if err != nil {
		control.log.Write(event.SettingsRefused, "error", err)
	}
	return addresses
}

// catchUpEntries returns how many log entries stay in memory behind an image for
// members that lag.
func catchUpEntries(seeded bool) uint64 {
	if seeded {
		return seededCatchUpEntries
	}
	return quorum.DefaultCatchUpEntries
}

// replaceAfter returns how long a voter may be silent before another process takes its
// place.
func replaceAfter(settings opts.Control) clock.Millis {
	return max(settings.CatchUp*replaceEighths/8, settings.ElectionTimeout*minReplaceTimeouts)
}

// voterCount returns the smallest group size that keeps a majority after the
// loss of the tolerated number of members, or 0 for a group with listed members.
func voterCount(seeded bool, tolerance int) int {
	if !seeded {
		return 0
	}
	return 2*tolerance + 1
}

func (control *Control) start() {
	ctx, cancel := context.WithCancel(context.Background())
	control.cancel = cancel
	control.loops.Go(func() { control.run(ctx) })
	control.loops.Go(func() { control.tick(ctx) })
	control.loops.Go(func() { control.recordBlocks(ctx) })
	control.loops.Go(func() { control.writer.run(ctx) })
	control.loops.Go(func() { control.watchSpread(ctx) })
	control.peers.start(ctx)
	control.server.Start()
	if len(control.settings.Control.Seed) > 0 {
		control.poller.Start()
		control.loops.Go(func() { control.nameKnown(ctx) })
	}
	control.log.Write(event.Started, "role", "control", "address", control.server.Address())
}

// Guard returns what bounds the clients of the process.
func (control *Control) Guard() *guard.Guard { return control.guard }

// Address returns the listening address for other processes.
func (control *Control) Address() string { return control.server.Address() }

func (control *Control) advertised() string { return advertised(control.settings.Node, control.server) }

func advertised(node opts.Node, server *link.Server) string {
	if node.Advertise != "" {
		return node.Advertise
	}
	return server.Address()
}

// founders returns the seeds as those that may form the first group, or nothing in a
// deployment that has started before.
func founders(settings opts.Control, seeds []string) []string {
	if !settings.Bootstrap {
		return nil
	}
	return seeds
}

// Close hands over leadership, stops serving and closes the data folder.
func (control *Control) Close() error {
	control.log.Write(event.Stopping)
	control.handOver()
	failure := control.server.Close()
	control.poller.Close()
	control.replicator.Close()
	control.cancel()
	control.loops.Wait()
	control.peers.wait()
	failure = errors.CombineErrors(failure, control.pool.Close())
	failure = errors.CombineErrors(failure, control.writer.close())
	failure = errors.CombineErrors(failure, control.meter.Close())
	control.guard.Close()
	control.log.Write(event.Stopped)
	return failure
}

// handOver resigns leadership and waits until another control VM leads or
// handoverTimeout is over.
func (control *Control) handOver() {
	status := control.status.Load()
	if status.Role != quorum.Leader || len(status.Match) < 2 {
		return
	}
	control.post(input{event: quorum.Resign{}})
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout.Duration())
	defer cancel()
	for control.clock.Sleep(ctx, handoverPollInterval) == nil {
		leader := control.status.Load().Leader
		if leader.Name != "" && leader.Name != control.self {
			return
		}
	}
}
