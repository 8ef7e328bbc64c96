package feed_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Feed")
}

const limit = 30 * time.Second

// serve starts a source at a revision, which control keeps confirming or never
// confirms.
func serve(ticker *clock.Clock, revision uint64, confirmed bool) string {
	view := feed.NewView(ticker)
	for next := uint64(1); next <= revision; next++ {
		change := &wire.Change{Body: &wire.Change_Drain{Drain: &wire.Drain{Endpoint: "endpoint1"}}}
		Expect(view.Apply(&wire.FeedItem{Changes: []*wire.Numbered{{Revision: next, Change: change}}}, ticker.Now())).To(Succeed())
	}
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(wire.DRPCRegisterFeed(server.Mux(), feed.NewServer(view, ticker))).To(Succeed())
	server.Start()
	DeferCleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var confirming conc.WaitGroup
	DeferCleanup(func() { cancel(); confirming.Wait() })
	confirming.Go(func() {
		for confirmed && ctx.Err() == nil {
			view.Confirm(revision, 0)
			_ = ticker.Sleep(ctx, 50)
		}
	})
	return server.Address()
}

// Guards against a process that keeps following a control VM that is cut off
// from its group, and so never receives later changes.
var _ = It("a follower leaves a source that control does not confirm", func() {
	ticker := clock.NewSystem()
	sources := []string{serve(ticker, 2, false), serve(ticker, 5, true)}
	view, pool := feed.NewView(ticker), link.NewPool()
	DeferCleanup(pool.Close)
	follower := feed.NewFollower(view, "entry1", pool, ticker, event.Discard(), func() []string { return sources })
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	DeferCleanup(func() { cancel(); running.Wait() })
	running.Go(func() { follower.Run(ctx) })
	Eventually(func() uint64 { return view.State().Revision() }).WithTimeout(limit).Should(Equal(uint64(2)))
	Eventually(func() uint64 { return view.State().Revision() }).WithTimeout(limit).Should(Equal(uint64(5)))
	Eventually(func() bool { return view.Age() < clock.Second }).WithTimeout(limit).Should(BeTrue())
})

// Guards against an age of decades in log lines when control never confirmed the
// configuration: the age counts from the Unix epoch.
var _ = It(`returns the age as "never" when control never confirmed the configuration`, func() {
	ticker := clock.NewManual(clock.Millis(1_790_000_000_000))
	view := feed.NewView(ticker)
	Expect(view.AgeText()).To(Equal("never"))
	view.Confirm(0, 250)
	Expect(view.AgeText()).To(Equal("250ms"))
})
