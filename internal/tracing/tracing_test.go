package tracing

import (
	"context"
	"fmt"
	"testing"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc/drpcmetadata"
)

func TestTraceContextCrossesPeers(t *testing.T) {
	if _, err := Start(t.Context(), "test", ExporterNone); err != nil {
		t.Fatal(err)
	}
	spans := tracetest.NewSpanRecorder()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)))
	ctx, agent := StartSpan(context.Background(), SpanPlacement)
	sent, _ := drpcmetadata.Get(InjectPeer(ctx))
	remote := drpcmetadata.AddPairs(context.Background(), sent)
	_, peer := StartSpan(ExtractPeer(remote), SpanPeerAgent)
	EndSpan(peer, fmt.Errorf("refused"))
	EndSpan(agent, nil)
	ended := spans.Ended()
	if len(ended) != 2 || ended[0].Parent().SpanID() != agent.SpanContext().SpanID() {
		t.Fatalf("got %d spans with parent %v", len(ended), ended[0].Parent())
	}
	if ended[0].SpanKind() != trace.SpanKindServer || ended[0].Status().Description != "refused" {
		t.Fatalf("got %v %v", ended[0].SpanKind(), ended[0].Status())
	}
}

func TestUnknownExporter(t *testing.T) {
	if _, err := Start(t.Context(), "test", "smoke-signals"); err == nil {
		t.Fatal("accepted")
	}
}
