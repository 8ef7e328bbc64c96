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
	whole = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
	// missing is the answer of a rank whose group lacks another.
	missing = "HTTP/1.1 503 No\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Not-Executed: 1\r\nAt-Server: e9\r\nContent-Length: 0\r\n\r\n"
	// longWait outlasts a start on a busy machine.
	longWait = clock.Minute
	// silence is longer than the pause after which a group counts as silent.
	silence = 900 * time.Millisecond
	// leastOutage is longer than the time for which nobody waits for a group.
	leastOutage = 2600 * time.Millisecond
)

// Guards against callers that lose their only other try to a process that has
// started before control has a leader (npwfa-doors scale-2, final fault: 299
// requests were refused within 1.2 s of the start).
var _ = It("keeps requests until it has a configuration after its start", func() {
	address := free()
	early := &site{gateway: newGateway(address, longWait)}
	var asking conc.WaitGroup
	status := make(chan int, 1)
	DeferCleanup(asking.Wait)
	asking.Go(func() {
		defer GinkgoRecover()
		response, _, err := early.send(request(script{Method: "GET", Path: "/none/", Patience: 400_000}))
		Expect(err).NotTo(HaveOccurred())
		status <- response.StatusCode
	})
	Consistently(status, 200*time.Millisecond).ShouldNot(Receive())
	early.control = newControl(address)
	// Only a process with a configuration knows that there is no such route.
	Eventually(status).WithTimeout(limit).Should(Receive(Equal(http.StatusNotFound)))
})

var _ = It("tells callers when to return if no configuration comes", func() {
	alone := &site{gateway: newGateway(free(), 50)}
	response, _, err := alone.send(request(script{Method: "GET", Path: "/look/1"}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get("Retry-After")).To(Equal("1.000"))
})

// stalling starts a site with one rank, whose group lacks another at first.
func stalling() (*site, *fake.Back) {
	site := newSite()
	back, err := fake.NewBack(idHeader, []fake.Step{{Text: missing}, {Text: missing}, {Text: whole}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(back.Close)
	site.control.Heard(roster.Record{
		ID: "e0", Service: "desk", Address: back.Addresses()[0], Born: 1, Sequence: 1, Slots: 6, Heard: site.control.Now(),
		Group: roster.Group{Name: "g", Epoch: 1, Size: 2},
	})
	Eventually(func() int { return len(site.gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(1))
	Eventually(site.gateway.Ready).WithTimeout(limit).Should(BeTrue())
	return site, back
}

// Guards against a caller that returns as it was told while the group is still
// away, and is refused a second time (npwfa-doors scale-2, zone_cut at 33.5 s).
var _ = It("keeps a caller that has returned until the group of ranks is back", func() {
	site, back := stalling()
	_, _, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 400_000}))
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(leastOutage)
	response, body, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 200_000}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	Expect(string(body)).To(Equal("ok"))
	Expect(back.Seen()).To(HaveLen(3))
})

var _ = It("tells a caller that comes first to return while the group of ranks is away", func() {
	site, back := stalling()
	response, _, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: 400_000}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	Expect(wait).To(BeNumerically(">", 0))
	Expect(back.Seen()).To(HaveLen(1))
})

// Guards against endpoints without a group being taken for one group that is
// away when two of their streams pause.
var _ = It("takes endpoints without a group one by one", func() {
	site := newSite()
	site.back([]fake.Step{{Text: hanging, Then: "hang"}, {Text: hanging, Then: "hang"}, {Text: whole}}, 3)
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
