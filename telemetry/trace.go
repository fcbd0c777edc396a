package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Propagator carries W3C trace context over HTTP headers.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// TraceOptions says where spans go.
type TraceOptions struct {
	Endpoint string  // "IP:port" of an OTLP/HTTP collector; empty for none
	Share    float64 // part of the new traces that are kept, 0..1
	Daemon   string  // such as "peridotlock-entry"
	Node     string  // VM's name
}

// NewTracer returns a tracer and a function that flushes and stops it.
func NewTracer(ctx context.Context, o TraceOptions) (trace.Tracer, func(context.Context) error, error) {
	if o.Endpoint == "" {
		none := func(context.Context) error { return nil }
		return noop.NewTracerProvider().Tracer(o.Daemon), none, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, nil, fmt.Errorf("trace exporter %s: %w", o.Endpoint, err)
	}
	res := resource.NewSchemaless(attribute.String("service.name", o.Daemon), attribute.String("host.name", o.Node))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Share))),
	)
	return provider.Tracer(o.Daemon), provider.Shutdown, nil
}
