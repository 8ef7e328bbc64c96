package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/gate"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
)

const limitedResponse = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nServer-Limit: %s\r\nContent-Length: 2\r\n\r\nok"

// limitSite is a control VM, three gateways, an endpoint that names a limit and
// perhaps one that names none.
type limitSite struct {
	*site
	gateways []*gate.Gateway
	limited  *fake.Backend
	free     *fake.Backend
}

func newLimitSite(rate string, withFree bool) *limitSite {
	address := free()
	made := &limitSite{site: &site{control: newControl(address)}}
	for number := range 3 {
		made.gateways = append(made.gateways, newNamedGateway(fmt.Sprint("gateway", number), address))
	}
	made.limited = made.start("limited", fmt.Sprintf(limitedResponse, rate))
	endpoints := 1
	if withFree {
		made.free = made.start("free", okResponse)
		endpoints = 2
	}
	for _, gateway := range made.gateways {
		Eventually(func() int { return len(gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(endpoints))
		Eventually(gateway.Ready).WithTimeout(limit).Should(BeTrue())
	}
	return made
}

func (made *limitSite) start(id, response string) *fake.Backend {
	backend, err := fake.NewBackend(idHeader, []fake.Step{{Text: response}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	Expect(made.control.Heard(context.Background(), roster.Record{ID: id, Service: "desk", Address: backend.Addresses()[0], Born: 1, Sequence: 1, Slots: 6, ReceivedAt: made.control.Now()})).To(Succeed())
	return backend
}

// look sends an idempotent request through each gateway and returns the statuses.
func (made *limitSite) look() []int {
	var statuses []int
	for _, gateway := range made.gateways {
		made.gateway = gateway
		statuses = append(statuses, made.status(request(script{Method: "GET", Path: "/look/1"})))
	}
	return statuses
}

// Guards against gateways that each keep to the limit of an endpoint while their sum
// does not.
var _ = It("keeps the sum of all gateways within the limit that an endpoint names and serves the rest elsewhere", func() {
	site := newLimitSite("1", true)
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		Expect(site.look()).To(Equal([]int{http.StatusOK, http.StatusOK, http.StatusOK}))
		time.Sleep(50 * time.Millisecond)
	}
	// One and a half times the limit for four seconds, and 5 more.
	Expect(len(site.limited.Requests())).To(BeNumerically("<=", 11))
	Expect(len(site.limited.Requests())).To(BeNumerically(">=", 2))
	Expect(len(site.free.Requests())).To(BeNumerically(">", 30))
})

// Guards against requests that wait for an endpoint which takes no more for a while.
var _ = It("refuses at once what no endpoint takes within its limit, with the time to come back", func() {
	site := newLimitSite("0.5", false)
	Eventually(site.look).WithTimeout(limit).Should(ContainElement(http.StatusServiceUnavailable))
	before := len(site.limited.Requests())
	built := request(script{Method: "GET", Path: "/look/1"})
	response, _, err := site.send(built)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(len(site.limited.Requests())).To(BeNumerically("<=", before+1))
	Eventually(site.look).WithTimeout(limit).Should(ContainElement(http.StatusOK))
})
