package route_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Route")
}

const (
	limit = 20 * time.Second
	// tick is the step of the manual clock.
	tick = 10 * clock.Millis(1)
)

// hedgeScript is the order of events around a request that reaches a slow engine.
type hedgeScript struct {
	Name string `json:"name"`
	// Earlier is the number of requests that the fast engine answered before, each
	// FirstEvent after it was sent.
	Earlier    int          `json:"earlier"`
	FirstEvent clock.Millis `json:"firstEvent"`
	// Begins is the time after which the slow endpoint reports that the attempt began.
	Begins clock.Millis `json:"begins"`
	// Listed is the time after which the fast engine is listed.
	Listed clock.Millis `json:"listed"`
	// Patience is how long the caller waits for the first event.
	Patience clock.Millis `json:"patience"`
}

// relay is a fake endpoint process with one engine, which answers at once or never.
type relay struct {
	wire.DRPCRelayUnimplementedServer
	answers bool
	// begins is the time after which an attempt begins that is not answered.
	begins clock.Millis
	ticker *clock.Clock
	// firstEvent is the time that passes on the clock before an answer begins.
	firstEvent clock.Millis
}

// Run answers an attempt, or reports its begin only.
func (relay *relay) Run(attempt *wire.Attempt, stream wire.DRPCRelay_RunStream) error {
	answer := func(kind wire.AnswerKind, sequence uint64) *wire.Answer {
		return &wire.Answer{RequestId: attempt.GetRequestId(), Attempt: attempt.GetAttempt(), Sequence: sequence, Kind: kind}
	}
	if !relay.answers {
		if err := relay.ticker.Sleep(stream.Context(), relay.begins); err != nil {
			return err
		}
		begun := answer(wire.AnswerKind_ANSWER_KIND_PROGRESS, 0)
		begun.Started = true
		if err := stream.Send(begun); err != nil {
			return err
		}
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	relay.ticker.Advance(relay.firstEvent)
	head, data, end := answer(wire.AnswerKind_ANSWER_KIND_HEAD, 0), answer(wire.AnswerKind_ANSWER_KIND_DATA, 1), answer(wire.AnswerKind_ANSWER_KIND_END, 2)
	head.Status, head.ContentType = 200, "text/event-stream"
	data.Events = [][]byte{[]byte("data: [DONE]\n\n")}
	end.Outcome = wire.Outcome_OUTCOME_OK
	for _, message := range []*wire.Answer{head, data, end} {
		if err := stream.Send(message); err != nil {
			return err
		}
	}
	return nil
}

func (relay *relay) serve() string {
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.DRPCRegisterRelay(server.Mux(), relay)).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	return server.Address()
}

// source lists the engines that a test selects.
type source struct {
	listed atomic.Pointer[[]place.Candidate]
	// slowUsed is set when the slow engine gets an attempt.
	slowUsed atomic.Bool
}

func (source *source) list(candidates ...place.Candidate) { source.listed.Store(&candidates) }

// Candidates returns the listed engines.
func (source *source) Candidates() []place.Candidate { return *source.listed.Load() }

// Begin notes an attempt on the slow engine.
func (source *source) Begin(candidate place.Candidate) {
	if candidate.Endpoint == "slow" {
		source.slowUsed.Store(true)
	}
}

// End and Gone do nothing: the tests do not use load counts.
func (source *source) End(place.Candidate, *wire.EngineLoad) {}
func (source *source) Gone(place.Candidate)                  {}

// noCrashTracker is a crash tracker that suspects no request.
type noCrashTracker struct{}

func (noCrashTracker) Decide(call.Call) crash.Decision { return crash.Decision{} }
func (noCrashTracker) Begin(*route.Flight)             {}
func (noCrashTracker) End(*route.Flight)               {}
func (noCrashTracker) Crashed(*route.Flight)           {}
func (noCrashTracker) Silent(*route.Flight)            {}
func (noCrashTracker) Cleared(call.Call)               {}

// sink drops the answer.
type sink struct{}

func (sink) Head(int, string)    {}
func (sink) Data([][]byte) error { return nil }

func candidate(name string, relay *relay) place.Candidate {
	return place.Candidate{
		Endpoint: name, Address: relay.serve(), Incarnation: 1, Load: &wire.EngineLoad{Slots: 4},
		Engine: &wire.EngineInfo{Name: name, Kind: wire.Kind_KIND_MODEL, Models: []string{"guide-1"}},
	}
}

// Guards against a request at a slow engine that is never raced because the one check
// for it came too early, or because no answer of measurable time was seen before.
var _ = Describe("a paid request at a slow engine", func() {
	text, err := os.ReadFile("testdata/hedge.json")
	if err != nil {
		panic(err)
	}
	var scripts []hedgeScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() { race(script) })
	}
})

func race(script hedgeScript) {
	ticker, pool, engines := clock.NewManual(clock.Second), link.NewPool(), &source{}
	DeferCleanup(pool.Close)
	fast := candidate("fast", &relay{answers: true, ticker: ticker, firstEvent: script.FirstEvent})
	slow := candidate("slow", &relay{ticker: ticker, begins: script.Begins})
	router := route.New(route.Settings{Node: "entry1", SilenceLimit: clock.Minute}, pool,
		place.New("zone1", func(int) int { return 0 }), engines, noCrashTracker{}, ledger.New(10), ticker, event.Discard())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	send := func(id string) route.Result {
		return router.Do(ctx, call.Call{
			ID: id, Customer: &wire.Customer{Name: "payer"}, Tier: wire.Tier_TIER_PAID, Kind: wire.Kind_KIND_MODEL, Model: "guide-1",
			Stream: true, Idempotent: true, Deadline: ticker.Now() + cmp.Or(script.Patience, clock.Minute),
		}, sink{})
	}
	engines.list(fast)
	for number := range script.Earlier {
		result := send(fmt.Sprint("earlier", number))
		Expect(result.Outcome).To(Equal(wire.Outcome_OUTCOME_OK), "%v", result.Err)
	}
	engines.list(slow)
	ended := make(chan route.Result, 1)
	go func() { ended <- send("slow") }()
	Eventually(engines.slowUsed.Load).WithTimeout(limit).Should(BeTrue())
	for passed := clock.Millis(0); ; passed += tick {
		if passed >= script.Listed {
			engines.list(slow, fast)
		}
		ticker.Advance(tick)
		select {
		case result := <-ended:
			Expect(result.Outcome).To(Equal(wire.Outcome_OUTCOME_OK), "%v", result.Err)
			return
		case <-time.After(tick.Duration()):
		}
	}
}
