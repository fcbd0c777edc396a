package entry

import (
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/telemetry"
)

// ServeHTTP takes a request through all steps and writes the problem when one
// of them ends it.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := telemetry.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.options.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{entry: e, w: w, r: r.WithContext(ctx), span: span, start: time.Now()}
	defer c.finishPanic()
	defer c.dropBody()
	for _, s := range path {
		if p := s.handle(c); p != nil {
			c.refuse(p)
			return
		}
	}
	c.finish(answered)
}

// refuse writes the problem. Without Connection: close the server would first
// wait for the rest of an unread body.
func (c *call) refuse(p *answer.Problem) {
	if c.r.Body != http.NoBody && !c.bodyRead {
		c.w.Header().Set("Connection", "close")
	}
	p.Write(c.w)
	c.entry.metrics.problem(p.Code)
	c.span.SetStatus(codes.Error, p.Code)
	c.entry.options.Log.V(1).Info("request not answered by an endpoint", "method", c.r.Method, "path", c.r.URL.Path,
		"caller", c.caller, "class", c.class, "code", p.Code, "outcome", p.Outcome, "detail", p.Detail)
	c.finish(string(p.Outcome))
}

func (c *call) finish(outcome string) {
	took := time.Since(c.start)
	c.entry.metrics.observe(c.class, outcome, took)
	if c.span.IsRecording() {
		c.span.SetAttributes(attribute.String("outcome", outcome), attribute.String("class", string(c.class)))
	}
	if log := c.entry.options.Log.V(2); log.Enabled() {
		log.Info("request", "method", c.r.Method, "path", c.r.URL.Path, "caller", c.caller, "class", c.class,
			"outcome", outcome, "attempts", c.attempts.Load(), "took", took)
	}
}

// finishPanic counts an answer that was cut short and lets the server abort
// the connection.
func (c *call) finishPanic() {
	v := recover()
	if v == nil {
		return
	}
	c.entry.metrics.Aborted.Inc()
	c.span.SetStatus(codes.Error, "answer aborted")
	c.entry.options.Log.V(1).Info("answer aborted", "method", c.r.Method, "path", c.r.URL.Path, "caller", c.caller)
	panic(v)
}
