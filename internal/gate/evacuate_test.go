package gate

import (
	"context"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
	"github.com/hibiscuslug/hibiscuslug/platform"
)

// Guards against a request that is sent to a zone which was evacuated while the request
// waited after its endpoint had been chosen.
var _ = It("does not send a request whose zone was evacuated after the choice", func() {
	backend, err := fake.NewBackend("Hibiscuslug-Request-Id", []fake.Step{{Then: "close"}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	ticker := clock.NewManual(clock.Hour)
	gateway := &Gateway{
		clock: ticker, log: event.Discard(), conns: conns.New(ticker), work: map[string]choose.Load{}, settings: Settings{Dialect: platform.Dialect{}},
		view: feed.NewView(ticker),
	}
	DeferCleanup(gateway.conns.Close)
	Expect(gateway.view.Apply(&wire.FeedItem{Revision: 1, Changes: []*wire.Numbered{{Revision: 1, Change: &wire.Change{
		Body: &wire.Change_Evacuation{Evacuation: &wire.Evacuation{Zone: "z1", Active: true}},
	}}}}, ticker.Now())).To(Succeed())
	forwarder := newForwarder(gateway, httptest.NewRecorder(), &call{
		task: task.Task{ID: "id1", Method: "POST", Target: "/book/1"}, route: plan.Route{Kind: plan.NonIdempotent}, arrived: ticker.Now(), deadline: ticker.Now() + clock.Second,
	})
	ended, err := forwarder.attempt(context.Background(), roster.Record{ID: "e0", Address: backend.Addresses()[0], Zone: "z1"})
	Expect(err).To(MatchError(errEvacuated))
	Expect(ended).To(Equal(notSent))
	Expect(backend.Requests()).To(BeEmpty())
	Expect(gateway.work).To(BeEmpty())
})
