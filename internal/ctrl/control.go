// Package ctrl is the control process: the edge around packages quorum, store,
// state and claim. One goroutine feeds events to the core and applies what is
// committed, one writes to the disk, and one for each other control VM sends.
package ctrl

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
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
	Disk store.Disk
	// Seeds returns the seeds as the settings have them now; nil takes those at
	// the start.
	Seeds func() []string
}

const (
	inboxSize = 8192
	// handoverLimit bounds the wait for another leader at shutdown.
	handoverLimit = clock.Second
	handoverPoll  = 5 * clock.Millis(1)
	// replaceAfter is how long a voter may be silent before a process that
	// waits takes its place. A restart takes about a second.
	replaceAfter = 3 * clock.Second
)

// Control is a running control process.
type Control struct {
	settings Settings
	disk     uint64
	clock    *clock.Clock
	log      *event.Log
	view     *feed.View
	pool     *link.Pool
	server   *link.Server
	writer   *writer
	meter    *meter.Meter
	peers    *peers
	fleet    *poll.Poller
	// incarnation tells this start of the process from earlier ones.
	incarnation uint64
	// self names this member of the group: the node, or the address when the
	// group is made of seeds.
	self   string
	inbox  chan input
	status atomic.Pointer[quorum.Status]
	// moved is closed and replaced when another leader is known.
	moved atomic.Pointer[chan struct{}]

	// changing is held while a command is turned into a change and committed,
	// so that an alter starts from the change before it. It comes before mu.
	changing sync.Mutex
	// settledTerm is the term in which this leader's last change was applied;
	// guarded by changing.
	settledTerm uint64

	// core and waiters belong to the loop's goroutine.
	core    *quorum.Core
	waiters map[uint64]waiter
	// asked holds proposals that the core has not accepted or refused yet.
	asked     map[uint64][]chan<- outcome
	nextAsk   uint64
	imageSize int
	sinceLast int

	// mu guards machine and claims. It comes before the view's lock.
	mu      sync.Mutex
	machine *state.Machine
	claims  *claim.Table

	// reportsMu guards reports, the loads of gateways by node. It is a leaf lock.
	reportsMu sync.Mutex
	reports   map[string]report

	cancel context.CancelFunc
	loops  conc.WaitGroup
}

// New starts a control process.
func New(settings Settings, ticker *clock.Clock, log *event.Log) (*Control, error) {
	if settings.Disk == nil {
		settings.Disk = store.System{}
	}
	first, err := parseGroup(settings.Control.Group)
	if err != nil {
		return nil, err
	}
	opened, contents, err := store.Open(settings.Control.Data, settings.Disk)
	if err != nil {
		return nil, err
	}
	server, err := link.Listen(settings.Node.Listen)
	if err != nil {
		return nil, errors.CombineErrors(err, opened.Close())
	}
	control := &Control{
		settings: settings, disk: contents.Disk, clock: ticker, log: log, view: feed.NewView(ticker), pool: link.NewPool(), server: server,
		inbox: make(chan input, inboxSize), waiters: map[uint64]waiter{}, asked: map[uint64][]chan<- outcome{},
		machine: state.NewMachine(), claims: claim.NewTable(), self: settings.Node.Name,
		incarnation: rand.Uint64(), reports: map[string]report{},
	}
	seeded := len(settings.Control.Seed) > 0
	if seeded {
		addresses, err := ParseSeeds(settings.Control.Seed, control.advertised())
		if err != nil {
			return nil, errors.CombineErrors(err, opened.Close())
		}
		first, control.self = byAddress(addresses), control.advertised()
	}
	control.fleet = newFleet(control, control.seeds)
	if contents.TruncatedBytes > 0 {
		log.Write(event.TailCut, "bytes", contents.TruncatedBytes, "damaged", contents.Damaged)
	}
	if contents.Image != nil {
		control.restore(contents.Image)
	}
	control.core = quorum.New(quorum.Settings{
		Self: quorum.Peer{Name: control.self, Disk: contents.Disk}, Address: control.advertised(), InitialMembers: first,
		JoinOnly: seeded && !settings.Control.Bootstrap && !contents.Existing, Voters: voters(seeded, settings.Control.Tolerance),
		ReplaceAfter:    replaceAfter,
		ElectionTimeout: settings.Control.ElectionTimeout, Seed: contents.Disk,
		CatchUpEntries: keptBehind(seeded), ImageChunkBytes: quorum.DefaultImageChunkBytes,
	}, contents.Stored, ticker.Now())
	control.publish()
	control.peers = newPeers(control.pool, settings.Control.ElectionTimeout, first)
	control.writer = newWriter(opened, ticker, log, control.peers, control.post)
	if err := control.register(); err != nil {
		return nil, errors.CombineErrors(err, opened.Close())
	}
	control.meter = meter.New(settings.Node, "control", control.view)
	control.meter.Control(control.server, control.pool)
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

// seeds returns the addresses of control VMs that the settings name.
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

// keptBehind is how many entries stay in memory. Those of a seeded group are
// whole documents, so fewer are kept.
func keptBehind(seeded bool) uint64 {
	if seeded {
		return 64
	}
	return quorum.DefaultCatchUpEntries
}

// voters is the size of a group that keeps a majority when as many members as
// tolerated are lost; 0 for a group whose members are listed.
func voters(seeded bool, tolerance int) int {
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
	control.loops.Go(func() { control.writer.run(ctx) })
	control.peers.start(ctx)
	control.server.Start()
	if len(control.settings.Control.Seed) > 0 {
		control.fleet.Start()
	}
	control.log.Write(event.Started, "role", "control", "address", control.server.Address())
}

// Address returns the address for other processes.
func (control *Control) Address() string { return control.server.Address() }

func (control *Control) advertised() string {
	if control.settings.Node.Advertise != "" {
		return control.settings.Node.Advertise
	}
	return control.server.Address()
}

// Close hands leadership over, stops serving and closes the data folder.
func (control *Control) Close() error {
	control.log.Write(event.Stopping)
	control.handOver()
	failure := control.server.Close()
	control.fleet.Close()
	control.cancel()
	control.loops.Wait()
	control.peers.wait()
	failure = errors.CombineErrors(failure, control.pool.Close())
	failure = errors.CombineErrors(failure, control.writer.close())
	failure = errors.CombineErrors(failure, control.meter.Close())
	control.log.Write(event.Stopped)
	return failure
}

// handOver resigns and waits until another control VM leads.
func (control *Control) handOver() {
	status := control.status.Load()
	if status.Role != quorum.Leader || len(status.Match) < 2 {
		return
	}
	control.post(input{event: quorum.Resign{}})
	ctx, cancel := context.WithTimeout(context.Background(), handoverLimit.Duration())
	defer cancel()
	for control.clock.Sleep(ctx, handoverPoll) == nil {
		leader := control.status.Load().Leader
		if leader.Name != "" && leader.Name != control.self {
			return
		}
	}
}
