// Package poll keeps a process up to date with the control VMs: configuration,
// endpoints and the load of other gateways. It asks; nothing is pushed, so a
// reply that a partition held back cannot make old state look current.
package poll

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// waitLimit is how long a control VM may hold a reply back when nothing
	// changed; loads of other gateways are at most this old.
	waitLimit = 150 * clock.Millis(1)
	// replyLimit is added for the way and a busy control VM.
	replyLimit = 500 * clock.Millis(1)
	// pause keeps a process from asking more often than loads change.
	pause = 50 * clock.Millis(1)
	// retryPause is the wait before the next control VM after a failure.
	retryPause = 100 * clock.Millis(1)
	// countLifetime is how long a count of gateways holds when later ones are
	// lower; partitions and restarts are shorter.
	countLifetime = clock.Minute
	// directControls is how many control VMs a gateway asks at a time; where there
	// are no more, each control VM hears of every gateway first-hand.
	directControls = 3
	// expireEvery is the time between searches for endpoints to forget.
	expireEvery = 10 * clock.Second
)

// Settings of a Poller.
type Settings struct {
	Node    string
	Zone    string
	Self    string
	Control bool
	// Sources is how many control VMs are asked at a time.
	Sources int
	// Seeds returns the addresses of control VMs from the settings.
	Seeds func() []string
	// Loads returns the work that this process knows first-hand at endpoints, and
	// how many gateways have it.
	Loads func() ([]*wire.EndpointLoad, int)
}

// Poller asks control VMs until it is closed.
type Poller struct {
	settings Settings
	view     *feed.View
	pool     *link.Pool
	clock    *clock.Clock
	log      *event.Log
	cancel   context.CancelFunc
	loops    conc.WaitGroup

	// mu guards the fields below. It comes after the view's lock is released.
	mu      sync.Mutex
	table   *roster.Table
	urgent  chan struct{}
	members map[string]string
	leader  string
	inUse   map[string]bool
	loads   map[string]int
	// gateways is the most processes that a control VM counted to share the load
	// since counted; a partition hides some.
	gateways int
	counted  clock.Millis
	expired  clock.Millis
}

// New returns a poller that has not begun to ask.
func New(settings Settings, view *feed.View, pool *link.Pool, ticker *clock.Clock, log *event.Log) *Poller {
	return &Poller{
		settings: settings, view: view, pool: pool, clock: ticker, log: log, table: roster.New(),
		urgent: make(chan struct{}), members: map[string]string{}, inUse: map[string]bool{},
	}
}

// Start begins to ask.
func (poller *Poller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	poller.cancel = cancel
	for slot := range poller.settings.Sources {
		poller.loops.Go(func() { poller.run(ctx, slot == 0) })
	}
}

// Close waits until nothing is asked any more.
func (poller *Poller) Close() {
	if poller.cancel != nil {
		poller.cancel()
	}
	poller.loops.Wait()
}

// run asks one control VM after the other. The first loop's is the primary.
func (poller *Poller) run(ctx context.Context, primary bool) {
	failed := ""
	lost := map[string]int{}
	for ctx.Err() == nil {
		address := poller.take(failed)
		if address != "" {
			err := poller.follow(ctx, address, primary, lost)
			poller.release(address)
			if ctx.Err() != nil {
				return
			}
			poller.pool.Discard(address)
			failed = address
			// Only the change is logged, not every try.
			if lost[address]++; lost[address] == 1 {
				poller.log.Write(event.FeedLost, "source", address, "revision", poller.view.State().Revision(), "age", poller.view.AgeText(), "error", err)
			}
		}
		if poller.clock.Sleep(ctx, retryPause) != nil {
			return
		}
	}
}

// take picks a control VM that no other loop asks: of the own zone first, and
// not the one that has just failed unless it is the only one.
func (poller *Poller) take(failed string) string {
	seeds := poller.settings.Seeds()
	poller.mu.Lock()
	defer poller.mu.Unlock()
	list := slices.Clone(seeds)
	for address := range poller.members {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	best, bestRank := "", 0
	for _, address := range list {
		if address == poller.settings.Self || poller.inUse[address] {
			continue
		}
		rank := 1
		if poller.members[address] == poller.settings.Zone {
			rank = 2
		}
		if address == failed {
			rank = 0
		}
		if best == "" || rank > bestRank {
			best, bestRank = address, rank
		}
	}
	if best != "" {
		poller.inUse[best] = true
	}
	return best
}

func (poller *Poller) release(address string) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	delete(poller.inUse, address)
}

// follow asks one control VM until it fails.
func (poller *Poller) follow(ctx context.Context, address string, primary bool, lost map[string]int) error {
	var incarnation, position uint64
	first := true
	for {
		began := poller.clock.Now()
		wait := waitLimit
		if first {
			wait = 0
		}
		reply, err := poller.ask(ctx, address, place{incarnation, position}, wait, poller.reports(primary))
		if err != nil {
			return err
		}
		if first {
			poller.log.Write(event.FeedRegained, "source", address, "revision", reply.GetConfig().GetRevision(), "failures", lost[address])
			delete(lost, address)
			first = false
		}
		incarnation, position = reply.GetIncarnation(), reply.GetPosition()
		if rest := pause - (poller.clock.Now() - began); rest > 0 {
			if err := poller.clock.Sleep(ctx, rest); err != nil {
				return err
			}
		}
	}
}

// Ask asks one control VM at once.
func (poller *Poller) Ask(ctx context.Context, address string) error {
	_, err := poller.ask(ctx, address, place{}, 0, false)
	return err
}

// reports tells whether this process reports its loads to a control VM and
// takes those of others from it. Where there are more control VMs than a gateway
// asks, each gateway reports to its primary one only, and control VMs pass on
// what was reported to them: a sum must not count a gateway twice.
func (poller *Poller) reports(primary bool) bool {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	crowded := len(poller.members) > directControls
	if poller.settings.Control {
		return crowded
	}
	return primary || !crowded
}

// place is how far a process knows the endpoints of a control VM.
type place struct{ incarnation, position uint64 }

func (poller *Poller) ask(ctx context.Context, address string, known place, wait clock.Millis, reports bool) (*wire.PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + replyLimit).Duration())
	defer cancel()
	request := &wire.PollRequest{
		Node: poller.settings.Node, Zone: poller.settings.Zone, Control: poller.settings.Control, Address: poller.settings.Self,
		Revision: poller.view.State().Revision(), Incarnation: known.incarnation, Position: known.position, Wait: int64(wait),
	}
	if reports {
		loads, gateways := poller.settings.Loads()
		request.Loads, request.Gateways = loads, uint32(gateways)
	}
	sent := poller.clock.Now()
	reply, err := wire.NewDRPCFleetClient(poller.pool.Conn(ctx, address)).Poll(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := poller.view.Apply(reply.GetConfig(), sent); err != nil {
		poller.log.Write(event.RevisionRefused, "source", address, "error", err)
		return nil, err
	}
	poller.merge(reply, sent, reports && !poller.settings.Control)
	return reply, nil
}

func (poller *Poller) merge(reply *wire.PollReply, sent clock.Millis, loads bool) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	for _, message := range reply.GetEndpoints() {
		poller.put(roster.FromMessage(message, sent))
	}
	for _, member := range reply.GetMembers() {
		poller.members[member.GetAddress()] = zoneOf(member)
	}
	if reply.GetLeader() != "" {
		poller.leader = reply.GetLeader()
	}
	if loads {
		poller.mergeLoads(reply)
	}
	if now := poller.clock.Now(); now-poller.expired > expireEvery {
		poller.expired = now
		poller.table.Expire(now)
	}
}

// mergeLoads takes the work of all other gateways.
func (poller *Poller) mergeLoads(reply *wire.PollReply) {
	if now := poller.clock.Now(); int(reply.GetGateways()) >= poller.gateways || now-poller.counted > countLifetime {
		poller.gateways, poller.counted = int(reply.GetGateways()), now
	}
	poller.loads = make(map[string]int, len(reply.GetLoads()))
	for _, load := range reply.GetLoads() {
		poller.loads[load.GetId()] = int(load.GetRunning())
	}
}

// zoneOf reads the zone that a control VM's name begins with, as ZONE/ADDRESS.
func zoneOf(member *wire.ControlMember) string {
	zone, _, _ := strings.Cut(member.GetName(), "/")
	return zone
}

// put merges a record and wakes those who wait when work may go elsewhere now.
func (poller *Poller) put(record roster.Record) {
	if poller.table.Put(record) != roster.Changed {
		return
	}
	known, _ := poller.table.Get(record.ID)
	poller.log.Write(event.EndpointChanged, "endpoint", known.ID, "service", known.Service, "address", known.Address,
		"draining", known.Draining, "gone", known.Gone, "epoch", known.Group.Epoch, "broken", known.Group.Broken,
		"sequence", known.Sequence, "age", poller.clock.Now()-known.Heard)
	close(poller.urgent)
	poller.urgent = make(chan struct{})
}

// Heard takes what an endpoint said to this process.
func (poller *Poller) Heard(record roster.Record) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	poller.put(record)
}

// Meet notes a control VM that asked this one.
func (poller *Poller) Meet(address, zone string) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	poller.members[address] = zone
}

// Endpoints returns the endpoints of a service that take new work.
func (poller *Poller) Endpoints(service string) []roster.Record {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Usable(service)
}

// Present returns the endpoints of a service that are not gone.
func (poller *Poller) Present(service string) []roster.Record {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Present(service)
}

// Group returns a group of ranks as its members last told, or as known when
// none tells more.
func (poller *Poller) Group(service string, known roster.Group) roster.Group {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Group(service, known)
}

// Since returns the records updated after a position, the new position, and a
// channel that is closed at the next change of where work may go.
func (poller *Poller) Since(position uint64) ([]roster.Record, uint64, <-chan struct{}) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Since(position), poller.table.Position(), poller.urgent
}

// Loads returns the work that all other gateways have, by endpoint.
func (poller *Poller) Loads() map[string]int {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.loads
}

// Gateways returns how many gateways share the endpoints, at least 1.
func (poller *Poller) Gateways() int {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return max(poller.gateways, 1)
}

// Leader returns the control leader's address as last heard.
func (poller *Poller) Leader() string {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.leader
}

// Members returns the known control VMs' addresses with their zones.
func (poller *Poller) Members() map[string]string {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	copied := make(map[string]string, len(poller.members))
	for address, zone := range poller.members {
		copied[address] = zone
	}
	return copied
}
