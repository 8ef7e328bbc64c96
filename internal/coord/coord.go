// Package coord manages the expert maps of rank groups from the control leader:
// it reads the ranks through their agents, plans maps and switches the groups
// to them.
//
// A stage is one switch of a group to another map. A rebalancing is split into
// stages so that each copies few experts. A layer of an expert map is called a
// set in the wire protocol and in the configuration document.
package coord

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/agent"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/pace"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/stage"
	"github.com/hibiscuslug/hibiscuslug/internal/swap"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// idleReadInterval is the time between reads while no group is switching.
	idleReadInterval = 150 * clock.Millis(1)
	// busyReadInterval is the time between reads while a group is switching,
	// for example while its ranks copy experts.
	busyReadInterval = 50 * clock.Millis(1)
	// heldReadTimeout is the timeout for reading all ranks while a hold may stop
	// the group. A rank that does not answer in that time is read and ordered
	// without its agent.
	heldReadTimeout = 200 * clock.Millis(1)
	// readTimeout is the timeout for one round of reads or orders to all ranks. A
	// read takes a few milliseconds, but all reads share the processor of a
	// control VM.
	readTimeout = 600 * clock.Millis(1)
	// maxCounted is the maximum number of ranks whose expert choices are read
	// at a time. Requests are spread over ranks, so a sample of ranks shows the
	// popularity in all of them.
	maxCounted = 16
	// minChoices is the minimum number of choices in one layer for a measurement
	// of its experts.
	minChoices = 5000
	// logEvery is the minimum time between log lines about reads that fail for
	// different reasons.
	logEvery = 5 * clock.Second
	// maxRounds is the maximum number of read and order rounds without a pause.
	maxRounds = 12
)

// Settings of a Coordinator.
type Settings struct {
	// Listen is the address of this process; agents listen on the same port.
	Listen string
	// Plan returns the configuration in force, or nil.
	Plan func() *plan.Plan
	// Endpoints returns the endpoints of a service that have not left.
	Endpoints func(service string) []roster.Record
	// Engine returns a client of the engine at an address, used when its agent
	// does not answer. The states that it reads are some hundred milliseconds old.
	Engine func(address string) agent.Engine
	// Leads reports whether this process is certain to be the control leader.
	Leads func() bool
	// SetPace tells gateways by how many times a rank is slower than the others; 1
	// ends that. It is called once a second while the rank is slow. May be nil.
	SetPace func(endpoint quota.Endpoint, pace float64)
}

// Coordinator manages the expert maps of all groups.
type Coordinator struct {
	settings Settings
	pool     *link.Pool
	clock    *clock.Clock
	log      *event.Log
	cancel   context.CancelFunc
	loop     conc.WaitGroup
	groups   map[string]*group
}

// group is the state of one rank group.
type group struct {
	name   string
	engine plan.Engine
	swap   swap.Swap
	// current is the map in use once hasMap is set, with its version and epoch;
	// planned is the target of the last switch.
	version, epoch uint64
	current        expert.Map
	hasMap         bool
	planned        expert.Map
	// stage holds the figures by which stages are decided; run is the last stage.
	stage stage.Group
	run   stageRun
	// paces holds the ranks that are slow, and slow by rank when they were last
	// reported; wasSlow is set until all ranks have their share of experts again.
	paces   pace.Ranks
	slow    map[int]slowReport
	wasSlow bool
	// passStep is the step read at passFrom, from which passes are measured.
	passStep uint64
	passFrom clock.Millis
	// counts holds the choices last read from each rank; pending holds those
	// that are not yet part of loads.
	counts  map[int]rankCounts
	pending rebal.Loads
	loads   rebal.Loads
	// nextCounted is the next rank whose choices are read.
	nextCounted int
	// unread is set while ranks cannot be read. reason is the error last
	// logged, at loggedAt.
	unread   bool
	reason   string
	loggedAt clock.Millis
}

// rankCounts holds the expert choices of a rank since it started, at born.
type rankCounts struct {
	born   int64
	counts []uint64
}

// New starts the coordinator.
func New(settings Settings, ticker *clock.Clock, log *event.Log) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	coordinator := &Coordinator{settings: settings, pool: link.NewPool(), clock: ticker, log: log, cancel: cancel, groups: map[string]*group{}}
	coordinator.loop.Go(func() { coordinator.run(ctx) })
	return coordinator
}

// Close stops the coordinator.
func (coordinator *Coordinator) Close() error {
	coordinator.cancel()
	coordinator.loop.Wait()
	return coordinator.pool.Close()
}

func (coordinator *Coordinator) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := idleReadInterval
		if !coordinator.settings.Leads() {
			clear(coordinator.groups)
		} else if config := coordinator.settings.Plan(); config != nil {
			for _, service := range config.Services() {
				if service.Engine != nil && service.Engine.Layers > 0 && coordinator.service(ctx, config, service) {
					wait = busyReadInterval
				}
			}
		}
		if coordinator.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// service runs the groups of one service. It reports whether any of them is
// switching.
func (coordinator *Coordinator) service(ctx context.Context, config *plan.Plan, service plan.Service) bool {
	byGroup := map[string][]roster.Record{}
	for _, record := range coordinator.settings.Endpoints(service.Name) {
		if record.Group.Name != "" {
			byGroup[record.Group.Name] = append(byGroup[record.Group.Name], record)
		}
	}
	busy, maxPause := false, config.MaxPause(service.Name)
	for name, records := range byGroup {
		state := coordinator.groups[service.Name+"/"+name]
		if state == nil {
			state = &group{name: name, engine: *service.Engine, stage: stage.NewGroup(*service.Engine)}
			coordinator.groups[service.Name+"/"+name] = state
		}
		state.stage = state.stage.WithMaxPause(maxPause)
		ranks, err := inOrder(records)
		if err != nil {
			coordinator.logReadError(state, err)
			continue
		}
		busy = coordinator.drive(ctx, state, ranks) || busy
	}
	return busy
}

// inOrder returns the records of a group by rank, the newest one of each. It
// fails if a rank is missing.
func inOrder(records []roster.Record) ([]roster.Record, error) {
	size := records[0].Group.Size
	// The size comes from a heartbeat, so it is checked before it is allocated.
	if size < 1 || size > len(records) {
		return nil, errors.Newf("endpoint %s says that its group has %d ranks; %d have sent a heartbeat", records[0].ID, size, len(records))
	}
	ranks := make([]roster.Record, size)
	for _, record := range records {
		at := record.Group.Rank
		if at < 0 || at >= size {
			return nil, errors.Newf("endpoint %s has rank %d in a group of %d", record.ID, at, size)
		}
		if ranks[at].ID == "" || record.Born > ranks[at].Born {
			ranks[at] = record
		}
	}
	if at := slices.IndexFunc(ranks, func(record roster.Record) bool { return record.ID == "" }); at >= 0 {
		return nil, errors.Newf("rank %d of %d has sent no heartbeat", at, size)
	}
	return ranks, nil
}

// drive reads a group and sends orders until none are due. It reports whether
// the group is switching.
func (coordinator *Coordinator) drive(ctx context.Context, group *group, ranks []roster.Record) bool {
	for round := range maxRounds {
		counted := 0
		if round == 0 {
			counted = maxCounted
		}
		timeout := readTimeout
		if group.swap.Holds() {
			timeout = heldReadTimeout
		}
		states, err := coordinator.read(ctx, timeout, ranks, group.readRequests(counted, len(ranks)))
		if err != nil {
			coordinator.logReadError(group, err)
			coordinator.forceRelease(ctx, group, ranks, states)
			return group.swap.Busy()
		}
		coordinator.logReadError(group, nil)
		now := coordinator.clock.Now()
		if group.addCounts(states, now) {
			coordinator.log.Write(event.PopularityShifted, "group", group.name, "interval", group.stage.Interval())
		}
		group.measure(states, now)
		group.follow(rankStates(states), now)
		if round == 0 {
			group.paces = group.paces.WithRead(pacesOf(states))
			coordinator.reportSlow(group, ranks, now)
		}
		sends := group.swap.Next(rankStates(states), now)
		if len(sends) == 0 && !group.swap.Busy() {
			coordinator.plan(ctx, group, ranks, states)
			sends = group.swap.Next(rankStates(states), coordinator.clock.Now())
		}
		if !coordinator.sendOrders(ctx, group, ranks, states, sends) {
			break
		}
	}
	return group.swap.Busy()
}

// sendOrders sends orders for as long as every rank replies with its state,
// which determines the next orders. It reports whether the ranks should be read
// again at once.
func (coordinator *Coordinator) sendOrders(
	ctx context.Context, group *group, ranks []roster.Record, states []*wire.RankState, sends []swap.Send,
) bool {
	for len(sends) > 0 && coordinator.settings.Leads() {
		if !group.hasMap {
			// A new coordinator needs the map in use to fence off the attempt
			// of its predecessor.
			if err := coordinator.loadMap(ctx, group, ranks, states[0].GetMap(), states[0].GetEpoch()); err != nil {
				coordinator.logReadError(group, err)
				return false
			}
		}
		complete := coordinator.order(ctx, group, ranks, states, sends)
		if _, copying := sends[0].Order.(swap.Prepare); copying {
			return false
		}
		if !complete {
			return true
		}
		sends = group.swap.Next(rankStates(states), coordinator.clock.Now())
	}
	return false
}

// logReadError logs when ranks can no longer be read, or can be read again.
func (coordinator *Coordinator) logReadError(group *group, err error) {
	unread, reason := err != nil, ""
	if unread {
		reason = err.Error()
	}
	now := coordinator.clock.Now()
	if unread != group.unread || reason != group.reason && now-group.loggedAt > logEvery {
		group.unread, group.reason, group.loggedAt = unread, reason, now
		if unread {
			coordinator.log.Write(event.GroupUnread, "group", group.name, "error", err)
		} else {
			coordinator.log.Write(event.GroupRead, "group", group.name)
		}
	}
}

func (coordinator *Coordinator) client(ctx context.Context, rank roster.Record) (wire.DRPCRankClient, string, error) {
	address, err := agentAddress(rank.Address, coordinator.settings.Listen)
	if err != nil {
		return nil, "", err
	}
	return wire.NewDRPCRankClient(coordinator.pool.Conn(ctx, address)), address, nil
}

// agentAddress returns the address of the agent on the VM of an engine.
func agentAddress(engine, own string) (string, error) {
	there, err := netip.ParseAddrPort(engine)
	if err != nil {
		return "", errors.Wrap(err, "parse engine address")
	}
	here, err := netip.ParseAddrPort(own)
	if err != nil {
		return "", errors.Wrap(err, "parse listen address")
	}
	return netip.AddrPortFrom(there.Addr(), here.Port()).String(), nil
}

// readRequests returns the read request of each rank. It includes the choices
// of a sample of the ranks, which rotates through the group.
func (group *group) readRequests(counted, size int) func(rank int) *wire.RankRead {
	first := group.nextCounted
	if counted > 0 {
		group.nextCounted = (group.nextCounted + counted) % size
	}
	return func(rank int) *wire.RankRead {
		return &wire.RankRead{Counts: (rank-first+size)%size < counted}
	}
}

// read reads all ranks in parallel. If some cannot be read, it returns an error
// along with the states of the others.
func (coordinator *Coordinator) read(
	ctx context.Context, timeout clock.Millis, ranks []roster.Record, requestOf func(rank int) *wire.RankRead,
) ([]*wire.RankState, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	states := make([]*wire.RankState, len(ranks))
	failures := make([]error, len(ranks))
	var reading conc.WaitGroup
	for at, rank := range ranks {
		reading.Go(func() {
			client, address, err := coordinator.client(ctx, rank)
			if err != nil {
				failures[at] = err
				return
			}
			state, err := client.Read(ctx, requestOf(at))
			if err != nil {
				coordinator.pool.Discard(address)
				failures[at] = errors.Wrapf(err, "rank %d at %s", at, address)
				return
			}
			states[at] = state
		})
	}
	reading.Wait()
	for _, err := range failures {
		if err != nil {
			return states, err
		}
	}
	return states, nil
}

// order sends orders to several ranks in parallel and replaces their states by
// those in the replies. It reports whether all ranks replied with a state;
// otherwise the effect of the orders shows in the next read.
func (coordinator *Coordinator) order(ctx context.Context, group *group, ranks []roster.Record, states []*wire.RankState, sends []swap.Send) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	sets := encode(group.planned)
	if prepare, ok := sends[0].Order.(swap.Prepare); ok && prepare.Fence {
		sets = encode(group.current)
	}
	var mu sync.Mutex
	notDone, answered := 0, 0
	before, epoch := slices.Clone(states), states[0].GetEpoch()
	var ordering conc.WaitGroup
	for _, send := range sends {
		request := orderRequest(send.Order, sets)
		request.Epoch, request.Expected = before[send.Rank].GetEpoch(), before[send.Rank].GetSequence()
		ordering.Go(func() {
			client, address, err := coordinator.client(ctx, ranks[send.Rank])
			var reply *wire.RankReply
			if err == nil {
				reply, err = client.Order(ctx, request)
			}
			if err != nil {
				coordinator.pool.Discard(address)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !reply.GetDone() {
				notDone++
				group.swap.NotDone(send.Rank)
			}
			if reply.GetState() != nil {
				answered++
				states[send.Rank] = reply.GetState()
			}
		})
	}
	ordering.Wait()
	// The sends are all of one kind, or a Hold followed by Disarms. The log line
	// describes the first one.
	coordinator.log.Write(event.RankOrdered, "group", group.name, "operation", orderRequest(sends[0].Order, nil).GetOperation(), "ranks", len(sends),
		"notDone", notDone, "version", orderRequest(sends[0].Order, nil).GetVersion(), "step", orderRequest(sends[0].Order, nil).GetStep(), "epoch", epoch)
	return answered == len(sends)
}

func orderRequest(order swap.Order, sets []*wire.RankMap) *wire.RankOrder {
	switch order := order.(type) {
	case swap.Prepare:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_PREPARE, Version: order.Version, Sets: sets}
	case swap.Arm:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_ARM, Version: order.Version, Step: order.Step}
	case swap.Disarm:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_DISARM, Version: order.Version}
	case swap.Hold:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_HOLD, Step: order.Step}
	case swap.Release:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_GO, Step: order.Step}
	}
	return &wire.RankOrder{}
}

func rankStates(states []*wire.RankState) []swap.Rank {
	ranks := make([]swap.Rank, len(states))
	for at, state := range states {
		ranks[at] = swap.Rank{
			Epoch: state.GetEpoch(), Step: state.GetStep(), Sequence: state.GetSequence(), Map: state.GetMap(), Prepared: state.GetPrepared(),
			Armed: state.GetArmed(), ArmedStep: state.GetArmedStep(), Held: state.GetHeld(),
		}
	}
	return ranks
}
