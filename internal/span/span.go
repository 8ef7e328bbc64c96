// Package span records OpenTelemetry traces: one span for each hop of a
// request. The W3C trace context travels in wire.Attempt.traceparent and in
// the Traceparent header towards engines. A nil Tracer is tracing switched
// off: it starts no spans and passes the trace context through unchanged.
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
	scope       = "github.com/hibiscuslug/hibiscuslug"
	exportLimit = 5 * time.Second
	// header is the W3C trace context's name in a carrier.
	header = "traceparent"
)

// Tracer makes the spans of one process.
type Tracer struct {
	provider *trace.TracerProvider
	tracer   api.Tracer
	ratio    trace.Sampler
	file     *os.File
}

// Hop is a span that has begun. A nil Hop records nothing.
type Hop struct {
	span api.Span
}

// New returns the tracer of a process, or nil when neither a collector nor a
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
	// The ratio counts for spans without a parent of this system; the others
	// follow the first hop, so that a trace is whole or absent.
	tracer.ratio = trace.TraceIDRatioBased(node.TraceRatio)
	tracer.provider = trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(attributes),
		trace.WithSampler(trace.ParentBased(tracer.ratio)))
	tracer.tracer = tracer.provider.Tracer(scope)
	return tracer, nil
}

func (tracer *Tracer) exporter(node opts.Node) (trace.SpanExporter, error) {
	if node.TraceAddress != "" {
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(node.TraceAddress),
			otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(exportLimit))
	}
	file, err := os.OpenFile(node.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "setting --trace-file")
	}
	tracer.file = file
	return stdouttrace.New(stdouttrace.WithWriter(file))
}

// Root starts the first hop of a request. A caller's trace context gives the
// trace id, but whether the request is traced is decided here.
func (tracer *Tracer) Root(traceparent, name string, attributes ...attribute.KeyValue) *Hop {
	if tracer == nil {
		return nil
	}
	parent := api.SpanContextFromContext(extract(traceparent))
	ctx := context.Background()
	if parent.IsValid() {
		// A remote parent that is not sampled would end the trace whatever the
		// ratio says, and one that is sampled would bypass the ratio.
		decided := tracer.ratio.ShouldSample(trace.SamplingParameters{ParentContext: ctx, TraceID: parent.TraceID()})
		sampled := decided.Decision == trace.RecordAndSample
		ctx = api.ContextWithRemoteSpanContext(ctx, parent.WithTraceFlags(parent.TraceFlags().WithSampled(sampled)))
	}
	_, begun := tracer.tracer.Start(ctx, name, copied(attributes), api.WithSpanKind(api.SpanKindServer))
	return &Hop{span: begun}
}

// Start starts a hop below the one that a trace context names.
func (tracer *Tracer) Start(traceparent, name string, attributes ...attribute.KeyValue) *Hop {
	if tracer == nil || traceparent == "" {
		return nil
	}
	_, begun := tracer.tracer.Start(extract(traceparent), name, copied(attributes))
	return &Hop{span: begun}
}

// copied keeps the callers' attributes off the heap when tracing is off.
func copied(attributes []attribute.KeyValue) api.SpanStartEventOption {
	return api.WithAttributes(append([]attribute.KeyValue(nil), attributes...)...)
}

func extract(traceparent string) context.Context {
	carrier := propagation.MapCarrier{header: traceparent}
	return propagation.TraceContext{}.Extract(context.Background(), carrier)
}

// Traceparent returns the trace context for the next hop; a nil hop passes on
// what it is given.
func (hop *Hop) Traceparent(given string) string {
	if hop == nil {
		return given
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(api.ContextWithSpan(context.Background(), hop.span), carrier)
	return carrier[header]
}

// End ends the hop with its outcome; an error marks it as failed.
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

// Text returns an attribute.
func Text(name, value string) attribute.KeyValue { return attribute.String(name, value) }

// Number returns an attribute.
func Number[T int | int32 | int64 | uint32](name string, value T) attribute.KeyValue {
	return attribute.Int64(name, int64(value))
}

// Close exports what is left and stops.
func (tracer *Tracer) Close() error {
	if tracer == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), exportLimit)
	defer cancel()
	err := tracer.provider.Shutdown(ctx)
	if tracer.file != nil {
		err = errors.CombineErrors(err, tracer.file.Close())
	}
	return err
}

type tracerKey struct{}

// Into returns a context that carries a tracer; without one it is unchanged.
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
	_, begun := tracer.tracer.Start(extract(traceparent), name, api.WithTimestamp(time.UnixMilli(int64(start))))
	begun.End(api.WithTimestamp(time.UnixMilli(int64(end))))
}
