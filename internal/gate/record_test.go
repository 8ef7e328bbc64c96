package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/gate"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// durableSite is a site whose control VM and gateway can be started again.
type durableSite struct {
	*brittleSite
	data, address string

	mu sync.Mutex
	// records holds the latest heartbeat of each endpoint.
	records map[int]roster.Record
}

func newDurableSite(endpoints int) *durableSite {
	made := &durableSite{brittleSite: &brittleSite{site: &site{}}, data: GinkgoT().TempDir(), address: free(), records: map[int]roster.Record{}}
	brittle, err := fake.NewBrittle(fake.BrittleSettings{
		Header: "Hibiscuslug-Prompt-Prefix", Deadly: deadlyPart, IDHeader: idHeader,
		AnswerHeader: map[string]string{"Hibiscuslug-Response-Seal": "s", "Content-Type": "text/event-stream"},
		Started:      made.heard,
	}, endpoints)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(brittle.Close)
	made.brittle = brittle
	return made
}

func (made *durableSite) heard(number int, address string, incarnation int) {
	made.mu.Lock()
	defer made.mu.Unlock()
	made.records[number] = roster.Record{
		ID: fmt.Sprintf("e%d", number), Service: "desk", Address: address, Born: clock.Millis(incarnation), Sequence: 1, Slots: 6,
	}
	made.tell()
}

// tell passes the heartbeats to the control VM. The caller holds mu.
func (made *durableSite) tell() {
	for _, record := range made.records {
		if made.control != nil {
			record.ReceivedAt = made.control.Now()
			Expect(made.control.Heard(context.Background(), record)).To(Succeed())
		}
	}
}

// start starts the control VM with the data of an earlier start, and a gateway.
func (made *durableSite) start() {
	control, err := ctrl.New(ctrl.Settings{
		Node: opts.Node{Name: "control1", Zone: "z1", Listen: made.address, ShutdownLimit: clock.Second},
		Control: opts.Control{
			Data: made.data, Seed: []string{made.address}, Bootstrap: true, ElectionTimeout: 200, CommitLimit: 2 * clock.Second, SnapshotBytes: 1 << 20,
		},
	}, clock.NewSystem(), event.Discard())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = control.Close() })
	made.mu.Lock()
	made.control = control
	made.tell()
	count := len(made.records)
	made.mu.Unlock()
	if control.Deployment() == nil {
		Eventually(func() error { return control.Deploy(context.Background(), 1, document(1, `"k1"`)) }).WithTimeout(limit).Should(Succeed())
	}
	gateway := newNamedGateway("gateway1", made.address)
	made.gateways = []*gate.Gateway{gateway}
	Eventually(func() int { return len(gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(count))
	Eventually(gateway.Ready).WithTimeout(limit).Should(BeTrue())
}

// stop ends all processes that hold evidence of crashes.
func (made *durableSite) stop() {
	Expect(made.gateways[0].Close()).To(Succeed())
	made.mu.Lock()
	control := made.control
	made.control = nil
	made.mu.Unlock()
	Expect(control.Close()).To(Succeed())
}

// block returns the block of the deadly part that the configuration holds.
func (made *durableSite) block() *wire.CrashBlock {
	for _, block := range made.control.View().State().CrashBlocks() {
		if block.GetPart() == xxhash.Sum64String(deadlyPart) {
			return block
		}
	}
	return nil
}

// Guards against a block that ends with the processes which hold its evidence: a part
// that crashes endpoints would crash the next one at once.
var _ = It("keeps a deadly prompt part away for the time left when all processes have ended", func() {
	site := newDurableSite(4)
	site.start()
	Expect(site.ask(soundParts)).To(Equal(http.StatusOK))
	site.ask(deadlyParts)
	Eventually(site.block).WithTimeout(limit).ShouldNot(BeNil())
	before, revision := site.block(), site.control.View().State().Revision()
	Consistently(func() uint64 { return site.control.View().State().Revision() }).WithTimeout(time.Second).Should(Equal(revision))
	crashes := site.brittle.Crashes()
	site.stop()

	site.start()
	Expect(site.block()).To(Equal(before))
	built := request(script{Method: "POST", Path: "/draft/1", Send: "again"})
	built.Header.Set("Hibiscuslug-Prompt-Prefix", deadlyParts+",own:20")
	site.gateway = site.gateways[0]
	left := before.GetUntil() - int64(site.control.Now())
	response, _, err := site.send(built)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	// The time is stated in whole seconds.
	Expect(after).To(BeNumerically("<=", float64(left)/1000+1))
	Expect(site.ask(soundParts)).To(Equal(http.StatusOK))
	Expect(site.brittle.Crashes()).To(Equal(crashes))
})
