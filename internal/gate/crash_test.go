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
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	deadlyPart = "dead01"
	// crashesAllowed is the number of crashes after which no request with the part may
	// be sent, but for requestsAllowed.
	crashesAllowed, requestsAllowed = 5, 3
)

// brittleSite is a control VM, two gateways and endpoints that crash on deadlyPart.
type brittleSite struct {
	*site
	gateways []*gate.Gateway
	brittle  *fake.Brittle
	sent     int
}

func newBrittleSite(endpoints int) *brittleSite {
	return startBrittleSite(endpoints, fake.BrittleSettings{})
}

// startBrittleSite starts a site whose endpoints have some of the settings.
func startBrittleSite(endpoints int, settings fake.BrittleSettings) *brittleSite {
	address := free()
	made := &brittleSite{site: &site{control: newControl(address)}}
	made.gateways = []*gate.Gateway{newNamedGateway("gateway1", address), newNamedGateway("gateway2", address)}
	brittle, err := fake.NewBrittle(fake.BrittleSettings{
		Header: "Hibiscuslug-Prompt-Prefix", Deadly: deadlyPart, IDHeader: idHeader, Partition: settings.Partition, Events: settings.Events,
		AnswerHeader: map[string]string{"Hibiscuslug-Response-Seal": "s", "Content-Type": "text/event-stream"},
		Started: func(number int, address string, incarnation int) {
			Expect(made.control.Heard(context.Background(), roster.Record{
				ID: fmt.Sprintf("e%d", number), Service: "desk", Address: address, Born: clock.Millis(incarnation), Sequence: 1, Slots: 6, ReceivedAt: made.control.Now(),
			})).To(Succeed())
		},
	}, endpoints)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(brittle.Close)
	made.brittle = brittle
	for _, gateway := range made.gateways {
		Eventually(func() int { return len(gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(endpoints))
		Eventually(gateway.Ready).WithTimeout(limit).Should(BeTrue())
		Eventually(gateway.Gateways).WithTimeout(limit).Should(Equal(len(made.gateways)))
	}
	return made
}

// ask sends a request with the given shared parts through one gateway after the other
// and returns the status, or 0 without a response.
func (made *brittleSite) ask(parts string) int {
	made.sent++
	made.gateway = made.gateways[made.sent%len(made.gateways)]
	built := request(script{Method: "POST", Path: "/draft/1", Send: fmt.Sprint("p", made.sent)})
	built.Header.Set("Hibiscuslug-Prompt-Prefix", fmt.Sprintf("%s,own%d:20", parts, made.sent))
	return made.status(built)
}

const (
	soundParts  = "a0:40,b1:20"
	deadlyParts = "a0:40," + deadlyPart + ":20"
)

// Guards against a prompt part that crashes one endpoint after the other, since no
// gateway knows what the others saw.
var _ = It("keeps a prompt part that crashes endpoints away from them and serves its other parts", func() {
	site := newBrittleSite(12)
	Expect(site.ask(soundParts)).To(Equal(http.StatusOK))
	Expect(site.ask(soundParts)).To(Equal(http.StatusOK))
	for range 20 {
		site.ask(deadlyParts)
		Eventually(func() int { return site.ask(soundParts) }).WithTimeout(limit).Should(Equal(http.StatusOK))
	}
	Expect(site.brittle.Crashes()).To(BeNumerically("<=", crashesAllowed+requestsAllowed))
	answers := site.brittle.Answers()
	for range 10 {
		Expect(site.ask(deadlyParts)).To(Equal(http.StatusServiceUnavailable))
		Expect(site.ask(soundParts)).To(Equal(http.StatusOK))
	}
	Expect(site.brittle.Answers()).To(Equal(answers + 10))
})

// Guards against other parts of a deadly prompt that are refused with it for good:
// none of them has been seen before the first crash.
var _ = It("tests which of two new prompt parts crashes endpoints and serves the other one", func() {
	site := newBrittleSite(6)
	site.ask(deadlyParts)
	Eventually(func() int { return site.ask(soundParts) }).WithTimeout(limit).WithPolling(20 * time.Millisecond).Should(Equal(http.StatusOK))
	Expect(site.ask(deadlyParts)).To(Equal(http.StatusServiceUnavailable))
	Expect(site.brittle.Crashes()).To(BeNumerically("<=", crashesAllowed))
})

// repeat sends the same request once more, which crashes endpoints after the first events of
// its answers, and whose shared prompt parts are sound.
func (made *brittleSite) repeat() int {
	made.sent++
	made.gateway = made.gateways[made.sent%len(made.gateways)]
	built := request(script{Method: "POST", Path: "/draft/1", Send: "the same"})
	built.Header.Set("Hibiscuslug-Prompt-Prefix", soundParts+","+deadlyPart+":20")
	return made.status(built)
}

// Guards against a request that is never a suspect because it crashes endpoints only after
// its answers have begun.
var _ = It("blocks a request that crashes endpoints after its first events and serves the others", func() {
	site := startBrittleSite(12, fake.BrittleSettings{Events: 2})
	Expect(site.ask(soundParts)).To(Equal(http.StatusOK))
	Eventually(func() int {
		status := site.repeat()
		Eventually(func() int { return site.ask(soundParts) }).WithTimeout(limit).Should(Equal(http.StatusOK))
		return status
	}).WithTimeout(limit).WithPolling(time.Second).Should(Equal(http.StatusServiceUnavailable))
	Expect(site.brittle.Crashes()).To(BeNumerically("<=", crashesAllowed+requestsAllowed))
	crashes := site.brittle.Crashes()
	for range 10 {
		Expect(site.repeat()).To(Equal(http.StatusServiceUnavailable))
		Expect(site.ask(soundParts)).To(Equal(http.StatusOK))
	}
	Expect(site.brittle.Crashes()).To(Equal(crashes))
})

// Guards against requests that are held for crashes that did not happen: a partition
// that refuses connections to a zone looks like the end of each endpoint there.
var _ = It("does not take a partition that refuses connections for crashes", func() {
	site := startBrittleSite(3, fake.BrittleSettings{Partition: true})
	site.ask(deadlyParts)
	Expect(site.brittle.Crashes()).To(BeNumerically(">", 0))
	Expect(site.brittle.Heal()).To(Succeed())
	Eventually(func() int { return site.ask(soundParts) }).WithTimeout(limit).Should(Equal(http.StatusOK))
	before := site.brittle.Crashes()
	site.ask(deadlyParts)
	Expect(site.brittle.Crashes()).To(BeNumerically(">", before))
})
