package gate

import (
	"context"
	"net/http/httptest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
)

// Guards against a 502 and a second permit for a request of which no byte was sent on the
// reused connection that failed, and against a promise that a request did not run when
// some of it was sent. Without a leader, the gateway has no permit to give.
var _ = DescribeTable("counts a request as run only if some of it was sent on the reused connection",
	func(isUnsent bool) {
		gateway := newIsolated()
		endpoint := roster.Record{ID: "e1", Born: 1}
		gateway.board.Answered(endpointKey(endpoint), new(1.0), gateway.clock.Now())
		forwarder := newForwarder(gateway, httptest.NewRecorder(), &call{route: plan.Route{Kind: plan.Idempotent, Attempts: 2}})
		failure := errors.Mark(errors.New("reset"), conns.ErrStale)
		if isUnsent {
			failure = errors.Mark(failure, conns.ErrNotSent)
		}
		err := forwarder.permitResend(context.Background(), endpoint, failure)
		Expect(err == nil).To(Equal(isUnsent), "%v", err)
		Expect(forwarder.mayHaveRun).To(Equal(!isUnsent))
		Expect(forwarder.brokeStale).To(Equal(!isUnsent))
	},
	Entry("nothing was sent", true),
	Entry("some of it was sent", false),
)
