package span_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
)

func TestSpan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Span")
}

const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against a cost for every request when tracing is off, and against a
// lost trace context of the caller.
var _ = It("allocates nothing and passes the trace context on when it is off", func() {
	tracer, err := span.New(opts.Node{}, "entry")
	Expect(err).NotTo(HaveOccurred())
	failure := errors.New("failure")
	ctx := context.Background()
	Expect(testing.AllocsPerRun(100, func() {
		hop := span.From(span.Into(ctx, tracer)).Start(caller, "attempt", span.Text("engine", "engine1"), span.Number("attempt", 1))
		if hop.Traceparent(caller) != caller {
			panic("the trace context was changed")
		}
		hop.End("ok", failure)
		tracer.Record(caller, "wait", 1, 2)
	})).To(BeZero())
	Expect(tracer.Close()).To(Succeed())
})
