// Package span records OpenTelemetry traces with one span for each hop of a
// request. The W3C trace context is propagated in wire.Attempt.traceparent and
// in the Traceparent header to engines. A nil Tracer disables tracing: it starts
// no spans and passes the trace context through unchanged.
package span

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	instrumentationScope = "github.com/hibiscuslug/hibiscuslug"
	exportTimeout        = 5 * time.Second
	// traceparentKey is the key of the W3C trace context in a carrier.
	traceparentKey = "traceparent"
)

// Tracer starts the spans of one process.
type Tracer struct {
	provider     *trace.TracerProvider
	tracer       api.Tracer
	ratioSampler trace.Sampler
	file         *os.File
}

// Hop is a started span. A nil Hop records nothing.
type Hop struct {
	span api.Span
}

// New returns the tracer of a process, or nil if neither a collector nor a trace
// file is set.
func New(node opts.Node, role string) (*Tracer, error) {
	if node.TraceAddress == "" && node.TraceFile == "" {
		return nil, nil
	}
	tracer := &Tracer{}
	exporter, err := tracer.exporter(node)
	if err != nil {
		return nil, err
	}
	attributes := resource.NewSchemaless(
		attribute.String("service.name", "hibiscuslug"), attribute.String("service.instance.id", node.Name),
		attribute.String("hibiscuslug.role", role), attribute.String("hibiscuslug.zone", node.Zone),
	)
	// The sampling ratio applies to spans without a parent of this system. All
	// others follow the first hop, so that a trace is complete or absent.
	tracer.ratioSampler = trace.TraceIDRatioBased(node.TraceRatio)
	tracer.provider = trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(attributes),
		trace.WithSampler(trace.ParentBased(tracer.ratioSampler)))
	tracer.tracer = tracer.provider.Tracer(instrumentationScope)
	return tracer, nil
}

func (tracer *Tracer) exporter(node opts.Node) (trace.SpanExporter, error) {
	if node.TraceAddress != "" {
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(node.TraceAddress),
			otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(exportTimeout))
	}
	file, err := os.OpenFile(node.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "setting --trace-file")
	}
	tracer.file = file
	return stdouttrace.New(stdouttrace.WithWriter(file))
}

// Root starts the first hop of a request. It keeps the trace id of the caller's
// trace context, but samples by the ratio of this tracer.
func (tracer *Tracer) Root(traceparent, name string, attributes ...attribute.KeyValue) *Hop {
	if tracer == nil {
		return nil
	}
	parent := api.SpanContextFromContext(extract(traceparent))
	ctx := context.Background()
	if parent.IsValid() {
		// With ParentBased, the caller's sampled flag would override the ratio, so
		// the flag is replaced with the decision of the ratio.
		decision := tracer.ratioSampler.ShouldSample(trace.SamplingParameters{ParentContext: ctx, TraceID: parent.TraceID()})
		sampled := decision.Decision == trace.RecordAndSample
		ctx = api.ContextWithRemoteSpanContext(ctx, parent.WithTraceFlags(parent.TraceFlags().WithSampled(sampled)))
	}
	_, started := tracer.tracer.Start(ctx, name, withClonedAttributes(attributes), api.WithSpanKind(api.SpanKindServer))
	return &Hop{span: started}
}

// Start starts a hop as a child of the span in a trace context.
func (tracer *Tracer) Start(traceparent, name string, attributes ...attribute.KeyValue) *Hop {
	if tracer == nil || traceparent == "" {
		return nil
	}
	_, started := tracer.tracer.Start(extract(traceparent), name, withClonedAttributes(attributes))
	return &Hop{span: started}
}

// withClonedAttributes returns an option with a copy of attributes. Because of
// the copy the callers' slices do not escape to the heap, so a call does not
// allocate when tracing is off.
func withClonedAttributes(attributes []attribute.KeyValue) api.SpanStartEventOption {
	return api.WithAttributes(append([]attribute.KeyValue(nil), attributes...)...)
}

func extract(traceparent string) context.Context {
	carrier := propagation.MapCarrier{traceparentKey: traceparent}
	return propagation.TraceContext{}.Extract(context.Background(), carrier)
}

// Traceparent returns the trace context for the next hop; a nil hop returns
// given.
func (hop *Hop) Traceparent(given string) string {
	if hop == nil {
		return given
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(api.ContextWithSpan(context.Background(), hop.span), carrier)
	return carrier[traceparentKey]
}

// End ends the hop with its outcome. An error that is not nil marks the span as
// failed.
func (hop *Hop) End(outcome string, err error) {
	if hop == nil {
		return
	}
	hop.span.SetAttributes(attribute.String("outcome", outcome))
	if err != nil {
		hop.span.SetStatus(codes.Error, err.Error())
	}
	hop.span.End()
}

// Text returns a string attribute.
func Text(name, value string) attribute.KeyValue { return attribute.String(name, value) }

// Number returns an integer attribute.
func Number[T int | int32 | int64 | uint32](name string, value T) attribute.KeyValue {
	return attribute.Int64(name, int64(value))
}

// Close exports the remaining spans and stops the tracer.
func (tracer *Tracer) Close() error {
	if tracer == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	err := tracer.provider.Shutdown(ctx)
	if tracer.file != nil {
		err = errors.CombineErrors(err, tracer.file.Close())
	}
	return err
}

type tracerKey struct{}

// Into returns a context that carries a tracer. A nil tracer leaves the context
// unchanged.
func Into(ctx context.Context, tracer *Tracer) context.Context {
	if tracer == nil {
		return ctx
	}
	return context.WithValue(ctx, tracerKey{}, tracer)
}

// From returns the tracer that a context carries, or nil.
func From(ctx context.Context) *Tracer {
	tracer, _ := ctx.Value(tracerKey{}).(*Tracer)
	return tracer
}

// Record records a hop that has already ended.
func (tracer *Tracer) Record(traceparent, name string, start, end clock.Millis) {
	if tracer == nil || traceparent == "" {
		return
	}
	_, started := tracer.tracer.Start(extract(traceparent), name, api.WithTimestamp(time.UnixMilli(int64(start))))
	started.End(api.WithTimestamp(time.UnixMilli(int64(end))))
}
