package coord_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/internal/agent"
	"github.com/hibiscuslug/hibiscuslug/internal/coord"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestCoord(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Coord")
}

const (
	limit        = 30 * time.Second
	size         = 3
	experts      = 6
	slotsPerRank = 3
	// passEvery is the time between passes, choices the number of expert
	// choices that a rank counts per pass.
	passEvery = 20 * time.Millisecond
	choices   = 10_000
)

// group is a fake group of ranks with one layer of experts, of which expert 0 is
// the most popular.
type group struct {
	mu       sync.Mutex
	ranks    [size]*wire.RankState
	highest  [size]uint64
	prepared [size][][]uint32
	isMixed  bool
	// told holds the paces that gateways were told of, by endpoint.
	told map[quota.Endpoint]float64
	// stopOnHold stops the agent of rank 0 once a rank is held; agentStopped is
	// set once that has happened.
	stopOnHold, agentStopped bool
}

func newGroup() *group {
	group := &group{told: map[quota.Endpoint]float64{}}
	for at := range group.ranks {
		set := &wire.RankSet{}
		for expertID := at; expertID < experts; expertID += size {
			set.Experts = append(set.Experts, uint32(expertID))
		}
		group.ranks[at] = &wire.RankState{
			Born: 1, Epoch: 1, Running: 4, Counts: make([]uint64, experts), Experts: []*wire.RankSet{set},
		}
	}
	return group
}

// pass begins the next pass unless a rank holds it.
func (group *group) pass() {
	group.mu.Lock()
	defer group.mu.Unlock()
	step := group.ranks[0].Step + 1
	if slices.ContainsFunc(group.ranks[:], func(rank *wire.RankState) bool { return rank.Held == step }) {
		return
	}
	for at, rank := range group.ranks {
		rank.Step = step
		for expertID := range rank.Counts {
			rank.Counts[expertID] += choices / experts
		}
		rank.Counts[0] += choices
		if rank.Armed != 0 && rank.ArmedStep == step {
			rank.Map, rank.Armed, rank.ArmedStep = rank.Armed, 0, 0
			rank.Experts = []*wire.RankSet{{Experts: group.prepared[at][0]}}
		}
	}
	for _, rank := range group.ranks {
		group.isMixed = group.isMixed || rank.Map != group.ranks[0].Map
	}
}

func (group *group) step() uint64 {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.ranks[0].Step
}

func (group *group) isAgentStopped() bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.agentStopped
}

func (group *group) setPace(rank int, pace float64) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.ranks[rank].Pace = pace
}

func (group *group) toldPace(rank int) float64 {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.told[quota.Endpoint{ID: fmt.Sprintf("e%d", rank), Incarnation: 1}]
}

func (group *group) held(rank int) int {
	group.mu.Lock()
	defer group.mu.Unlock()
	return len(group.ranks[rank].Experts[0].GetExperts())
}

// popularReplicas counts the ranks that hold the most popular expert.
func (group *group) popularReplicas() int {
	group.mu.Lock()
	defer group.mu.Unlock()
	found := 0
	for _, rank := range group.ranks {
		if slices.Contains(rank.Experts[0].GetExperts(), 0) {
			found++
		}
	}
	return found
}

// engine is one rank of the group.
type engine struct {
	group *group
	at    int
}

func (engine engine) Close() {}

func (engine engine) Read(context.Context, *wire.RankRead) (*wire.RankState, error) {
	engine.group.mu.Lock()
	defer engine.group.mu.Unlock()
	return proto.CloneOf(engine.group.ranks[engine.at]), nil
}

func (engine engine) Order(_ context.Context, order *wire.RankOrder) (*wire.RankReply, error) {
	group := engine.group
	group.mu.Lock()
	defer group.mu.Unlock()
	rank := group.ranks[engine.at]
	switch order.GetOperation() {
	case wire.RankOrder_OPERATION_PREPARE:
		if order.GetVersion() <= group.highest[engine.at] {
			return &wire.RankReply{Error: "old version"}, nil
		}
		group.highest[engine.at], rank.Prepared = order.GetVersion(), order.GetVersion()
		group.prepared[engine.at] = [][]uint32{order.GetSets()[0].GetRanks()[engine.at].GetExperts()}
	case wire.RankOrder_OPERATION_ARM:
		if order.GetVersion() != rank.Prepared || order.GetStep() <= rank.Step {
			return &wire.RankReply{Error: "does not fit"}, nil
		}
		rank.Armed, rank.ArmedStep = order.GetVersion(), order.GetStep()
	case wire.RankOrder_OPERATION_DISARM:
		rank.Armed, rank.ArmedStep = 0, 0
	case wire.RankOrder_OPERATION_HOLD:
		if order.GetStep() <= rank.Step {
			return &wire.RankReply{Error: "the step has begun"}, nil
		}
		rank.Held = order.GetStep()
		group.agentStopped = group.stopOnHold
	case wire.RankOrder_OPERATION_UNSPECIFIED:
		return &wire.RankReply{Error: "no such order"}, nil
	case wire.RankOrder_OPERATION_GO:
		if rank.Held == order.GetStep() {
			rank.Held = 0
		}
	}
	return &wire.RankReply{Done: true}, nil
}

// agentEngine is an engine behind an agent that may stop.
type agentEngine struct{ engine }

var errStopped = errors.New("the agent has stopped")

func (engine agentEngine) stopped() bool {
	engine.group.mu.Lock()
	defer engine.group.mu.Unlock()
	return engine.at == 0 && engine.group.agentStopped
}

func (engine agentEngine) Read(ctx context.Context, read *wire.RankRead) (*wire.RankState, error) {
	if engine.stopped() {
		return nil, errStopped
	}
	return engine.engine.Read(ctx, read)
}

func (engine agentEngine) Order(ctx context.Context, order *wire.RankOrder) (*wire.RankReply, error) {
	if engine.stopped() {
		return nil, errStopped
	}
	return engine.engine.Order(ctx, order)
}

// address returns the address of the agent of a rank; engines are on the same
// host with another port.
func address(at int, port string) string { return fmt.Sprintf("127.0.0.%d:%s", at+2, port) }

// start runs agents for the ranks and a coordinator.
func start(group *group) {
	startWith(group, plan.Engine{
		RequestSlots: 4, Layers: 1, Experts: experts, ExpertSlotsPerRank: slotsPerRank, Spare: 2, ExpertShare: 0.85, CopyMillis: 14,
	}, size)
}

// startWith runs agents for the ranks, whose heartbeats name a size of the group,
// and a coordinator.
func startWith(group *group, engineOf plan.Engine, claimed int) {
	listener, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	_, port, err := net.SplitHostPort(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	records := make([]roster.Record, size)
	for at := range records {
		server, err := agent.New(opts.Node{Name: "agent", Listen: address(at, port)}, agentEngine{engine{group, at}}, clock.NewSystem(), event.Discard())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		records[at] = roster.Record{
			ID: fmt.Sprintf("e%d", at), Service: "llm", Address: address(at, "1"), Born: 1,
			Group: roster.Group{Name: "g", Epoch: 1, Rank: at, Size: claimed},
		}
	}
	document, err := plan.New(1, nil, []plan.Service{{Name: "llm", Engine: &engineOf}}, nil, plan.Limits{})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var passing conc.WaitGroup
	DeferCleanup(func() { cancel(); passing.Wait() })
	passing.Go(func() {
		for ctx.Err() == nil {
			group.pass()
			time.Sleep(passEvery)
		}
	})
	running := coord.New(coord.Settings{
		Listen: "127.0.0.1:" + port, Plan: func() *plan.Plan { return document },
		Endpoints: func(string) []roster.Record { return records }, Leads: func() bool { return true },
		SetPace: func(endpoint quota.Endpoint, pace float64) {
			group.mu.Lock()
			defer group.mu.Unlock()
			group.told[endpoint] = pace
		},
		Engine: func(at string) agent.Engine {
			return engine{group, slices.IndexFunc(records, func(record roster.Record) bool { return record.Address == at })}
		},
	}, clock.NewSystem(), event.Discard())
	DeferCleanup(running.Close)
}

var _ = It("adds replicas of the most popular expert", func() {
	group := newGroup()
	start(group)
	Eventually(group.popularReplicas).WithTimeout(limit).Should(BeNumerically(">", 1))
	group.mu.Lock()
	defer group.mu.Unlock()
	Expect(group.isMixed).To(BeFalse())
})

// Guards against a group in which every pass waits for one slow rank.
var _ = It("takes the experts from a slow rank and returns them when it is fast again", func() {
	const slow = 2
	group := newGroup()
	group.setPace(slow, 12)
	start(group)
	Eventually(func() int { return group.held(slow) }).WithTimeout(limit).Should(BeZero())
	Expect(group.toldPace(slow)).To(Equal(12.0))
	Expect(group.toldPace(0)).To(BeZero())
	group.setPace(slow, 1)
	Eventually(func() int { return group.held(slow) }).WithTimeout(limit).Should(BeNumerically(">", 0))
	Expect(group.toldPace(slow)).To(Equal(1.0))
	group.mu.Lock()
	defer group.mu.Unlock()
	Expect(group.isMixed).To(BeFalse())
})

// Guards against a hold that stands until the stopped agent of the rank with the
// hold is running again.
var _ = It("resumes a group when the agent of the rank with the hold has stopped", func() {
	group := newGroup()
	group.stopOnHold = true
	start(group)
	Eventually(group.isAgentStopped).WithTimeout(limit).Should(BeTrue())
	began := group.step()
	Eventually(group.step).WithTimeout(limit).Should(BeNumerically(">", began+5))
	group.mu.Lock()
	defer group.mu.Unlock()
	Expect(group.isMixed).To(BeFalse())
})

// Guards against a control process that one heartbeat or configuration takes down:
// sizes in them were allocated before anything confirmed them.
var _ = DescribeTable("goes on when a size cannot be true",
	func(engineOf plan.Engine, claimed int) {
		group := newGroup()
		startWith(group, engineOf, claimed)
		// The reads go on without a panic, and the map in use stays.
		began := group.step()
		Eventually(group.step).WithTimeout(limit).Should(BeNumerically(">", began+20))
		group.mu.Lock()
		defer group.mu.Unlock()
		Expect(group.isMixed).To(BeFalse())
		Expect(group.ranks[0].GetMap()).To(BeZero())
	},
	Entry("a group of less than no ranks", plan.Engine{RequestSlots: 4, Layers: 1, Experts: experts, ExpertSlotsPerRank: slotsPerRank}, -1),
	Entry("a group of more ranks than fit into memory", plan.Engine{RequestSlots: 4, Layers: 1, Experts: experts, ExpertSlotsPerRank: slotsPerRank}, 1<<53),
	Entry("more layers than fit into memory", plan.Engine{RequestSlots: 4, Layers: 1 << 53, Experts: experts, ExpertSlotsPerRank: slotsPerRank}, size),
	Entry("more experts than fit into memory", plan.Engine{RequestSlots: 4, Layers: 1, Experts: 1 << 53, ExpertSlotsPerRank: slotsPerRank}, size),
	Entry("more places than fit into memory", plan.Engine{RequestSlots: 4, Layers: 1, Experts: experts, ExpertSlotsPerRank: 1 << 53}, size),
)
