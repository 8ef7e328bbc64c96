package link_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Link")
}

const limit = 20 * time.Second

type member struct {
	wire.DRPCMemberUnimplementedServer
}

func (*member) Exchange(context.Context, *wire.Digest) (*wire.Digest, error) {
	return &wire.Digest{}, nil
}

func exchange(pool *link.Pool, address string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := wire.NewDRPCMemberClient(pool.Conn(ctx, address)).Exchange(ctx, &wire.Digest{})
	return err
}

// Guards against a pool that hands out an unresponsive connection again after a
// call on it was canceled.
var _ = It("does not use a connection again that was discarded while in use", func() {
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.DRPCRegisterMember(server.Mux(), &member{})).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	proxy, err := fault.New(server.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	pool := link.NewPool()
	DeferCleanup(pool.Close)
	Expect(exchange(pool, proxy.Address(), limit)).To(Succeed())
	Expect(proxy.Silence(fault.Downstream)).To(Equal(1))
	// The address is discarded while the call holds its connection; then the call times out.
	discarded := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() {
		pool.Discard(proxy.Address())
		close(discarded)
	})
	Expect(exchange(pool, proxy.Address(), 200*time.Millisecond)).NotTo(Succeed())
	<-discarded
	Expect(exchange(pool, proxy.Address(), limit)).To(Succeed())
})

// Guards against an oversized message of one peer that ends the calls of others.
var _ = It("closes only the connection on which a frame over the size limit arrives", func() {
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.DRPCRegisterMember(server.Mux(), &member{})).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	pool := link.NewPool()
	DeferCleanup(pool.Close)
	Expect(exchange(pool, server.Address(), limit)).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	conn, err := pool.Fresh(ctx, server.Address())
	Expect(err).NotTo(HaveOccurred())
	oversized := &wire.Digest{Nodes: []*wire.Announcement{{Node: string(make([]byte, link.MaxFrame+1))}}}
	_, err = wire.NewDRPCMemberClient(conn).Exchange(ctx, oversized)
	Expect(err).To(HaveOccurred())
	Expect(ctx.Err()).NotTo(HaveOccurred(), "the oversized call was never answered")
	Expect(conn.Close()).To(Succeed())
	Expect(exchange(pool, server.Address(), limit)).To(Succeed())
})
