package gate_test

import (
	"context"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// goneControls is the number of control VMs that were replaced: more than a gateway polls
// at a time.
const goneControls = 5

// goneControl accepts connections and never replies, like the address of a control VM that
// is gone.
type goneControl struct {
	wire.DRPCFleetUnimplementedServer
	mu sync.Mutex
	// isPolled is set when the gateway has polled it.
	isPolled bool
}

func (gone *goneControl) Poll(ctx context.Context, request *wire.PollRequest) (*wire.PollReply, error) {
	gone.mu.Lock()
	gone.isPolled = gone.isPolled || request.GetNode() == "gateway1"
	gone.mu.Unlock()
	<-ctx.Done()
	return nil, ctx.Err()
}

func (gone *goneControl) polled() bool {
	gone.mu.Lock()
	defer gone.mu.Unlock()
	return gone.isPolled
}

// startGone makes the control VM name another one in the zone of the gateway, which never
// replies.
func (site *site) startGone() *goneControl {
	gone := &goneControl{}
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.DRPCRegisterFleet(server.Mux(), gone)).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	_, err = site.control.Poll(context.Background(), &wire.PollRequest{Node: "gone", Zone: "z1", Control: true, Address: server.Address()})
	Expect(err).NotTo(HaveOccurred())
	return gone
}

// Guards against a gateway that polls only control VMs of its own zone that are gone, and
// serves its callers by an old configuration, or not at all, although a control VM of
// another zone is up.
var _ = It("follows a control VM that starts again although those in its own zone are gone for good", func() {
	address, folder := free(), GinkgoT().TempDir()
	site := &site{control: startControl(address, "z2", folder, 1, `"k1"`)}
	site.gateway = newGateway(address, 0)
	backend := site.startBackend([]fake.Step{{Text: okResponse}}, 1)
	for range goneControls {
		gone := site.startGone()
		Eventually(gone.polled).WithTimeout(limit).Should(BeTrue())
	}
	Expect(site.control.Close()).To(Succeed())
	site.control = startControl(address, "z2", folder, 2, `"k2"`)
	Expect(site.control.Heard(context.Background(), roster.Record{ID: "e0", Service: "desk", Address: backend.Addresses()[0], Born: 1, Sequence: 2, Slots: 6, ReceivedAt: site.control.Now()})).To(Succeed())
	Eventually(func() int {
		asked := request(script{Method: "POST", Path: "/look/1", Send: "p"})
		asked.Header.Set("Hibiscuslug-Key", "k2")
		return site.status(asked)
	}).WithTimeout(limit).Should(Equal(http.StatusOK))
})
