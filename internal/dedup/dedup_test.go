package dedup_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/dedup"
	"github.com/hibiscuslug/hibiscuslug/internal/endpt"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestDedup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dedup")
}

const limit = 20 * time.Second

// control is a fake control VM: a claim table that is served by drpc.
type control struct {
	mu    sync.Mutex
	table *claim.Table
}

// Apply applies a claim operation.
func (control *control) Apply(_ context.Context, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	control.mu.Lock()
	defer control.mu.Unlock()
	return control.table.Apply(op), nil
}

// entry is a fake of the parts of an entry VM that Runner uses.
type entry struct {
	*member.Table
	ticker *clock.Clock
}

// Announce stores an endpoint process's announcement.
func (entry *entry) Announce(_ context.Context, announcement *wire.Announcement) (*wire.AnnounceReply, error) {
	entry.Observe(announcement, entry.ticker.Now())
	return &wire.AnnounceReply{Interval: 100}, nil
}

// Exchange returns an empty digest; endpoint processes do not call it.
func (entry *entry) Exchange(context.Context, *wire.Digest) (*wire.Digest, error) {
	return &wire.Digest{}, nil
}

// Candidates lists the engines of all endpoints.
func (entry *entry) Candidates() []place.Candidate {
	var list []place.Candidate
	for _, node := range entry.Role(wire.NodeRole_NODE_ROLE_ENDPOINT) {
		for _, engine := range node.GetEngines() {
			list = append(list, place.Candidate{
				Endpoint: node.GetNode(), Address: node.GetAddress(), Incarnation: node.GetIncarnation(), Engine: engine,
			})
		}
	}
	return list
}

// Begin and End do nothing: the tests do not use load counts.
func (entry *entry) Begin(place.Candidate)                 {}
func (entry *entry) End(place.Candidate, *wire.EngineLoad) {}

// slow is a router that delays attempts between their claim and their dispatch.
type slow struct {
	*route.Router
	claimed chan struct{}
	gate    chan struct{}
}

// Attempt blocks until gate is closed, then sends the attempt.
func (slow *slow) Attempt(ctx context.Context, request call.Call, number uint32, choice place.Choice, sink route.Sink) route.Result {
	close(slow.claimed)
	<-slow.gate
	return slow.Router.Attempt(ctx, request, number, choice, sink)
}

// caller is a sink that records the answer to one caller.
type caller struct {
	status int
	body   []byte
}

// Head records the status.
func (caller *caller) Head(status int, _ string) { caller.status = status }

// Data appends a part of the body.
func (caller *caller) Data(events [][]byte) error {
	for _, event := range events {
		caller.body = append(caller.body, event...)
	}
	return nil
}

func serve(register func(*link.Server) error) string {
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(register(server)).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	return server.Address()
}

var _ = Describe("an attempt that was claimed and not sent", func() {
	var desk *fake.Desk
	var settings dedup.Settings
	var router *route.Router
	var members *entry
	var addresses []string
	request := func(id string) call.Call {
		return call.Call{
			ID: id, Customer: &wire.Customer{Name: "clinic"}, Kind: wire.Kind_KIND_ORDER, Service: "desk", Key: "k",
			Method: "POST", Path: "/services/desk/book", Body: []byte("kit"),
		}
	}
	start := func(name, url string) *endpt.Endpoint {
		running, err := endpt.New(endpt.Settings{
			Node: opts.Node{Name: name, Zone: "zone1", Listen: "127.0.0.1:0"},
			Endpoint: opts.Endpoint{
				Entry: addresses, Engine: []string{"order," + name + "-desk," + url + ",desk"}, Slots: 8, Lifetime: clock.Minute, AnnounceEvery: 100,
			},
		}, clock.NewSystem(), event.Discard())
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { _, ok := members.Node(name); return ok }).WithTimeout(limit).Should(BeTrue())
		return running
	}

	BeforeEach(func() {
		var err error
		desk, err = fake.NewDesk("127.0.0.1:0", 0)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(desk.Close)
		ticker, pool := clock.NewSystem(), link.NewPool()
		DeferCleanup(pool.Close)
		members = &entry{Table: member.NewTable(), ticker: ticker}
		leader := serve(func(server *link.Server) error {
			return wire.DRPCRegisterClaims(server.Mux(), &control{table: claim.NewTable()})
		})
		addresses = []string{serve(func(server *link.Server) error { return wire.DRPCRegisterMember(server.Mux(), members) })}
		router = route.New(route.Settings{Node: "entry1", SilenceLimit: clock.Second}, pool,
			place.New("zone1", func(int) int { return 0 }), members, noCrashTracker{}, ledger.New(10), ticker, event.Discard())
		settings = dedup.Settings{
			Claims: dedup.NewClaims(pool, ticker, []string{leader}), Pool: pool, Endpoints: members.Node,
			Clock: ticker, Log: event.Discard(), SilenceLimit: clock.Second,
		}
	})

	// Guards against running the work twice when the first sender is only slow.
	It("is replaced after it is fenced, and its late sender gets the other attempt's answer", func() {
		DeferCleanup(start("endpoint1", desk.URL()).Close)
		lateRouter := &slow{Router: router, claimed: make(chan struct{}), gate: make(chan struct{})}
		first, second := &caller{}, &caller{}
		ended := make(chan route.Result)
		go func() {
			lateSettings := settings
			lateSettings.Router = lateRouter
			ended <- dedup.New(lateSettings).Do(context.Background(), request("r1"), first)
		}()
		Eventually(lateRouter.claimed).WithTimeout(limit).Should(BeClosed())
		settings.Router = router
		Expect(dedup.New(settings).Do(context.Background(), request("r2"), second).Outcome).To(Equal(wire.Outcome_OUTCOME_OK))
		close(lateRouter.gate)
		var result route.Result
		Eventually(ended).WithTimeout(limit).Should(Receive(&result))
		Expect(result.Outcome).To(Equal(wire.Outcome_OUTCOME_OK), "%v", result.Err)
		Expect(first.body).To(Equal(second.body))
		Expect(desk.Booked()).To(Equal(map[string]int{"kit": 1}))
	})

	// Guards against a key that stays claimed by attempts that never ran.
	It("is reported as notRun when no engine is left, and runs on the next engine", func() {
		settings.Router = router
		DeferCleanup(start("endpoint1", "http://127.0.0.1:1").Close)
		result := dedup.New(settings).Do(context.Background(), request("r1"), &caller{})
		Expect(result.Outcome).To(Equal(wire.Outcome_OUTCOME_NOT_RUN), "%v", result.Err)
		DeferCleanup(start("endpoint2", desk.URL()).Close)
		result = dedup.New(settings).Do(context.Background(), request("r2"), &caller{})
		Expect(result.Outcome).To(Equal(wire.Outcome_OUTCOME_OK), "%v", result.Err)
		Expect(desk.Booked()).To(Equal(map[string]int{"kit": 1}))
	})
})

// Gone does nothing: candidates come from the member table alone.
func (entry *entry) Gone(place.Candidate) {}

// noCrashTracker is a crash tracker that suspects no request.
type noCrashTracker struct{}

func (noCrashTracker) Decide(call.Call) crash.Decision { return crash.Decision{} }
func (noCrashTracker) Begin(*route.Flight)             {}
func (noCrashTracker) End(*route.Flight)               {}
func (noCrashTracker) Crashed(*route.Flight)           {}
func (noCrashTracker) Silent(*route.Flight)            {}
func (noCrashTracker) Cleared(call.Call)               {}
