package span_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
)

func TestSpan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Span")
}

const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against allocations per request when tracing is off, and against losing
// the caller's trace context.
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

// collector starts a fake OTLP collector. It returns its address and the number
// of exports received.
func collector() (string, *atomic.Int64) {
	var received atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v1/traces" && request.ContentLength != 0 {
			received.Add(1)
		}
	})}
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	DeferCleanup(func() { Expect(server.Close()).To(Succeed()); serving.Wait() })
	return listener.Addr().String(), &received
}

// Guards against spans that never reach the collector, and against callers that
// override the operator's sampling ratio with a sampled trace context.
var _ = It("exports to the collector by the operator's ratio alone", func() {
	for ratio, exports := range map[float64]int64{0: 0, 1: 1} {
		address, received := collector()
		tracer, err := span.New(opts.Node{Name: "entry1", TraceAddress: address, TraceRatio: ratio}, "entry")
		Expect(err).NotTo(HaveOccurred())
		root := tracer.Root(caller, "request")
		context := root.Traceparent(caller)
		Expect(context).To(HavePrefix(caller[:36]), "the caller's trace id is kept")
		Expect(context).NotTo(Equal(caller))
		tracer.Start(context, "attempt").End("ok", nil)
		root.End("ok", nil)
		Expect(tracer.Close()).To(Succeed())
		Expect(received.Load()).To(Equal(exports))
	}
})
