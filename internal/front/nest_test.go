package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/class"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/front"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// deepBody is the size of a body that is within the limit of the settings and nests once a
// byte.
const deepBody = 12 << 20

// Guards against one body that ends the process with all requests in flight: the parser
// needs over a gigabyte of stack for it.
var _ = It("refuses a body that nests too deeply, and accepts brackets in texts", func() {
	view := feed.NewView(clock.NewSystem())
	Expect(view.Apply(&wire.FeedItem{Snapshot: &wire.Snapshot{
		Revision:  1,
		Tiers:     []*wire.TierRecord{{Name: "paid", Level: wire.Tier_TIER_PAID, Patience: 60_000}},
		Customers: []*wire.Customer{{Name: "clinic", Tier: "paid", TokenHash: class.TokenHash("paid")}},
	}}, 0)).To(Succeed())
	server, err := front.New(opts.Entry{
		HTTPListen: "127.0.0.1:0", MaxBody: 16 << 20, MaxHeader: 2048, MaxConcurrent: 3, RequestLimit: clock.Minute, ReadLimit: clock.Minute,
	}, guard.New(guard.Settings{}, clock.NewSystem(), event.Discard()), view, &router{}, ledger.New(10), clock.NewSystem(), func() string { return "r1" })
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { Expect(server.Close(limit)).To(Succeed()) })
	send := func(body string) (int, string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/v1/completions", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer paid")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(answer)
	}

	status, answer := send(strings.Repeat("[", deepBody))
	Expect(status).To(Equal(http.StatusBadRequest))
	Expect(answer).To(ContainSubstring("max depth"))
	status, _ = send(fmt.Sprintf(`{"model":"m","prompt":"\"%s"}`, strings.Repeat("[{", 20_000)))
	Expect(status).NotTo(Equal(http.StatusBadRequest))
})
