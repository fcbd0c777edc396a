package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/entry/balance"
	"github.com/peridotlock/peridotlock/entry/pool"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/telemetry"
)

// attemptKind tells why an attempt is made.
type attemptKind string

const (
	attemptFirst attemptKind = "first"
	attemptRetry attemptKind = "retry" // after a failed one
	attemptHedge attemptKind = "hedge" // beside a slow one
)

const (
	silenceRatio  = 2 // of the learned tail latency
	minSilence    = 20 * time.Millisecond
	firstSilence  = time.Second          // before anything is learned
	returnMargin  = 2 * time.Millisecond // kept back from an endpoint's deadline
	leastDeadline = time.Millisecond
)

var errStillSilent = errors.New("silent again on fresh connections")

// attempt makes one exchange with the endpoint of slot and records the verdict
// on the endpoint. The caller releases the slot.
func (c *call) attempt(ctx context.Context, slot *balance.Slot, kind attemptKind) (*pool.Answer, error) {
	c.attempts.Add(1)
	ctx, span := c.entry.options.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	id := newAttemptID()
	x := c.exchange(ctx, id)
	x.Fresh = kind != attemptFirst
	x.OnSilence = func() { c.suspect(slot) }
	start := time.Now()
	a, err := slot.Endpoint.Pool.Do(ctx, x)
	c.judge(ctx, slot, a, err, time.Since(start))
	if span.IsRecording() {
		span.SetAttributes(attribute.String("endpoint", slot.Endpoint.ID), attribute.String("kind", string(kind)))
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
	}
	return a, err
}

// exchange builds the attempt. Its request has no way to be sent twice.
func (c *call) exchange(ctx context.Context, id string) *pool.Exchange {
	x := &pool.Exchange{
		Request:     c.outbound(ctx, id),
		RequestID:   id,
		IDHeader:    AttemptHeader,
		Deadline:    c.deadline,
		Final:       c.deadline,
		Silence:     c.silence(),
		Patient:     true,
		HeaderBytes: c.policy.MaxHeaderBytes,
		BufferBytes: c.policy.BufferBytes,
	}
	if c.class == fleet.Watch {
		x.Final = time.Time{}
		x.BufferBytes = 0
	}
	return x
}

// silence is the time to the first byte of an answer after which the
// connection is suspected.
func (c *call) silence() time.Duration {
	tail := c.service.latency(c.class).Tail()
	if tail == 0 {
		return firstSilence
	}
	return max(silenceRatio*tail, minSilence)
}

func (c *call) outbound(ctx context.Context, id string) *http.Request {
	header := make(http.Header, len(c.r.Header)+4)
	answer.CopyEndToEnd(header, c.r.Header)
	telemetry.Propagator.Inject(ctx, propagation.HeaderCarrier(header))
	header[AttemptHeader] = []string{id}
	if c.class != fleet.Watch {
		left := max(c.remaining()-returnMargin, leastDeadline)
		header[DeadlineHeader] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	u := &url.URL{Scheme: "http", Host: c.r.Host, Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery}
	out := &http.Request{Method: c.r.Method, URL: u, Host: c.r.Host, Header: header, ContentLength: int64(len(c.body)), Body: http.NoBody}
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// suspect has a fresh connection decide whether the endpoint or only the
// connection is silent. In the latter case the slot is freed, since the
// endpoint stays in use.
func (c *call) suspect(slot *balance.Slot) {
	e := slot.Endpoint
	e.Pool.Probe(func(err error) {
		if err == nil && !e.Health.Renew() {
			err = errStillSilent
		}
		if err != nil {
			c.fail(slot, err)
			return
		}
		slot.ReleaseEarly()
		c.entry.metrics.Renewals.Inc()
		c.entry.options.Log.V(1).Info("connections renewed after a silence", "endpoint", e.ID, "address", e.Address)
	})
}

// judge records what an attempt tells of its endpoint.
func (c *call) judge(ctx context.Context, slot *balance.Slot, a *pool.Answer, err error, took time.Duration) {
	now := time.Now()
	e := slot.Endpoint
	if slot.Remote {
		c.chargeLink(a)
	}
	switch {
	case err != nil && !c.blames(ctx, err, took):
		e.Health.EndProbe()
	case err != nil:
		c.fail(slot, err)
	case a.Status == http.StatusServiceUnavailable && a.Close:
		e.Health.Leave(now)
		e.Health.EndProbe()
		c.entry.options.Log.Info("endpoint leaves by its own answer", "endpoint", e.ID)
	case isFailing(a.Status):
		c.fail(slot, nil)
	default:
		c.credit(e, took, now)
	}
}

// blames reports whether a failed attempt tells against the endpoint: not when
// it was dropped, had little time, or its connection was retired.
func (c *call) blames(ctx context.Context, err error, took time.Duration) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	var e *pool.Error
	if !errors.As(err, &e) || (e.Fault != pool.FaultSilent && e.Fault != pool.FaultCanceled) {
		return true
	}
	return !e.Retired && took > c.silence()
}

// credit records a good answer. Watches teach no latency.
func (c *call) credit(e *balance.Endpoint, took time.Duration, now time.Time) {
	if c.service.set.Succeed(e) {
		c.entry.options.Log.Info("endpoint restored", "endpoint", e.ID)
	}
	if c.class == fleet.Watch {
		return
	}
	c.service.set.Learn(e, took, now)
	c.service.latency(c.class).Observe(took)
	if c.service.queue.Waiting() == 0 && c.service.set.EjectSlow(e, now) {
		c.ejected(e, "slow")
	}
}

// isFailing reports whether a status tells of a fault of the endpoint.
func isFailing(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (c *call) fail(slot *balance.Slot, err error) {
	e, now := slot.Endpoint, time.Now()
	var known *pool.Error
	switch {
	case errors.As(err, &known) && known.Fault == pool.FaultFull:
		e.Health.EndProbe()
	case errors.As(err, &known) && known.Fault == pool.FaultConnect:
		if c.service.set.FailConnect(e, now) {
			c.ejected(e, "unreachable")
		}
	case c.service.set.Fail(e, now):
		c.ejected(e, "failing")
	}
	if err != nil {
		c.entry.options.Log.V(1).Info("attempt failed", "endpoint", slot.Endpoint.ID, "class", c.class, "error", err.Error())
	}
}

func (c *call) ejected(e *balance.Endpoint, reason string) {
	c.entry.metrics.Ejections.Inc()
	c.entry.options.Log.Info("endpoint ejected", "endpoint", e.ID, "reason", reason)
}

// chargeLink adds what was sent beyond the bytes taken in advance.
func (c *call) chargeLink(a *pool.Answer) {
	n := int64(len(c.body))
	if a != nil {
		n += max(a.Length, int64(len(a.Body)))
	}
	expected := c.service.expectedBytes()
	c.service.observeBytes(n)
	c.entry.metrics.LinkBytes.Add(int(n))
	c.entry.link.Charge(max(0, n-expected), c.policy.LinkBytes, time.Now())
}
