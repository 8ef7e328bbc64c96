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
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/platform"
)

// Guards against work for a caller that has left: a process that was suspended until
// after the deadline still has a valid context, and sent the request when it woke up.
var _ = It("does not send a request whose deadline passed while the process was suspended", func() {
	backend, err := fake.NewBackend("Hibiscuslug-Request-Id", []fake.Step{{Then: "close"}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	ticker := clock.NewManual(clock.Hour)
	gateway := &Gateway{clock: ticker, log: event.Discard(), conns: conns.New(ticker), work: map[string]choose.Load{}, settings: Settings{Dialect: platform.Dialect{}}}
	DeferCleanup(gateway.conns.Close)
	attempt := func() result {
		arrived := ticker.Now()
		forwarder := newForwarder(gateway, httptest.NewRecorder(), &call{
			task: task.Task{ID: "id1", Method: "POST", Target: "/book/1"}, route: plan.Route{Kind: plan.NonIdempotent}, arrived: arrived, deadline: arrived + clock.Second,
		})
		ticker.Advance(3 * clock.Second)
		ended, err := forwarder.attempt(context.Background(), roster.Record{ID: "e0", Address: backend.Addresses()[0]})
		Expect(err).To(HaveOccurred())
		return ended
	}
	Expect(attempt()).To(Equal(notSent))
	Expect(backend.Requests()).To(BeEmpty())
	Expect(gateway.work).To(BeEmpty())
})
