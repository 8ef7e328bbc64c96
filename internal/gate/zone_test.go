package gate_test

import (
	"context"
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
)

// zoned starts an endpoint in a zone.
func (site *site) zoned(zone string) *fake.Backend {
	backend, err := fake.NewBackend(idHeader, []fake.Step{{Text: okResponse}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	Expect(site.control.Heard(context.Background(), roster.Record{
		ID: "e" + zone, Service: "desk", Address: backend.Addresses()[0], Zone: zone, Born: 1, Sequence: 1, Slots: 6, ReceivedAt: site.control.Now(),
	})).To(Succeed())
	return backend
}

// order evacuates or restores a zone and waits until the gateway knows of it.
func (site *site) order(zone string, active bool) {
	Eventually(func() error { return site.control.Evacuate(context.Background(), zone, active) }).WithTimeout(limit).Should(Succeed())
	revision := site.control.View().State().Revision()
	Eventually(site.gateway.Revision).WithTimeout(limit).Should(BeNumerically(">=", revision))
}

func (site *site) look(times int) {
	for range times {
		Expect(site.status(request(script{Method: "GET", Path: "/look/1"}))).To(Equal(http.StatusOK))
	}
}

// Guards against requests to the endpoints of an evacuated zone, and against a zone that
// gets none after its evacuation has ended.
var _ = It("sends no request to an evacuated zone until the evacuation ends", func() {
	site := newSite()
	first, second := site.zoned("z1"), site.zoned("z2")
	Eventually(func() int { return len(site.gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(2))
	Eventually(site.gateway.Ready).WithTimeout(limit).Should(BeTrue())
	site.order("z1", true)
	site.look(10)
	Expect(first.Requests()).To(BeEmpty())
	Expect(second.Requests()).To(HaveLen(10))
	site.order("z2", true)
	site.order("z1", false)
	site.look(10)
	Expect(first.Requests()).To(HaveLen(10))
	Expect(second.Requests()).To(HaveLen(10))
})

// Guards against callers that wait, or that are not told when to return, while all
// endpoints of a service are in evacuated zones.
var _ = It("refuses requests with a time to return when the zones of all endpoints are evacuated", func() {
	site := newSite()
	backend := site.zoned("z1")
	Eventually(func() int { return len(site.gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(1))
	Eventually(site.gateway.Ready).WithTimeout(limit).Should(BeTrue())
	site.order("z1", true)
	for _, sent := range []script{{Method: "GET", Path: "/look/1"}, {Method: "POST", Path: "/book/1", Send: "p"}, {Method: "POST", Path: "/draft/1", Send: "p"}} {
		response, _, err := site.send(request(sent)) //nolint:bodyclose // send closes it.
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(retryAfter).To(BeNumerically(">", 0))
	}
	Expect(backend.Requests()).To(BeEmpty())
})
