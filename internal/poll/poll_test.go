package poll_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/knee"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestPoll(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Poll")
}

const limit = 30 * time.Second

// source is a control VM whose replies always state a confirmation of age 0.
type source struct{}

func (source) Poll(context.Context, *wire.PollRequest) (*wire.PollReply, error) {
	return &wire.PollReply{
		Config: &wire.FeedItem{}, Incarnation: 1, Position: 1, Gateways: 4, Loads: []*wire.EndpointLoad{{Id: "e1", Running: 7, Late: 2, Ended: 5, Took: 300}},
		Endpoints: []*wire.EndpointRecord{{Id: "e1", Service: "desk", Address: "10.0.0.1:80", Born: 1, Sequence: 1}},
	}, nil
}

// pollsBeforeRestart is the number of polls after which a recorder starts again.
const pollsBeforeRestart = 3

// recorder is a control VM that records the evidence that it gets.
type recorder struct {
	source
	mu       sync.Mutex
	polls    int
	received []*wire.Evidence
	// onRestart is called in the last poll before the restart.
	onRestart func()
}

func (recorder *recorder) Poll(_ context.Context, request *wire.PollRequest) (*wire.PollReply, error) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.polls++
	if request.GetEvidence() != nil {
		recorder.received = append(recorder.received, request.GetEvidence())
	}
	incarnation := uint64(1)
	if recorder.polls == pollsBeforeRestart && recorder.onRestart != nil {
		recorder.onRestart()
	}
	if recorder.polls > pollsBeforeRestart {
		incarnation = 2
	}
	return &wire.PollReply{Config: &wire.FeedItem{}, Incarnation: incarnation, Position: 1}, nil
}

func (recorder *recorder) counts() (polls, received int) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.polls, len(recorder.received)
}

func (source) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{}, nil
}

func (source) Permit(context.Context, *wire.PermitRequest) (*wire.PermitReply, error) {
	return &wire.PermitReply{}, nil
}

func (source) Replicate(context.Context, *wire.ReplicateRequest) (*wire.ReplicateReply, error) {
	return &wire.ReplicateReply{}, nil
}

func startPoller(seeds ...string) (*poll.Poller, *feed.View) {
	return startPollerWith(board.New(clock.NewSystem(), event.Discard()), seeds...)
}

func startPollerWith(evidence *board.Board, seeds ...string) (*poll.Poller, *feed.View) {
	ticker := clock.NewSystem()
	view, pool := feed.NewView(ticker), link.NewPool()
	DeferCleanup(pool.Close)
	poller := poll.New(poll.Settings{
		Node: "gateway1", Sources: 1, Seeds: func() []string { return seeds },
		Report: func() poll.Report { return poll.Report{Gateways: 1} }, Board: evidence,
	}, view, pool, ticker, event.Discard())
	poller.Start()
	DeferCleanup(poller.Close)
	return poller, view
}

// startSource starts a control VM behind a proxy that injects network faults.
func startSource() *fault.Proxy { return startServer(source{}) }

func startServer(fleet wire.DRPCFleetServer) *fault.Proxy {
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.DRPCRegisterFleet(server.Mux(), fleet)).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	proxy, err := fault.New(server.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	return proxy
}

// Guards against a delayed confirmation that looks recent: a revoked key would still be
// accepted.
var _ = It("measures a confirmation's age from the request, not from the reply", func() {
	proxy := startSource()
	proxy.Delay(fault.Downstream, 300*time.Millisecond)
	_, view := startPoller(proxy.Address())
	Eventually(view.Confirmed).WithTimeout(limit).Should(BeNumerically(">", 0))
	Consistently(view.Age).WithTimeout(time.Second).WithPolling(5 * time.Millisecond).Should(BeNumerically(">=", 295))
})

// Guards against a process that keeps polling a control VM whose connection lost all
// packets without a reset.
var _ = It("switches from an unresponsive control VM to another and gets endpoints and loads from it", func() {
	unresponsive, healthy := startSource(), startSource()
	unresponsive.Lose(fault.Both)
	poller, view := startPoller(unresponsive.Address(), healthy.Address())
	Eventually(view.Confirmed).WithTimeout(limit).Should(BeNumerically(">", 0))
	Eventually(func() int { return len(poller.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(1))
	Expect(poller.Loads()).To(Equal(map[string]choose.Load{"e1": {Work: 7, Late: 2}}))
	Expect(poller.Totals()).To(Equal(map[string]knee.Total{"e1": {Ended: 5, Took: 300}}))
	Expect(poller.Gateways()).To(Equal(4))
})

// Guards against evidence that a restarted control VM never gets again, and against
// evidence that goes out with every poll.
var _ = It("sends evidence once to each start of a control VM", func() {
	control := &recorder{}
	proxy := startServer(control)
	ticker := clock.NewSystem()
	evidence := board.New(ticker, event.Discard())
	evidence.Step(crash.Crashed{Crash: crash.Crash{Endpoint: "e1", Incarnation: 1, At: ticker.Now(), Suspects: []crash.Suspect{{RequestID: "r1"}}}})
	startPollerWith(evidence, proxy.Address())
	Eventually(func() int { polls, _ := control.counts(); return polls }).WithTimeout(limit).Should(BeNumerically(">", 8))
	_, received := control.counts()
	Expect(received).To(Equal(2))
	Expect(control.received[1].GetCrashes()).To(HaveLen(1))
})

// Guards against a control VM that starts again just as it gets the latest limit, and
// never gets those before it.
var _ = It("sends all limits again to a control VM that has started again", func() {
	control := &recorder{}
	proxy := startServer(control)
	evidence := board.New(clock.NewSystem(), event.Discard())
	evidence.Answered(quota.Endpoint{ID: "e1", Incarnation: 1}, new(2.0), 0)
	control.onRestart = func() { evidence.Answered(quota.Endpoint{ID: "e2", Incarnation: 1}, new(3.0), 0) }
	startPollerWith(evidence, proxy.Address())
	Eventually(func() int { polls, _ := control.counts(); return polls }).WithTimeout(limit).Should(BeNumerically(">", 8))
	control.mu.Lock()
	defer control.mu.Unlock()
	Expect(control.received[len(control.received)-1].GetLimits()).To(HaveLen(2))
})

// Guards against a control VM that starts again just as it gets the latest notice, and
// never gets those before it.
var _ = It("sends all notices again to a control VM that has started again", func() {
	control := &recorder{}
	proxy := startServer(control)
	evidence := board.New(clock.NewSystem(), event.Discard())
	evidence.Noticed(quota.Endpoint{ID: "e1", Incarnation: 1}, true, 0)
	control.onRestart = func() { evidence.Noticed(quota.Endpoint{ID: "e2", Incarnation: 1}, true, 0) }
	startPollerWith(evidence, proxy.Address())
	Eventually(func() int { polls, _ := control.counts(); return polls }).WithTimeout(limit).Should(BeNumerically(">", 8))
	control.mu.Lock()
	defer control.mu.Unlock()
	Expect(control.received[len(control.received)-1].GetNotices()).To(HaveLen(2))
})
