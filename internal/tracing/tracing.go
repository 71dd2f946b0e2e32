// Package tracing sets up OpenTelemetry tracing and propagates the trace context along the path of a request.
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
	// ExporterNone disables tracing. Trace contexts are still propagated.
	ExporterNone = "none"
	// ExporterStderr writes each span to standard error.
	ExporterStderr = "stderr"
	// ExporterOTLP sends spans by OTLP over HTTP. The standard OTEL_EXPORTER_OTLP_* environment variables configure
	// the endpoint.
	ExporterOTLP = "otlp"
)

// PlacementSampleRatio is the fraction of new flows whose placement is traced.
const PlacementSampleRatio = 1.0 / 64

const scope = "github.com/bramleyrack/bramleyrack"

// SpanName is the name of a span: the part of a request's path that it covers.
type SpanName string

// Spans of the hops that make no Connect call. The spans of callers, agents and upstreams come from ConnectInterceptor
// and are named after the procedure.
const (
	SpanPlacement SpanName = "balancer.placement"
	SpanPeerAgent SpanName = "peer_agent"
)

// Start installs the tracer provider of the process and the propagation of W3C trace contexts. The returned
// function exports the remaining spans and shuts the provider down.
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

// hopSampler samples only a fraction of the placement spans, because a balancer sees thousands of new flows per
// second. It leaves other spans to fallback.
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
func StartSpan(ctx context.Context, name SpanName, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(scope).Start(ctx, string(name), trace.WithAttributes(attrs...), trace.WithSpanKind(spanKind(name)))
}

func spanKind(name SpanName) trace.SpanKind {
	if name == SpanPeerAgent {
		return trace.SpanKindServer
	}
	return trace.SpanKindInternal
}

// EndSpan ends a span and sets its status to error if err is not nil.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// RecordPlacement records the span in which a balancer chose the server of a new flow. The span is a root span, because
// the trace context is encrypted and a balancer can't read it. The flow attribute correlates it with the other spans.
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

// ConnectInterceptor returns an interceptor that propagates the trace context over Connect calls, for clients and
// handlers. It doesn't trace health checks of an upstream, which come several times per second.
func ConnectInterceptor() (connect.Interceptor, error) {
	return otelconnect.NewInterceptor(otelconnect.WithTrustRemote(), otelconnect.WithoutMetrics(), otelconnect.WithFilter(shouldTrace))
}

func shouldTrace(_ context.Context, spec connect.Spec) bool {
	return spec.Procedure != bramleyv1connect.UpstreamServiceHealthProcedure
}

// InjectPeer adds the trace context to the metadata of an outgoing drpc call to a peer.
func InjectPeer(ctx context.Context) context.Context {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	if len(carrier) == 0 {
		return ctx
	}
	return drpcmetadata.AddPairs(ctx, carrier)
}

// ExtractPeer reads the trace context from the metadata of an incoming drpc call from a peer.
func ExtractPeer(ctx context.Context) context.Context {
	metadata, ok := drpcmetadata.Get(ctx)
	if !ok {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier(metadata))
}
