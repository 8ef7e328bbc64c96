package gate_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/gate"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	coldOver  = 1.5
	coldSlack = 5
	coldRate  = 2
	// coldBound is the number of requests that a cold endpoint may get in any second.
	coldBound = coldRate*coldOver + coldSlack
)

// coldSite is a control VM and three gateways.
type coldSite struct {
	*limitSite
	records map[string]roster.Record
}

// newColdSite starts a site whose service states the given rate for cold endpoints.
func newColdSite(rate float64) *coldSite {
	address := free()
	made := &coldSite{limitSite: &limitSite{site: &site{control: newControl(address)}}, records: map[string]roster.Record{}}
	service := fmt.Appendf(nil, `{"name":"desk","coldStartS":3,"coldPerS":%g}`, rate)
	configuration := bytes.Replace(document(2, `"k1"`), []byte(`{"name":"desk"}`), service, 1)
	Expect(made.control.Deploy(context.Background(), 2, configuration)).To(Succeed())
	for number := range 3 {
		made.gateways = append(made.gateways, newNamedGateway(fmt.Sprint("gateway", number), address))
	}
	for _, gateway := range made.gateways {
		Eventually(gateway.Version).WithTimeout(limit).Should(BeEquivalentTo(2))
		Eventually(gateway.Ready).WithTimeout(limit).Should(BeTrue())
		Eventually(gateway.Gateways).WithTimeout(limit).Should(Equal(3))
	}
	return made
}

// start starts an endpoint that is cold for a time.
func (made *coldSite) start(id string, remaining clock.Millis, steps ...fake.Step) *fake.Backend {
	backend, err := fake.NewBackend(idHeader, steps, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	made.records[id] = roster.Record{ID: id, Service: "desk", Address: backend.Addresses()[0], Zone: "z1", Born: 1, Slots: 6}
	made.beat(id, remaining)
	return backend
}

// beat sends a heartbeat of an endpoint and waits until all gateways have it.
func (made *coldSite) beat(id string, remaining clock.Millis) {
	record := made.records[id]
	record.Sequence++
	record.ReceivedAt = made.control.Now()
	record.ColdUntil = record.ReceivedAt + remaining
	made.records[id] = record
	Expect(made.control.Heard(context.Background(), record)).To(Succeed())
	for _, gateway := range made.gateways {
		Eventually(func() uint64 { return sequenceOf(gateway, id) }).WithTimeout(limit).Should(BeNumerically(">=", record.Sequence))
	}
}

func sequenceOf(gateway *gate.Gateway, id string) uint64 {
	for _, record := range gateway.Endpoints("desk") {
		if record.ID == id {
			return record.Sequence
		}
	}
	return 0
}

// startZone starts several cold endpoints and one that is not, so that most requests
// choose among cold ones.
func (made *coldSite) startZone() (cold []*fake.Backend, warm *fake.Backend) {
	for number := range 6 {
		cold = append(cold, made.start(fmt.Sprint("cold", number), clock.Minute, fake.Step{Text: okResponse}))
	}
	return cold, made.start("warm", 0, fake.Step{Text: okResponse})
}

// warmUp sends heartbeats of an endpoint until all gateways take it for warm. The age of
// a heartbeat is known to a poll, so one that follows an event at once does not count.
func (made *coldSite) warmUp(id string) {
	Eventually(func() []int { made.beat(id, 0); return made.look() }).WithTimeout(limit).ShouldNot(ContainElement(http.StatusServiceUnavailable))
	for range 10 {
		made.beat(id, 0)
		Expect(made.look()).NotTo(ContainElement(http.StatusServiceUnavailable))
	}
}

// mostPerSecond returns the largest number of requests in a second.
func mostPerSecond(backend *fake.Backend) int {
	var times []time.Time
	for _, request := range backend.Requests() {
		times = append(times, request.ReceivedAt)
	}
	largest, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// Guards against gateways that together send a cold endpoint more than it survives.
var _ = It("keeps the sum of all gateways within the bound of a cold endpoint and serves the rest elsewhere", func() {
	site := newColdSite(coldRate)
	cold, warm := site.startZone()
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		Expect(site.look()).To(Equal([]int{http.StatusOK, http.StatusOK, http.StatusOK}))
	}
	received := 0
	for _, backend := range cold {
		received += len(backend.Requests())
		Expect(mostPerSecond(backend)).To(BeNumerically("<=", coldBound))
	}
	Expect(received).To(BeNumerically(">=", 1))
	Expect(warm.Requests()).NotTo(BeEmpty())
})

// Guards against gateways without a leader that send a cold endpoint what it does not
// survive, and against a leader that is asked in vain by every request.
var _ = It("keeps the bound of a cold endpoint when the control group is lost", func() {
	site := newColdSite(coldRate)
	cold, warm := site.startZone()
	site.look()
	Expect(site.control.Close()).To(Succeed())
	before := len(warm.Requests())
	// Keys are accepted for some seconds without a confirmation.
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		site.look()
	}
	for _, backend := range cold {
		Expect(mostPerSecond(backend)).To(BeNumerically("<=", coldBound))
	}
	Expect(len(warm.Requests())).To(BeNumerically(">", before+3))
})

// Guards against requests that wait while all endpoints are cold and take no more.
var _ = It("refuses at once what no cold endpoint takes, with the time to come back", func() {
	site := newColdSite(coldRate)
	cold := site.start("cold", clock.Minute, fake.Step{Text: okResponse})
	Eventually(site.look).WithTimeout(limit).Should(ContainElement(http.StatusServiceUnavailable))
	Eventually(func() string {
		response, _, err := site.send(request(script{Method: "GET", Path: "/look/1"})) //nolint:bodyclose // send closes it.
		Expect(err).NotTo(HaveOccurred())
		return response.Header.Get("Retry-After")
	}).WithTimeout(limit).ShouldNot(BeEmpty())
	Eventually(site.look).WithTimeout(limit).Should(ContainElement(http.StatusOK))
	Expect(mostPerSecond(cold)).To(BeNumerically("<=", coldBound))
	site.warmUp("cold")
})

// Guards against a changed decision in a deployment whose services state no rate for
// cold endpoints.
var _ = It("sends a cold endpoint any number of requests if its service states no rate", func() {
	site := newColdSite(0)
	site.start("cold", clock.Minute, fake.Step{Text: coldResponse})
	for _, gateway := range site.gateways {
		gateway.EvacuationEnded("z1", clock.Hour*24*365)
	}
	for range 10 {
		Expect(site.look()).To(Equal([]int{http.StatusOK, http.StatusOK, http.StatusOK}))
	}
})

const coldResponse = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nHibiscuslug-Cold-Ms: 60000\r\nContent-Length: 2\r\n\r\nok"

// Guards against a gateway that waits for a heartbeat although an answer said that the
// endpoint is cold.
var _ = It("takes an endpoint for cold whose answer says so, until a heartbeat says otherwise", func() {
	site := newColdSite(coldRate)
	backend := site.start("e1", 0, fake.Step{Text: coldResponse}, fake.Step{Text: okResponse})
	site.gateways = site.gateways[:1]
	Expect(site.look()).To(Equal([]int{http.StatusOK}))
	Eventually(site.look).WithTimeout(limit).Should(Equal([]int{http.StatusServiceUnavailable}))
	Expect(mostPerSecond(backend)).To(BeNumerically("<=", coldBound+1))
	site.warmUp("e1")
})

// Guards against a zone that gets all of its requests at once after an evacuation.
var _ = It("takes endpoints for cold after an evacuation until a heartbeat says otherwise", func() {
	site := newColdSite(coldRate)
	backend := site.start("e1", 0, fake.Step{Text: okResponse})
	for _, gateway := range site.gateways {
		gateway.EvacuationEnded("z1", site.control.Now())
	}
	Eventually(site.look).WithTimeout(limit).Should(ContainElement(http.StatusServiceUnavailable))
	Expect(mostPerSecond(backend)).To(BeNumerically("<=", coldBound))
	site.warmUp("e1")
})

// Guards against one permit that is used for two sends: the endpoint may have received
// the request on the connection that broke.
var _ = It("takes another permit to send a request again after a reused connection broke", func() {
	site := newColdSite(coldRate)
	backend := site.start("e1", clock.Minute, fake.Step{Text: okResponse}, fake.Step{Then: "reset"}, fake.Step{Text: okResponse})
	site.gateways = site.gateways[:1]
	Eventually(site.look).WithTimeout(limit).WithPolling(20 * time.Millisecond).Should(Equal([]int{http.StatusOK}))
	// The next permit is used for the connection that breaks; the one after it is not due.
	Eventually(site.look).WithTimeout(limit).WithPolling(20 * time.Millisecond).ShouldNot(Equal([]int{http.StatusServiceUnavailable}))
	Expect(backend.Requests()).To(HaveLen(2))
})
