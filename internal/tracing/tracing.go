// Package tracing carries OpenTelemetry spans over the hops of a request.
package tracing

import (
	"context"
	"os"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc/drpcmetadata"

	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
)

const (
	// ExporterNone switches tracing off.
	ExporterNone = "none"
	// ExporterStderr writes each span to standard error.
	ExporterStderr = "stderr"
	// ExporterOTLP sends spans by OTLP over HTTP; the standard OTEL_EXPORTER_OTLP_* variables say where.
	ExporterOTLP = "otlp"
)

// PlacementSampleRatio is the share of new flows whose placement is traced.
const PlacementSampleRatio = 1.0 / 64

const scope = "github.com/bramleyrack/bramleyrack"

// SpanName names the part of the path that a span covers.
type SpanName string

// The hops that Connect calls don't cover. ConnectInterceptor makes the spans of caller, agent and
// upstream, which are named after the procedure.
const (
	SpanPlacement SpanName = "balancer.placement"
	SpanPeerAgent SpanName = "peer_agent"
)

// Start installs the tracer of the process and the propagation of W3C trace context. The
// returned function flushes what is left.
func Start(ctx context.Context, program, exporter string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	spans, err := newExporter(ctx, exporter)
	if err != nil {
		return nil, err
	}
	if spans == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(spans),
		sdktrace.WithSampler(hopSampler{fallback: sdktrace.ParentBased(sdktrace.AlwaysSample())}),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", program))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, name string) (sdktrace.SpanExporter, error) {
	switch name {
	case ExporterNone, "":
		return nil, nil
	case ExporterStderr:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stderr))
	case ExporterOTLP:
		return otlptracehttp.New(ctx)
	}
	return nil, errors.Errorf("unknown trace exporter %q: want none, stderr or otlp", name)
}

// hopSampler thins out the placement spans, since a balancer sees thousands of new flows a second.
type hopSampler struct {
	fallback sdktrace.Sampler
}

func (s hopSampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	if p.Name == string(SpanPlacement) {
		return sdktrace.TraceIDRatioBased(PlacementSampleRatio).ShouldSample(p)
	}
	return s.fallback.ShouldSample(p)
}

func (s hopSampler) Description() string {
	return "hopSampler{" + s.fallback.Description() + "}"
}

// StartSpan starts the span of one hop. The caller ends it with EndSpan.
func StartSpan(ctx context.Context, hop SpanName, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(scope).Start(ctx, string(hop), trace.WithAttributes(attrs...), trace.WithSpanKind(kindOf(hop)))
}

func kindOf(hop SpanName) trace.SpanKind {
	if hop == SpanPeerAgent {
		return trace.SpanKindServer
	}
	return trace.SpanKindInternal
}

// EndSpan ends a span and marks it failed when err is not nil.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// RecordPlacement traces the choice that a balancer made for a new flow. A balancer can't read the
// trace context, which is encrypted, so the span is a root; the flow attribute joins it to the rest.
func RecordPlacement(start, end time.Time, flow uint64, service, server uint32) {
	_, span := otel.Tracer(scope).Start(context.Background(), string(SpanPlacement), trace.WithTimestamp(start))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.Int64("flow", int64(flow)),
			attribute.Int64("service", int64(service)),
			attribute.Int64("server", int64(server)),
		)
	}
	span.End(trace.WithTimestamp(end))
}

// ConnectInterceptor carries the trace context over Connect calls, for clients and handlers. Questions
// for the health of an upstream, which come several times a second, are not traced.
func ConnectInterceptor() (connect.Interceptor, error) {
	return otelconnect.NewInterceptor(otelconnect.WithTrustRemote(), otelconnect.WithoutMetrics(), otelconnect.WithFilter(traceable))
}

func traceable(_ context.Context, spec connect.Spec) bool {
	return spec.Procedure != bramleyv1connect.UpstreamServiceHealthProcedure
}

// InjectPeer adds the trace context to the metadata of an outgoing drpc call.
func InjectPeer(ctx context.Context) context.Context {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	if len(carrier) == 0 {
		return ctx
	}
	return drpcmetadata.AddPairs(ctx, carrier)
}

// ExtractPeer takes the trace context out of the metadata of an incoming drpc call.
func ExtractPeer(ctx context.Context) context.Context {
	metadata, ok := drpcmetadata.Get(ctx)
	if !ok {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier(metadata))
}
