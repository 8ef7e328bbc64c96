package member_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// announceLimit bounds one round of announcements.
const announceLimit = 10 * time.Second

// entryVM counts announcements and names the entry VMs that endpoints announce to.
type entryVM struct {
	wire.DRPCMemberUnimplementedServer
	peers []*wire.Announcement

	mu       sync.Mutex
	received int
}

func (entry *entryVM) Announce(context.Context, *wire.Announcement) (*wire.AnnounceReply, error) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.received++
	return &wire.AnnounceReply{Peers: entry.peers, PeersVersion: 1}, nil
}

func (entry *entryVM) count() int {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.received
}

// start starts the entry VM and returns a proxy in front of it.
func (entry *entryVM) start() *fault.Proxy {
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.DRPCRegisterMember(server.Mux(), entry)).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	proxy, err := fault.New(server.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	return proxy
}

// Guards against an endpoint that is cut off once and announces itself to nobody any more,
// because the entry VMs in its settings have been replaced: it gets no work until it
// restarts with other settings.
var _ = It("announces to the entry VMs that it knew after a cut, although those in the settings are gone", func() {
	replacement := &entryVM{}
	proxy := replacement.start()
	seed := &entryVM{peers: []*wire.Announcement{{Node: "entry2", Zone: "z1", Address: proxy.Address()}}}
	seedProxy := seed.start()
	pool := link.NewPool()
	DeferCleanup(pool.Close)
	announcer := member.NewAnnouncer(pool, clock.NewSystem(), event.Discard(), []string{seedProxy.Address()}, func() *wire.Announcement {
		return &wire.Announcement{Node: "endpoint1", Zone: "z1", Lifetime: 1000}
	})
	ctx, cancel := context.WithTimeout(context.Background(), announceLimit)
	DeferCleanup(cancel)

	announcer.Once(ctx)
	Expect(seed.count()).To(Equal(1))
	announcer.Once(ctx)
	Expect(replacement.count()).To(Equal(1))
	seedProxy.Cut()
	proxy.Cut()
	announcer.Once(ctx)
	proxy.Heal()
	announcer.Once(ctx)
	Expect(announcer.Targets()).To(ContainElement(proxy.Address()))
	Expect(replacement.count()).To(BeNumerically(">=", 2))
})
