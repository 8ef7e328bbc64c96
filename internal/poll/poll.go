// Package poll keeps a process up to date with the control VMs: configuration,
// endpoints and the load of other gateways. State is polled rather than pushed, so
// that a message delayed by a partition cannot make old state look current. Gateways
// and control VMs use it.
package poll

import (
	"context"
	"math/bits"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/knee"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/shed"
	"github.com/hibiscuslug/hibiscuslug/internal/source"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// longPollTimeout is how long a control VM may delay a reply when nothing changed;
	// it bounds the age of other gateways' loads.
	longPollTimeout = 150 * clock.Millis(1)
	// replyMargin is added to the request timeout for network latency and a busy
	// control VM.
	replyMargin = 500 * clock.Millis(1)
	// minPollInterval prevents polling more often than loads change.
	minPollInterval = 50 * clock.Millis(1)
	// retryDelay is the delay before polling another control VM after a failure.
	retryDelay = 100 * clock.Millis(1)
	// gatewayCountLifetime is how long a gateway count is kept when later counts are
	// lower; it is longer than partitions and restarts, which hide gateways.
	gatewayCountLifetime = clock.Minute
	// maxDirectControls is the number of control VMs that a gateway polls at a time. It
	// must equal controlSources in package gate, from which a gateway's Sources is set.
	// With no more control VMs than this, every gateway reports to all of them.
	maxDirectControls = 3
	// expireInterval is the time between removals of expired endpoints.
	expireInterval = 10 * clock.Second
)

// Settings of a Poller.
type Settings struct {
	Node string
	Zone string
	// Self is the own address of a control VM, which is not polled.
	Self string
	// Control is set when the process is a control VM.
	Control bool
	// Sources is the number of control VMs polled at a time.
	Sources int
	// Seeds returns the control VM addresses from the settings.
	Seeds func() []string
	// Report returns the load known directly to this process.
	Report func() Report
	// Board holds the evidence of crashes, limits and notices, which is exchanged with
	// control VMs.
	Board *board.Board
}

// Report is the load of one or several gateways.
type Report struct {
	Loads []*wire.EndpointLoad
	Uses  []*wire.ServiceUse
	// Gateways is the number of gateways that the report comes from.
	Gateways uint32
}

// Poller polls control VMs until it is closed.
type Poller struct {
	settings Settings
	view     *feed.View
	pool     *link.Pool
	clock    *clock.Clock
	log      *event.Log
	cancel   context.CancelFunc
	loops    conc.WaitGroup

	// mu guards the fields below. It is acquired only after the view's lock is released,
	// and before the board's lock.
	mu    sync.Mutex
	table *roster.Table
	// changed is closed and replaced when the set of usable endpoints may have changed.
	changed chan struct{}
	// sources holds the control VMs that are known and those that are polled.
	sources source.Table
	leader  string
	loads   map[string]choose.Load
	// totals holds the recent responses to all other gateways, by endpoint ID.
	totals map[string]knee.Total
	// uses holds the streams in flight from other gateways, by service.
	uses map[string][]shed.Use
	// gateways is the highest number of gateways that a control VM reported within
	// gatewayCountLifetime, since a partition hides some; countedAt is the time of it.
	gateways  int
	countedAt clock.Millis
	expiredAt clock.Millis
}

// New returns a poller. Start begins polling.
func New(settings Settings, view *feed.View, pool *link.Pool, ticker *clock.Clock, log *event.Log) *Poller {
	return &Poller{
		settings: settings, view: view, pool: pool, clock: ticker, log: log, table: roster.New(),
		changed: make(chan struct{}), sources: source.New(settings.Zone, settings.Self),
	}
}

// Start begins polling in the background.
func (poller *Poller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	poller.cancel = cancel
	for slot := range poller.settings.Sources {
		poller.loops.Go(func() { poller.run(ctx, slot == 0) })
	}
}

// Close stops polling and waits until all requests have ended.
func (poller *Poller) Close() {
	if poller.cancel != nil {
		poller.cancel()
	}
	poller.loops.Wait()
}

// run polls one control VM until it fails, then another. The control VM that the first
// loop polls is the primary one.
func (poller *Poller) run(ctx context.Context, primary bool) {
	attempts := 0
	for ctx.Err() == nil {
		address := poller.pickSource()
		if address != "" {
			replied, err := poller.follow(ctx, address, primary)
			if ctx.Err() != nil {
				return
			}
			poller.pool.Discard(address)
			if replied {
				attempts = 0
			}
			attempts++
			poller.fail(address, attempts, err)
		}
		if poller.clock.Sleep(ctx, retryDelay) != nil {
			return
		}
	}
}

// pickSource picks a control VM that no other loop polls, or "" if there is none.
func (poller *Poller) pickSource() string {
	seeds := poller.settings.Seeds()
	poller.mu.Lock()
	defer poller.mu.Unlock()
	var address string
	poller.sources, address = poller.sources.WithPicked(seeds, poller.clock.Now())
	return address
}

// fail records that polling a control VM failed. attempts counts the loop's attempts since
// a reply.
func (poller *Poller) fail(address string, attempts int, err error) {
	poller.mu.Lock()
	poller.sources = poller.sources.WithFailure(address, poller.clock.Now())
	failures, known := poller.sources.Failures(address), describe(poller.sources.Controls())
	poller.mu.Unlock()
	// Attempts 1, 2, 4, 8 and so on without a reply are logged besides the first failure
	// of an address, so that the volume stays bounded.
	if failures == 1 || bits.OnesCount(uint(attempts)) == 1 {
		poller.log.Write(event.FeedLost, "source", address, "failures", failures, "attempts", attempts, "known", known,
			"revision", poller.view.State().Revision(), "age", poller.view.AgeText(), "error", err)
	}
}

// describe formats control VMs for the log.
func describe(controls []source.Control) string {
	texts := make([]string, len(controls))
	for at, control := range controls {
		texts[at] = control.Zone + "/" + control.Address
	}
	return strings.Join(texts, ",")
}

// follow polls one control VM until it fails, and reports whether it replied before.
func (poller *Poller) follow(ctx context.Context, address string, primary bool) (replied bool, _ error) {
	from := cursor{}
	for {
		began := poller.clock.Now()
		wait, failures := longPollTimeout, 0
		if !replied {
			wait, failures = 0, poller.failuresOf(address)
		}
		reply, next, err := poller.poll(ctx, address, from, wait, poller.sharesLoads(primary))
		if err != nil {
			return replied, err
		}
		if !replied {
			poller.log.Write(event.FeedRegained, "source", address, "revision", reply.GetConfig().GetRevision(), "failures", failures)
			replied = true
		}
		from = next
		if remaining := minPollInterval - (poller.clock.Now() - began); remaining > 0 {
			if err := poller.clock.Sleep(ctx, remaining); err != nil {
				return replied, err
			}
		}
	}
}

func (poller *Poller) failuresOf(address string) int {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.sources.Failures(address)
}

// PollOnce polls one control VM, which replies at once.
func (poller *Poller) PollOnce(ctx context.Context, address string) error {
	_, _, err := poller.poll(ctx, address, cursor{}, 0, false)
	return err
}

// sharesLoads reports whether this process sends its loads to a control VM. A gateway
// then also takes the loads of the other gateways from the reply; a control VM takes
// none, since it gets them in the requests of others. With more control VMs than a
// gateway polls, each gateway reports only to its primary one, and control VMs forward
// these reports to each other, so that no gateway is counted twice in a sum.
func (poller *Poller) sharesLoads(primary bool) bool {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	forwarded := len(poller.sources.Controls()) > maxDirectControls
	if poller.settings.Control {
		return forwarded
	}
	return primary || !forwarded
}

// cursor is what this process has received from a control VM and sent to it.
type cursor struct {
	// incarnation is that of the control process, position the one in its endpoint
	// updates.
	incarnation, position uint64
	// evidence is the revision of its evidence, sent that of the own evidence that it has.
	evidence, sent board.Revision
}

func (poller *Poller) poll(ctx context.Context, address string, from cursor, wait clock.Millis, withLoads bool) (*wire.PollReply, cursor, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + replyMargin).Duration())
	defer cancel()
	request := &wire.PollRequest{
		Node: poller.settings.Node, Zone: poller.settings.Zone, Control: poller.settings.Control, Address: poller.settings.Self,
		Revision: poller.view.State().Revision(), Incarnation: from.incarnation, Position: from.position, Wait: int64(wait),
		EvidenceRevision: from.evidence.Crashes, LimitRevision: from.evidence.Limits, NoticeRevision: from.evidence.Notices,
	}
	request.Evidence, _ = poller.settings.Board.Evidence(from.sent)
	if withLoads {
		report := poller.settings.Report()
		request.Loads, request.Uses, request.Gateways = report.Loads, report.Uses, report.Gateways
	}
	sent := poller.clock.Now()
	reply, err := wire.NewDRPCFleetClient(poller.pool.Conn(ctx, address)).Poll(ctx, request)
	if err != nil {
		return nil, from, err
	}
	if err := poller.view.Apply(reply.GetConfig(), sent); err != nil {
		poller.log.Write(event.RevisionRefused, "source", address, "error", err)
		return nil, from, err
	}
	poller.merge(address, reply, sent, withLoads && !poller.settings.Control)
	poller.settings.Board.Record(poller.view.State().CrashBlocks())
	poller.settings.Board.Merge(reply.GetEvidence())
	return reply, from.next(request, reply), nil
}

// next returns the cursor after a poll. A control process that has started again has got
// at most a part of the own evidence, so all of it is sent once more.
func (from cursor) next(request *wire.PollRequest, reply *wire.PollReply) cursor {
	next := cursor{incarnation: reply.GetIncarnation(), position: reply.GetPosition(), evidence: from.evidence, sent: from.sent}
	if request.GetEvidence() != nil {
		next.sent = board.RevisionOf(request.GetEvidence())
	}
	if from.incarnation != 0 && reply.GetIncarnation() != from.incarnation {
		next.evidence, next.sent = board.Revision{}, board.Revision{}
	}
	if reply.GetEvidence() != nil {
		next.evidence = board.RevisionOf(reply.GetEvidence())
	}
	return next
}

func (poller *Poller) merge(address string, reply *wire.PollReply, sent clock.Millis, withLoads bool) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	for _, message := range reply.GetEndpoints() {
		poller.put(roster.FromMessage(message, sent))
	}
	poller.mergeControls(address, reply.GetMembers(), sent)
	if reply.GetLeader() != "" {
		poller.leader = reply.GetLeader()
	}
	if withLoads {
		poller.mergeLoads(reply)
	}
	if now := poller.clock.Now(); now-poller.expiredAt > expireInterval {
		poller.expiredAt = now
		poller.table.Expire(now)
		poller.forgetGone()
		poller.settings.Board.Expire()
	}
}

// mergeControls stores the control VMs that one of them named. The caller holds mu.
func (poller *Poller) mergeControls(address string, members []*wire.ControlMember, sent clock.Millis) {
	heard := make([]source.Control, len(members))
	// A control VM of an earlier version tells no silence, and one whose silence is not
	// known is not preferred.
	for at, member := range members {
		silence := source.SilenceLimit
		if member.Silence != nil {
			silence = max(clock.Millis(member.GetSilence()), 0)
		}
		heard[at] = source.Control{Address: member.GetAddress(), Zone: zoneOf(member), HeardAt: sent - silence}
	}
	poller.sources = poller.sources.WithReply(address, sent).WithHeard(poller.clock.Now(), heard...)
}

// forgetGone forgets the control VMs that no process has heard from for a while. The caller
// holds mu.
func (poller *Poller) forgetGone() {
	var gone []string
	if poller.sources, gone = poller.sources.WithoutGone(poller.settings.Seeds()); len(gone) > 0 {
		poller.log.Write(event.ControlForgotten, "addresses", strings.Join(gone, ","), "known", describe(poller.sources.Controls()))
	}
}

// mergeLoads stores the number of gateways and the loads of all other gateways.
func (poller *Poller) mergeLoads(reply *wire.PollReply) {
	if now := poller.clock.Now(); int(reply.GetGateways()) >= poller.gateways || now-poller.countedAt > gatewayCountLifetime {
		poller.gateways, poller.countedAt = int(reply.GetGateways()), now
	}
	poller.loads = make(map[string]choose.Load, len(reply.GetLoads()))
	poller.totals = make(map[string]knee.Total, len(reply.GetLoads()))
	for _, load := range reply.GetLoads() {
		poller.loads[load.GetId()] = choose.Load{Work: int(load.GetRunning()), Late: int(load.GetLate())}
		poller.totals[load.GetId()] = knee.Total{Ended: int(load.GetEnded()), Took: clock.Millis(load.GetTook())}
	}
	poller.uses = map[string][]shed.Use{}
	for _, use := range reply.GetUses() {
		poller.uses[use.GetService()] = append(poller.uses[use.GetService()], shed.Use{Level: int(use.GetLevel()), Streams: int(use.GetStreams())})
	}
}

// zoneOf returns the zone from a control VM's name, which has the form ZONE/ADDRESS.
func zoneOf(member *wire.ControlMember) string {
	zone, _, _ := strings.Cut(member.GetName(), "/")
	return zone
}

// put merges a record and notifies waiters when the set of usable endpoints may have
// changed. The caller holds mu.
func (poller *Poller) put(record roster.Record) {
	if poller.table.Put(record) != roster.Changed {
		return
	}
	merged, _ := poller.table.Get(record.ID)
	poller.log.Write(event.EndpointChanged, "endpoint", merged.ID, "service", merged.Service, "address", merged.Address,
		"draining", merged.Draining, "gone", merged.Gone, "epoch", merged.Group.Epoch, "broken", merged.Group.Broken,
		"born", merged.Born, "endedAt", merged.EndedAt, "sequence", merged.Sequence, "age", poller.clock.Now()-merged.ReceivedAt)
	close(poller.changed)
	poller.changed = make(chan struct{})
}

// PutEndpoint merges a record that was sent to this process, and returns what is then known
// of its endpoint, if anything.
func (poller *Poller) PutEndpoint(record roster.Record) (roster.Record, bool) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	poller.put(record)
	return poller.table.Get(record.ID)
}

// AddMember adds a control VM that polled this one.
func (poller *Poller) AddMember(address, zone string) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	now := poller.clock.Now()
	poller.sources = poller.sources.WithHeard(now, source.Control{Address: address, Zone: zone, HeardAt: now})
}

// Endpoints returns the endpoints of a service that accept new work.
func (poller *Poller) Endpoints(service string) []roster.Record {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Usable(service)
}

// Present returns the endpoints of a service that are not gone, including silent ones
// until they expire.
func (poller *Poller) Present(service string) []roster.Record {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Present(service)
}

// Holder returns the latest start at the address of an endpoint that is known.
func (poller *Poller) Holder(endpoint string) (roster.Record, bool) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Holder(endpoint)
}

// Group returns the latest epoch of a group of ranks that one of its members reported,
// or the given group if none reported a later one.
func (poller *Poller) Group(service string, group roster.Group) roster.Group {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Group(service, group)
}

// Since returns the records updated after a position, the new position, and a channel
// that is closed when the set of usable endpoints may have changed.
func (poller *Poller) Since(position uint64) ([]roster.Record, uint64, <-chan struct{}) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.table.Since(position), poller.table.Position(), poller.changed
}

// Loads returns the loads of all other gateways by endpoint ID.
func (poller *Poller) Loads() map[string]choose.Load {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.loads
}

// Totals returns the recent responses to all other gateways by endpoint ID. The map must
// not be modified.
func (poller *Poller) Totals() map[string]knee.Total {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.totals
}

// Uses returns the streams of all other gateways in flight at a service, by level. The
// list must not be modified.
func (poller *Poller) Uses(service string) []shed.Use {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.uses[service]
}

// Gateways returns the number of gateways that share the endpoints, or 0 if no control
// VM has told it yet.
func (poller *Poller) Gateways() int {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.gateways
}

// Leader returns the control leader's address as last reported.
func (poller *Poller) Leader() string {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.leader
}

// Controls lists the known control VMs.
func (poller *Poller) Controls() []source.Control {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return poller.sources.Controls()
}
