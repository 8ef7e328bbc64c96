package gate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/notice"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/platform"
)

// newIsolated starts a gateway whose only control VM does not answer.
func newIsolated() *Gateway {
	gateway, err := New(Settings{
		Node:    opts.Node{Name: "gateway1", Zone: "z1", Listen: "127.0.0.1:1"},
		Gateway: opts.Gateway{HTTPListen: "127.0.0.1:0", Seed: []string{"127.0.0.1:1"}, RevokeLimit: 5 * clock.Second, Grace: clock.Second},
		Dialect: platform.Dialect{},
	}, clock.NewSystem(), event.Discard())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gateway.Close)
	return gateway
}

// attemptAt makes one attempt of an idempotent request at an endpoint.
func attemptAt(gateway *Gateway, endpoint roster.Record) (result, error) {
	forwarder := newForwarder(gateway, httptest.NewRecorder(), &call{
		route: plan.Route{Name: "look", Kind: plan.Idempotent, Attempts: 2}, deadline: gateway.clock.Now() + clock.Minute,
		task: task.Task{ID: "id1", Method: http.MethodGet, Target: "/look/1", Host: "h.example"},
	})
	return forwarder.attempt(context.Background(), endpoint)
}

// Guards against a request that is sent although the endpoint has said that it leaves
// since it was chosen: while the request waited, or when its reused connection broke and
// it goes out again.
var _ = It("does not send to an endpoint that leaves since it was chosen", func() {
	gateway := newIsolated()
	var endpoint roster.Record
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == 1 {
			w.Header().Set("Hibiscuslug-Response-Seal", "s")
			return
		}
		gateway.board.Noticed(endpointKey(endpoint), true, 0)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			err = errors.CombineErrors(conn.(*net.TCPConn).SetLinger(0), conn.Close())
		}
		Expect(err).NotTo(HaveOccurred())
	}))
	DeferCleanup(server.Close)
	endpoint = roster.Record{ID: "e1", Born: 1, Address: strings.TrimPrefix(server.URL, "http://")}
	outcome, err := attemptAt(gateway, endpoint)
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome).To(Equal(delivered))
	for range 2 {
		outcome, err = attemptAt(gateway, endpoint)
		Expect(outcome).To(Equal(notSent))
		Expect(errors.Is(err, errClosed)).To(BeTrue())
		Expect(errors.Is(err, conns.ErrNotSent)).To(BeTrue())
		Expect(received.Load()).To(Equal(int64(2)))
	}
})

// Guards against choices that change where no endpoint sends such headers.
var _ = It("leaves out no endpoint without notices, nor those that others were asked to leave alone", func() {
	records := []roster.Record{{ID: "e1", Born: 1}, {ID: "e2", Born: 1}, {ID: "e3", Born: 1}}
	open, end := withoutClosed(records, notice.Table{}, clock.Hour)
	Expect(open).To(Equal(records))
	Expect(end).To(BeZero())
	gateway := newIsolated()
	gateway.observe(records[0], http.StatusOK, task.Answer{Sealed: true, Limit: new(2.0), Cold: new(clock.Second)})
	gateway.observe(records[0], http.StatusServiceUnavailable, task.Answer{NotRun: true})
	gateway.observe(records[0], http.StatusTooManyRequests, task.Answer{NotRun: true, Pause: clock.Second})
	Expect(gateway.board.Notices()).To(Equal(notice.Table{}))
	told := notice.Table{}.With(notice.Notice{Endpoint: endpointKey(records[0]), PauseEnd: 2 * clock.Hour, At: clock.Hour})
	open, _ = withoutClosed(records, told, clock.Hour)
	Expect(open).To(Equal(records))
})

// Guards against an endpoint that is out of use for good because it asked for a pause of
// a year.
var _ = It("takes a pause of a year for one of an hour", func() {
	gateway := newIsolated()
	record := roster.Record{ID: "e1", Born: 1}
	gateway.observe(record, http.StatusServiceUnavailable, task.Answer{NotRun: true, Pause: 365 * 24 * clock.Hour})
	_, end := withoutClosed([]roster.Record{record}, gateway.board.Notices(), gateway.clock.Now())
	Expect(end - gateway.clock.Now()).To(BeNumerically("<=", clock.Hour))
	Expect(gateway.mayGet(record)).To(MatchError(errClosed))
})
