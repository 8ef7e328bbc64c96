// Package steer drives the expert maps of rank groups from the control leader:
// it reads the ranks through their agents, plans maps and has them swapped in.
package steer

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
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/swap"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// watchEvery is the time between reads of a group with nothing to do.
	watchEvery = 150 * clock.Millis(1)
	// waitEvery is the time between reads while ranks copy experts.
	waitEvery = 50 * clock.Millis(1)
	// heldReadLimit bounds it while the group may be stopped; a rank that does
	// not answer in that time is read and ordered without its agent.
	heldReadLimit = 200 * clock.Millis(1)
	// readLimit bounds the read of all ranks. One takes a few milliseconds, but
	// they share the processor of a control VM.
	readLimit = 600 * clock.Millis(1)
	// mostCounted bounds the ranks whose choices are read at a time; requests
	// are spread over ranks, so a part of them shows the popularity of all.
	mostCounted = 16
	// leastChoices is the number of choices in one set that a measurement of
	// its experts needs.
	leastChoices = 5000
	// noteEvery is the time between log lines on why ranks cannot be read.
	noteEvery = 5 * clock.Second
	// mostRounds bounds the rounds of orders without a pause.
	mostRounds = 12
)

// Settings of a Steer.
type Settings struct {
	// Listen is this process's address; agents listen on the same port.
	Listen string
	// Plan returns the configuration in force, or nil.
	Plan func() *plan.Plan
	// Endpoints returns all endpoints of a service that are not gone.
	Endpoints func(service string) []roster.Record
	// Engine returns a client of the engine at an address, for when its agent
	// does not answer. Its states are some hundred milliseconds old.
	Engine func(address string) agent.Engine
	// Leads tells whether this process is the control leader beyond doubt.
	Leads func() bool
}

// Steer is a running coordinator of all groups.
type Steer struct {
	settings Settings
	pool     *link.Pool
	clock    *clock.Clock
	log      *event.Log
	cancel   context.CancelFunc
	loop     conc.WaitGroup
	groups   map[string]*group
}

// group is what is known of one group.
type group struct {
	name   string
	engine plan.Engine
	swap   swap.Swap
	// version and epoch are those of held, the map in use.
	version, epoch uint64
	held           expert.Map
	known          bool
	wanted         expert.Map
	// counts holds the last choices read of each start of a rank, and measured
	// those that are not in loads yet.
	counts   map[int]counted
	measured rebal.Loads
	loads    rebal.Loads
	// turn is the next rank whose choices are read.
	turn int
	// unread is set while ranks cannot be read, and reason tells why, as logged
	// when noted.
	unread bool
	reason string
	noted  clock.Millis
}

// counted is the choices of one start of a rank.
type counted struct {
	born   int64
	counts []uint64
}

// New starts a coordinator.
func New(settings Settings, ticker *clock.Clock, log *event.Log) *Steer {
	ctx, cancel := context.WithCancel(context.Background())
	steer := &Steer{settings: settings, pool: link.NewPool(), clock: ticker, log: log, cancel: cancel, groups: map[string]*group{}}
	steer.loop.Go(func() { steer.run(ctx) })
	return steer
}

// Close stops giving orders.
func (steer *Steer) Close() error {
	steer.cancel()
	steer.loop.Wait()
	return steer.pool.Close()
}

func (steer *Steer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := watchEvery
		if !steer.settings.Leads() {
			clear(steer.groups)
		} else if now := steer.settings.Plan(); now != nil {
			for _, service := range now.Services() {
				if service.Engine != nil && service.Engine.Sets > 0 && steer.service(ctx, service) {
					wait = waitEvery
				}
			}
		}
		if steer.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// service drives the groups of one service. It returns whether one is busy.
func (steer *Steer) service(ctx context.Context, service plan.Service) bool {
	byGroup := map[string][]roster.Record{}
	for _, record := range steer.settings.Endpoints(service.Name) {
		if record.Group.Name != "" {
			byGroup[record.Group.Name] = append(byGroup[record.Group.Name], record)
		}
	}
	busy := false
	for name, records := range byGroup {
		known := steer.groups[service.Name+"/"+name]
		if known == nil {
			known = &group{name: name, engine: *service.Engine}
			steer.groups[service.Name+"/"+name] = known
		}
		ranks, err := inOrder(records)
		if err != nil {
			steer.note(known, err)
			continue
		}
		busy = steer.drive(ctx, known, ranks) || busy
	}
	return busy
}

// inOrder sorts the records of a whole group by rank.
func inOrder(records []roster.Record) ([]roster.Record, error) {
	size := records[0].Group.Size
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
	if at := slices.IndexFunc(ranks, func(record roster.Record) bool { return record.ID == "" }); at >= 0 || size == 0 {
		return nil, errors.Newf("rank %d of %d has sent no heartbeat", at, size)
	}
	return ranks, nil
}

// drive gives orders until there are none to give now. It returns whether a
// map is on its way.
func (steer *Steer) drive(ctx context.Context, known *group, ranks []roster.Record) bool {
	for round := range mostRounds {
		counted := 0
		if round == 0 {
			counted = mostCounted
		}
		limit := readLimit
		if known.swap.Holds() {
			limit = heldReadLimit
		}
		states, err := steer.read(ctx, limit, ranks, known.rotate(counted, len(ranks)))
		if err != nil {
			steer.note(known, err)
			steer.rescue(ctx, known, ranks, states)
			return known.swap.Busy()
		}
		steer.note(known, nil)
		known.measure(states)
		sends := known.swap.Next(rankStates(states), steer.clock.Now())
		if len(sends) == 0 && !known.swap.Busy() {
			steer.plan(ctx, known, ranks, states)
			sends = known.swap.Next(rankStates(states), steer.clock.Now())
		}
		if !steer.follow(ctx, known, ranks, states, sends) {
			break
		}
	}
	return known.swap.Busy()
}

// follow gives orders for as long as every rank answers with its state, which
// decides the next ones. It returns whether the ranks are to be read again at
// once.
func (steer *Steer) follow(ctx context.Context, known *group, ranks []roster.Record, states []*wire.RankState, sends []swap.Send) bool {
	for len(sends) > 0 && steer.settings.Leads() {
		if !known.known {
			// A new coordinator needs the map in use to void its predecessor's try.
			if err := steer.learn(ctx, known, ranks, states[0].GetMap(), states[0].GetEpoch()); err != nil {
				steer.note(known, err)
				return false
			}
		}
		told := steer.order(ctx, known, ranks, states, sends)
		if _, copying := sends[0].Order.(swap.Prepare); copying {
			return false
		}
		if !told {
			return true
		}
		sends = known.swap.Next(rankStates(states), steer.clock.Now())
	}
	return false
}

func (steer *Steer) note(known *group, err error) {
	unread, reason := err != nil, ""
	if unread {
		reason = err.Error()
	}
	now := steer.clock.Now()
	if unread != known.unread || reason != known.reason && now-known.noted > noteEvery {
		known.unread, known.reason, known.noted = unread, reason, now
		if unread {
			steer.log.Write(event.GroupUnread, "group", known.name, "error", err)
		} else {
			steer.log.Write(event.GroupRead, "group", known.name)
		}
	}
}

func (steer *Steer) client(ctx context.Context, rank roster.Record) (wire.DRPCRankClient, string, error) {
	address, err := agentAddress(rank.Address, steer.settings.Listen)
	if err != nil {
		return nil, "", err
	}
	return wire.NewDRPCRankClient(steer.pool.Conn(ctx, address)), address, nil
}

// agentAddress is that of the agent on the VM of an engine.
func agentAddress(engine, own string) (string, error) {
	there, err := netip.ParseAddrPort(engine)
	if err != nil {
		return "", errors.Wrap(err, "engine's address")
	}
	here, err := netip.ParseAddrPort(own)
	if err != nil {
		return "", errors.Wrap(err, "own address")
	}
	return netip.AddrPortFrom(there.Addr(), here.Port()).String(), nil
}

// rotate says what to read of each rank: the choices of some, in turn.
func (known *group) rotate(counted, size int) func(rank int) *wire.RankRead {
	first := known.turn
	if counted > 0 {
		known.turn = (known.turn + counted) % size
	}
	return func(rank int) *wire.RankRead {
		return &wire.RankRead{Counts: (rank-first+size)%size < counted}
	}
}

// read reads all ranks at once; it fails when one cannot be read, and returns
// the states of the others.
func (steer *Steer) read(
	ctx context.Context, limit clock.Millis, ranks []roster.Record, what func(rank int) *wire.RankRead,
) ([]*wire.RankState, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	states := make([]*wire.RankState, len(ranks))
	failures := make([]error, len(ranks))
	var reading conc.WaitGroup
	for at, rank := range ranks {
		reading.Go(func() {
			client, address, err := steer.client(ctx, rank)
			if err != nil {
				failures[at] = err
				return
			}
			state, err := client.Read(ctx, what(at))
			if err != nil {
				steer.pool.Discard(address)
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

// order gives orders to several ranks at once and puts the states that they
// answer with in the place of those before. It returns whether all did; else
// what the orders did shows when the ranks are read again.
func (steer *Steer) order(ctx context.Context, known *group, ranks []roster.Record, states []*wire.RankState, sends []swap.Send) bool {
	ctx, cancel := context.WithTimeout(ctx, readLimit.Duration())
	defer cancel()
	sets := encode(known.wanted)
	if prepare, ok := sends[0].Order.(swap.Prepare); ok && prepare.Fence {
		sets = encode(known.held)
	}
	var mu sync.Mutex
	refused, told := 0, 0
	before, epoch := slices.Clone(states), states[0].GetEpoch()
	var ordering conc.WaitGroup
	for _, send := range sends {
		made := message(send.Order, sets)
		made.Epoch, made.Expected = before[send.Rank].GetEpoch(), before[send.Rank].GetSequence()
		ordering.Go(func() {
			client, address, err := steer.client(ctx, ranks[send.Rank])
			var reply *wire.RankReply
			if err == nil {
				reply, err = client.Order(ctx, made)
			}
			if err != nil {
				steer.pool.Discard(address)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !reply.GetDone() {
				refused++
				known.swap.Unanswered(send.Rank)
			}
			if reply.GetState() != nil {
				told++
				states[send.Rank] = reply.GetState()
			}
		})
	}
	ordering.Wait()
	steer.log.Write(event.RankOrdered, "group", known.name, "operation", message(sends[0].Order, nil).GetOperation(), "ranks", len(sends),
		"notDone", refused, "version", message(sends[0].Order, nil).GetVersion(), "step", message(sends[0].Order, nil).GetStep(), "epoch", epoch)
	return told == len(sends)
}

func message(order swap.Order, sets []*wire.RankMap) *wire.RankOrder {
	switch order := order.(type) {
	case swap.Prepare:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_PREPARE, Version: order.Version, Sets: sets}
	case swap.Arm:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_ARM, Version: order.Version, Step: order.Step}
	case swap.Disarm:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_DISARM, Version: order.Version}
	case swap.Hold:
		return &wire.RankOrder{Operation: wire.RankOrder_OPERATION_HOLD, Step: order.Step}
	case swap.Go:
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
