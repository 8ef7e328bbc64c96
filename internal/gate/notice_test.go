package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/gate"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	leavingResponse = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"
	// pauseResponse is a refusal that asks for a pause, longer than a test takes on any
	// machine where its time is not the subject.
	pauseResponse = "HTTP/1.1 503 No\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n"
	longPause     = "600"
	// leavingStream is a stream of a leaving endpoint that sends one event and does not end.
	leavingStream = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nServer-Leaving: 1\r\n" +
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
)

// noticeSite is a control VM, gateways and the endpoints e0, e1 and so on, each with its
// own script.
type noticeSite struct {
	*site
	gateways []*gate.Gateway
	backends []*fake.Backend
}

func newNoticeSite(gateways int, scripts ...[]fake.Step) *noticeSite {
	address := free()
	made := &noticeSite{site: &site{control: newControl(address)}}
	for number := range gateways {
		made.gateways = append(made.gateways, newNamedGateway(fmt.Sprint("gateway", number), address))
	}
	for number, steps := range scripts {
		backend, err := fake.NewBackend(idHeader, steps, 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(backend.Close)
		made.backends = append(made.backends, backend)
		made.hear(number, 1)
	}
	for _, gateway := range made.gateways {
		Eventually(func() int { return len(gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(len(scripts)))
		Eventually(gateway.Ready).WithTimeout(limit).Should(BeTrue())
		Eventually(gateway.Gateways).WithTimeout(limit).Should(Equal(gateways))
	}
	made.gateway = made.gateways[0]
	return made
}

// record returns the record of a start of an endpoint.
func (made *noticeSite) record(number int, born uint64) roster.Record {
	return roster.Record{
		ID: fmt.Sprint("e", number), Service: "desk", Address: made.backends[number].Addresses()[0], Born: clock.Millis(born), Sequence: born, Slots: 6,
		ReceivedAt: made.control.Now(),
	}
}

func (made *noticeSite) hear(number int, born uint64) {
	Expect(made.control.Heard(context.Background(), made.record(number, born))).To(Succeed())
}

// look sends an idempotent request through a gateway.
func (made *noticeSite) look(gateway int) *http.Response {
	made.gateway = made.gateways[gateway]
	response, _, err := made.send(request(script{Method: "GET", Path: "/look/1"})) //nolint:bodyclose // send closes it.
	Expect(err).NotTo(HaveOccurred())
	return response
}

// Guards against requests that reach an endpoint after it said that it leaves, from the
// gateway that has read it and from others, and against a gateway that finds no endpoint
// and keeps its callers waiting.
var _ = It("sends a leaving endpoint nothing more from any gateway until it has started again", func() {
	site := newNoticeSite(3, []fake.Step{{Text: leavingResponse}, {Text: okResponse}})
	Expect(site.look(0).StatusCode).To(Equal(http.StatusOK))
	refused := site.look(0)
	Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
	for number, gateway := range site.gateways {
		Eventually(func() bool { return gateway.NoticeOf(site.record(0, 1)).Leaving }).WithTimeout(limit).Should(BeTrue())
		Expect(site.look(number).StatusCode).To(Equal(http.StatusServiceUnavailable))
	}
	Expect(site.backends[0].Requests()).To(HaveLen(1))
	site.hear(0, 2)
	for number := range site.gateways {
		Eventually(func() int { return site.look(number).StatusCode }).WithTimeout(limit).Should(Equal(http.StatusOK))
	}
})

// Guards against a gateway without contact to the control group that goes on sending to
// an endpoint that leaves.
var _ = It("sends a leaving endpoint nothing more without the control group", func() {
	site := newNoticeSite(1, []fake.Step{{Text: leavingResponse}}, []fake.Step{{Text: okResponse}})
	Expect(site.control.Close()).To(Succeed())
	for len(site.backends[0].Requests()) == 0 {
		Expect(site.look(0).StatusCode).To(Equal(http.StatusOK))
	}
	for range 20 {
		Expect(site.look(0).StatusCode).To(Equal(http.StatusOK))
	}
	Expect(site.backends[0].Requests()).To(HaveLen(1))
})

// Guards against streams that end because their endpoint leaves.
var _ = It("lets a stream at a leaving endpoint go on", func() {
	site := newNoticeSite(1, []fake.Step{{Text: leavingStream, Then: "hang"}})
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", site.gateway.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 400_000}).Write(conn)).To(Succeed())
	line, err := bufio.NewReader(conn).ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	Expect(line).To(ContainSubstring("200"))
	Expect(site.look(0).StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(site.backends[0].Requests()).To(HaveLen(1))
	Consistently(site.backends[0].Requests()[0].Disconnected, "200ms").ShouldNot(BeClosed())
})

// Guards against requests that reach endpoints which all asked for a pause, and callers
// that wait for the end of it or return too early.
var _ = It("refuses callers at once with the earliest end when all endpoints ask for a pause", func() {
	site := newNoticeSite(1, []fake.Step{{Text: fmt.Sprintf(pauseResponse, longPause)}}, []fake.Step{{Text: fmt.Sprintf(pauseResponse, "1200")}})
	for range 10 {
		response := site.look(0)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically("~", 570, 31))
	}
	Expect(site.backends[0].Requests()).To(HaveLen(1))
	Expect(site.backends[1].Requests()).To(HaveLen(1))
})

// Guards against an endpoint that gets nothing after its pause, and against one that
// gets nothing although it has started again.
var _ = It("sends again after the pause that an endpoint asked for, and at once to a new start", func() {
	site := newNoticeSite(1, []fake.Step{{Text: fmt.Sprintf(pauseResponse, "0.3")}, {Text: fmt.Sprintf(pauseResponse, longPause)}, {Text: okResponse}})
	Expect(site.look(0).StatusCode).To(Equal(http.StatusServiceUnavailable))
	Eventually(func() int {
		Expect(site.look(0).StatusCode).To(Equal(http.StatusServiceUnavailable))
		return len(site.backends[0].Requests())
	}).WithTimeout(limit).Should(Equal(2))
	Expect(site.look(0).StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(site.backends[0].Requests()).To(HaveLen(2))
	site.hear(0, 2)
	Eventually(func() int { return site.look(0).StatusCode }).WithTimeout(limit).Should(Equal(http.StatusOK))
	Expect(site.backends[0].Requests()).To(HaveLen(3))
})

// Guards against a pause that keeps all gateways from an endpoint although only one was
// asked for it, and against gateways that ignore it.
var _ = It("prefers other endpoints to one that asked another gateway for a pause but still uses it", func() {
	site := newNoticeSite(2, []fake.Step{{Text: fmt.Sprintf(pauseResponse, longPause)}, {Text: okResponse}})
	Expect(site.look(0).StatusCode).To(Equal(http.StatusServiceUnavailable))
	Eventually(func() int64 { return int64(site.gateways[1].NoticeOf(site.record(0, 1)).ToldPause) }).WithTimeout(limit).Should(BeNumerically(">", 0))
	Expect(site.look(1).StatusCode).To(Equal(http.StatusOK))
	Expect(site.look(0).StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(site.backends[0].Requests()).To(HaveLen(2))
	other, err := fake.NewBackend(idHeader, []fake.Step{{Text: okResponse}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(other.Close)
	site.backends = append(site.backends, other)
	site.hear(1, 1)
	Eventually(func() int { return len(site.gateways[1].Endpoints("desk")) }).WithTimeout(limit).Should(Equal(2))
	for range 20 {
		Expect(site.look(1).StatusCode).To(Equal(http.StatusOK))
	}
	Expect(site.backends[0].Requests()).To(HaveLen(2))
	Expect(other.Requests()).To(HaveLen(20))
})

// Guards against a Retry-After that states no time, or a refusal that is no request for
// a pause, and takes an endpoint out of use.
var _ = DescribeTable("does not take an answer for a request for a pause",
	func(answer string) {
		site := newNoticeSite(1, []fake.Step{{Text: answer}, {Text: okResponse}})
		site.look(0)
		Expect(site.look(0).StatusCode).To(Equal(http.StatusOK))
	},
	Entry("with a negative time", fmt.Sprintf(pauseResponse, "-600")),
	Entry("with a time that is not a number", fmt.Sprintf(pauseResponse, "Fri, 04 Dec 2026 20:00:00 GMT")),
	Entry("with NaN", fmt.Sprintf(pauseResponse, "NaN")),
	Entry("of a request that may have run", "HTTP/1.1 503 No\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n"),
	Entry("of another endpoint at the address",
		"HTTP/1.1 421 No\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Not-Executed: 1\r\nServer-Leaving: 1\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n"),
)

// Guards against a slow rank that gets as many requests as others, and against one that
// gets none any more once it is fast again.
var _ = It("sends a slow endpoint nothing while others have free slots", func() {
	site := newNoticeSite(1, []fake.Step{{Text: okResponse}}, []fake.Step{{Text: okResponse}})
	for range 20 {
		// The notice is valid for 3 s, so it is stated again each time.
		site.gateway.SetPace(site.record(0, 1), 12)
		Expect(site.look(0).StatusCode).To(Equal(http.StatusOK))
	}
	Expect(site.backends[0].Requests()).To(BeEmpty())
	site.gateway.SetPace(site.record(0, 1), 1)
	Eventually(func() int { site.look(0); return len(site.backends[0].Requests()) }).WithTimeout(limit).Should(BeNumerically(">", 0))
})
