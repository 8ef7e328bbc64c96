package gate_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	okResponse = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	// missingRank is the response of a rank whose group lacks another rank.
	missingRank = "HTTP/1.1 503 No\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Not-Executed: 1\r\nAt-Server: e9\r\nContent-Length: 0\r\n\r\n"
	// longWait is longer than a start on a busy machine takes.
	longWait = clock.Minute
	// silence is longer than the pause after which a group counts as silent.
	silence = 900 * time.Millisecond
	// minOutage is longer than the first part of an outage, in which no request is
	// held for the group.
	minOutage = 2600 * time.Millisecond
)

// Guards against a gateway that starts before control has a leader and refuses
// requests at once, so that callers spend their only retry. 299 requests were refused
// within 1.2 s of such a start.
var _ = It("holds requests after its start until it has a configuration", func() {
	address := free()
	early := &site{gateway: newGateway(address, longWait)}
	var requests conc.WaitGroup
	status := make(chan int, 1)
	DeferCleanup(requests.Wait)
	requests.Go(func() {
		defer GinkgoRecover()
		response, _, err := early.send(request(script{Method: "GET", Path: "/none/", Patience: 400_000}))
		Expect(err).NotTo(HaveOccurred())
		status <- response.StatusCode
	})
	Consistently(status, 200*time.Millisecond).ShouldNot(Receive())
	early.control = newControl(address)
	// Only a gateway with a configuration answers that the route does not exist.
	Eventually(status).WithTimeout(limit).Should(Receive(Equal(http.StatusNotFound)))
})

var _ = It("sends Retry-After when no configuration arrives", func() {
	isolated := &site{gateway: newGateway(free(), 50)}
	response, _, err := isolated.send(request(script{Method: "GET", Path: "/look/1"}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get("Retry-After")).To(Equal("1.000"))
})

// newStalledSite starts a site with one rank, which reports a missing rank twice and
// then answers.
func newStalledSite() (*site, *fake.Backend) {
	site := newSite()
	backend, err := fake.NewBackend(idHeader, []fake.Step{{Text: missingRank}, {Text: missingRank}, {Text: okResponse}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	Expect(site.control.Heard(context.Background(), roster.Record{
		ID: "e0", Service: "desk", Address: backend.Addresses()[0], Born: 1, Sequence: 1, Slots: 6, ReceivedAt: site.control.Now(),
		Group: roster.Group{Name: "g", Epoch: 1, Size: 2},
	})).To(Succeed())
	Eventually(func() int { return len(site.gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(1))
	Eventually(site.gateway.Ready).WithTimeout(limit).Should(BeTrue())
	return site, backend
}

// Guards against refusing a caller a second time when it retries after Retry-After
// while the group is still stalled. It happened 33.5 s into a run in which an
// availability zone was cut off.
var _ = It("holds a request that a caller retries until the group of ranks works again", func() {
	site, backend := newStalledSite()
	_, _, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 400_000}))
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(minOutage)
	response, body, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 200_000}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	Expect(string(body)).To(Equal("ok"))
	Expect(backend.Requests()).To(HaveLen(3))
})

var _ = It("refuses a first request with Retry-After while the group of ranks is stalled", func() {
	site, backend := newStalledSite()
	response, _, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 400_000}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	Expect(retryAfter).To(BeNumerically(">", 0))
	Expect(backend.Requests()).To(HaveLen(1))
})

// Guards against treating all endpoints without a group as one group, which would
// count as stalled when two of their streams pause.
var _ = It("does not treat endpoints without a group as one group", func() {
	site := newSite()
	site.startBackend([]fake.Step{{Text: hanging, Then: "hang"}, {Text: hanging, Then: "hang"}, {Text: okResponse}}, 3)
	for range 2 {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", site.gateway.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 400_000}).Write(conn)).To(Succeed())
		line, err := bufio.NewReader(conn).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("200"))
	}
	time.Sleep(silence)
	response, _, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 200_000}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
})
