package endpt

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestEndpt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Endpt")
}

const waitLimit = 10 * time.Second

var _ = Describe("attempts of non-idempotent work", func() {
	var desk *fake.Desk
	var endpoint *Endpoint
	var ticker *clock.Clock
	var client wire.DRPCRelayClient
	var release func()

	BeforeEach(func() {
		gate := make(chan struct{})
		release = func() { close(gate) }
		var err error
		desk, err = fake.NewDesk("127.0.0.1:0", 0)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(desk.Close)
		desk.Hold(gate)
		ticker = clock.NewManual(clock.Hour)
		endpoint, err = New(Settings{
			Node: opts.Node{Name: "endpoint1", Zone: "zone1", Listen: "127.0.0.1:0"},
			Endpoint: opts.Endpoint{
				Entry: []string{"127.0.0.1:1"}, Engine: []string{"order,desk1," + desk.URL() + ",desk"}, Slots: 1, Lifetime: 3 * clock.Second,
			},
		}, ticker, event.Discard())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = endpoint.Close() })
		conn, err := link.NewPool().Fresh(context.Background(), endpoint.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		client = wire.NewDRPCRelayClient(conn)
	})

	run := func(id string) wire.DRPCRelay_RunClient {
		conn, err := link.NewPool().Fresh(context.Background(), endpoint.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		stream, err := wire.NewDRPCRelayClient(conn).Run(context.Background(), &wire.Attempt{
			RequestId: id, Attempt: 1, Incarnation: endpoint.incarnation, Engine: "desk1",
			Method: "POST", Path: "/services/desk/book", Body: []byte(id),
		})
		Expect(err).NotTo(HaveOccurred())
		return stream
	}
	end := func(stream wire.DRPCRelay_RunClient) *wire.Answer {
		for {
			answer, err := stream.Recv()
			Expect(err).NotTo(HaveOccurred())
			if answer.GetKind() == wire.AnswerKind_ANSWER_KIND_END {
				return answer
			}
		}
	}
	ask := func(id string, fence bool) wire.AttemptState {
		reply, err := client.Ask(context.Background(), &wire.AskRequest{RequestId: id, Attempt: 1, Incarnation: endpoint.incarnation, Fence: fence})
		Expect(err).NotTo(HaveOccurred())
		return reply.GetState()
	}
	// sweepAfterRetention advances the clock beyond every retention and sweeps.
	sweepAfterRetention := func() {
		ticker.Advance(undeliveredRetention + clock.Hour)
		for _, run := range endpoint.table.sweep(ticker.Now()) {
			endpoint.stopAttempt(run)
		}
	}

	It("does not run work again for a delayed copy, even after the attempt was swept", func() {
		release()
		Expect(end(run("b1")).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_OK))
		Expect(end(run("b1")).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_OK))
		Eventually(endpoint.table.detached).WithTimeout(waitLimit).Should(BeTrue())
		sweepAfterRetention()
		Expect(endpoint.table.attempts).To(BeEmpty())
		Expect(end(run("b1")).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_UNKNOWN))
		Expect(ask("b1", true)).To(Equal(wire.AttemptState_ATTEMPT_STATE_FINISHED))
		Expect(desk.Booked()).To(Equal(map[string]int{"b1": 1}))
	})

	It("still refuses a fenced attempt after it was swept", func() {
		release()
		Expect(ask("b2", true)).To(Equal(wire.AttemptState_ATTEMPT_STATE_FENCED))
		sweepAfterRetention()
		Expect(endpoint.table.attempts).To(BeEmpty())
		Expect(end(run("b2")).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_NOT_RUN))
		Expect(desk.Booked()).To(BeEmpty())
	})

	It("does not report running work as notRun after a cancel, a fence request or the loss of its stream", func() {
		stream := run("b3")
		Eventually(desk.Booked).WithTimeout(waitLimit).Should(HaveKey("b3"))
		reply, err := client.Cancel(context.Background(), &wire.CancelRequest{RequestId: "b3", Attempt: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetState()).To(Equal(wire.AttemptState_ATTEMPT_STATE_RUNNING))
		Expect(ask("b3", true)).To(Equal(wire.AttemptState_ATTEMPT_STATE_RUNNING))
		sweepAfterRetention()
		release()
		Expect(end(stream).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_OK))
		Expect(desk.Booked()).To(Equal(map[string]int{"b3": 1}))
	})

	It("never starts a queued attempt that was cancelled", func() {
		first := run("b4")
		Eventually(desk.Booked).WithTimeout(waitLimit).Should(HaveKey("b4"))
		second := run("b5")
		Eventually(func() wire.AttemptState { return ask("b5", false) }).WithTimeout(waitLimit).Should(Equal(wire.AttemptState_ATTEMPT_STATE_QUEUED))
		_, err := client.Cancel(context.Background(), &wire.CancelRequest{RequestId: "b5", Attempt: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(end(second).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_NOT_RUN))
		release()
		Expect(end(first).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_OK))
		Expect(desk.Booked()).To(Equal(map[string]int{"b4": 1}))
	})

	It("attaches a copy that arrives during shutdown to the attempt that an earlier copy started", func() {
		first := run("b6")
		Eventually(desk.Booked).WithTimeout(waitLimit).Should(HaveKey("b6"))
		endpoint.leaving.Store(true)
		copied := run("b6")
		release()
		Expect(end(copied).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_OK))
		Expect(end(first).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_OK))
		Expect(end(run("b7")).GetOutcome()).To(Equal(wire.Outcome_OUTCOME_NOT_RUN))
		Expect(desk.Booked()).To(Equal(map[string]int{"b6": 1}))
	})
})
