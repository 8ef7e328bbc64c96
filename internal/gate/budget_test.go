package gate

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Guards against a gateway that takes the whole slack of the retry budget because it
// has not heard of the other gateways yet.
var _ = It("takes no slack of the retry budget while it does not know the number of gateways", func() {
	ticker := clock.NewManual(clock.Hour)
	pool := link.NewPool()
	DeferCleanup(pool.Close)
	gateway := &Gateway{
		clock: ticker, windows: map[string]*retry.RatioBudget{},
		settings: Settings{Gateway: opts.Gateway{RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * clock.Second}},
		poller: poll.New(poll.Settings{
			Node: "gateway1", Board: board.New(ticker, event.Discard()),
		}, feed.NewView(ticker), pool, ticker, event.Discard()),
	}
	for range 50 {
		gateway.recordRequest("desk", ticker.Now())
	}
	taken := 0
	for range 100 {
		if gateway.takeRetry("desk") {
			taken++
		}
	}
	Expect(taken).To(Equal(10))
})
