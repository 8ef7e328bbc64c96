package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/class"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/front"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Front")
}

const (
	limit = 20 * time.Second
	// shortLimit is below the time of the requests that it ends.
	shortLimit = 50 * time.Millisecond
)

// router answers by the model or service that a call names.
type router struct {
	hold chan struct{}
	// held counts the calls that wait for hold.
	held atomic.Int64
}

// Do ends the call as its model says.
func (router *router) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	switch request.Model + request.Service {
	case "slow":
		<-ctx.Done()
		return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: ctx.Err()}
	case "held":
		router.held.Add(1)
		select {
		case <-router.hold:
		case <-ctx.Done():
			return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: ctx.Err()}
		}
	case "unknown":
		return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.New("lost")}
	case "failed":
		return route.Result{Outcome: wire.Outcome_OUTCOME_FAILED, Err: errors.New("no stock")}
	case "notRun":
		return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errors.New("queued too long")}
	case "broken":
		sink.Head(200, map[bool]string{true: "text/event-stream", false: "text/plain"}[request.Stream])
		_ = sink.Data([][]byte{[]byte("data: one\n\n"), []byte("part")})
		return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.New("lost")}
	case "stock":
		keeper, _ := sink.(route.HeaderSink)
		keeper.Headers([]*wire.Header{{Name: "Etag", Value: `"8"`}})
	}
	sink.Head(200, "text/plain")
	text := fmt.Sprintf("tier=%s priority=%d path=%s", request.Tier, request.Priority, request.Path)
	for _, header := range request.Headers {
		text += " " + header.GetName() + "=" + header.GetValue()
	}
	_ = sink.Data([][]byte{[]byte(text)})
	return route.Result{Outcome: wire.Outcome_OUTCOME_OK}
}

type script struct {
	Name    string   `json:"name"`
	Send    string   `json:"send"`
	Fill    int      `json:"fill"`
	Path    string   `json:"path"`
	Token   string   `json:"token"`
	Headers string   `json:"headers"`
	Body    string   `json:"body"`
	Want    []string `json:"want"`
	Never   string   `json:"never"`
}

func (script script) bytes() string {
	if script.Send != "" {
		return script.Send + strings.Repeat("a", script.Fill)
	}
	token := script.Token
	if token == "" {
		token = "paid"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		script.Path, token, script.Headers, len(script.Body), script.Body)
}

var _ = Describe("callers' interface", func() {
	var front1 *front.Front
	var fake *router

	BeforeEach(func() {
		view := feed.NewView(clock.NewSystem())
		Expect(view.Apply(&wire.FeedItem{Snapshot: &wire.Snapshot{
			Revision: 1,
			Tiers:    []*wire.TierRecord{{Name: "paid", Level: wire.Tier_TIER_PAID, Patience: 60_000}, {Name: "free", Level: wire.Tier_TIER_FREE, Patience: 60_000}},
			Customers: []*wire.Customer{
				{Name: "clinic", Tier: "paid", TokenHash: class.TokenHash("paid"), MaxConcurrent: 2},
				{Name: "walkin", Tier: "free", TokenHash: class.TokenHash("free")},
			},
		}}, 0)).To(Succeed())
		fake = &router{hold: make(chan struct{})}
		var ids atomic.Int64
		var err error
		front1, err = front.New(opts.Entry{
			HTTPListen: "127.0.0.1:0", MaxBody: 2048, MaxHeader: 2048, MaxConcurrent: 3, RequestLimit: clock.Minute, ReadLimit: 300,
		}, view, fake, ledger.New(10), clock.NewSystem(), func() string { return fmt.Sprint("r", ids.Add(1)) })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(front1.Close(limit)).To(Succeed()) })
	})

	send := func(text string) string {
		conn, err := net.Dial("tcp", front1.Address())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(conn.SetDeadline(time.Now().Add(limit))).To(Succeed())
		// The server may answer and close before it has read everything.
		_, _ = io.WriteString(conn, text)
		answer, _ := io.ReadAll(conn)
		return string(answer)
	}

	text, err := os.ReadFile("testdata/front.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		// Guards against a limit without effect and an error that a caller cannot act on.
		It("answers "+script.Name, func() {
			answer := send(script.bytes())
			for _, want := range script.Want {
				Expect(answer).To(ContainSubstring(want))
			}
			if script.Never != "" {
				Expect(answer).NotTo(ContainSubstring(script.Never))
			}
		})
	}

	// Guards against one customer, or all, taking more than their share of an entry VM.
	It("refuses more requests at once than a customer and the entry VM may have", func() {
		held := func(token string) script {
			return script{Path: "/v1/completions", Token: token, Body: `{"model":"held"}`}
		}
		answers := make(chan string, 3)
		for _, token := range []string{"paid", "paid", "free"} {
			go func() { answers <- send(held(token).bytes()) }()
		}
		// A probe that came before them would take one of their places.
		Eventually(fake.held.Load).WithTimeout(limit).Should(BeEquivalentTo(3))
		probe := script{Path: "/v1/completions", Body: `{"model":"m"}`}
		Expect(send(probe.bytes())).To(
			And(ContainSubstring("429"), ContainSubstring("in flight at this entry VM, at most 3"), ContainSubstring("Retry-After: 1")))
		close(fake.hold)
		for range 3 {
			Eventually(answers).WithTimeout(limit).Should(Receive(ContainSubstring("200 OK")))
		}
	})

	It("refuses more requests at once than the customer may have", func() {
		answers := make(chan string, 2)
		for range 2 {
			go func() { answers <- send(script{Path: "/v1/completions", Body: `{"model":"held"}`}.bytes()) }()
		}
		Eventually(fake.held.Load).WithTimeout(limit).Should(BeEquivalentTo(2))
		probe := script{Path: "/v1/completions", Body: `{"model":"m"}`}
		Expect(send(probe.bytes())).To(
			And(ContainSubstring("429"), ContainSubstring("of this customer in flight"), ContainSubstring("Retry-After: 1")))
		close(fake.hold)
		for range 2 {
			Eventually(answers).WithTimeout(limit).Should(Receive(ContainSubstring("200 OK")))
		}
	})

	// Guards against a shutdown that takes as long as the longest request
	// (.ci/run beside load, 2026-12-04: a spec that failed was never reported).
	It("ends what is still in flight when the limit of its shutdown is over", func() {
		answers, closed := make(chan string, 1), make(chan error, 1)
		go func() { answers <- send(script{Path: "/v1/completions", Body: `{"model":"held"}`}.bytes()) }()
		Eventually(fake.held.Load).WithTimeout(limit).Should(BeEquivalentTo(1))
		go func() { closed <- front1.Close(shortLimit) }()
		Eventually(closed).WithTimeout(limit).Should(Receive(MatchError(context.DeadlineExceeded)))
		Eventually(answers).WithTimeout(limit).Should(Receive(Not(ContainSubstring("200 OK"))))
	})
})
