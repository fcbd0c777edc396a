package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/entry/balance"
	"github.com/peridotlock/peridotlock/entry/pool"
)

// watch opens a long-lived stream. A watch holds no slot; the number of watches has
// its own limit.
func (c *call) watch() *answer.Problem {
	if c.entry.draining.Load() {
		return unavailable("draining", "Entry is shutting down", "ask another entry", minRetryAfter)
	}
	if c.entry.watches.Add(1) > int64(c.policy.WatchLimit) {
		c.entry.watches.Add(-1)
		return unavailable("watch-limit", "Too many watches", strconv.Itoa(c.policy.WatchLimit)+" are open", minRetryAfter)
	}
	defer c.entry.watches.Add(-1)
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	resp, problem := c.openWatch(ctx)
	if problem != nil {
		return problem
	}
	if resp.Rest == nil {
		return c.deliver(resp)
	}
	defer resp.Rest.Close()
	drained := make(chan struct{})
	go c.cancelOnDrain(ctx, cancel, drained)
	c.streamWatch(resp, drained)
	return nil
}

// openWatch tries endpoints until one responds. A watch may be opened again at
// another endpoint because it has no side effects.
func (c *call) openWatch(ctx context.Context) (*pool.Response, *answer.Problem) {
	var avoid *balance.Endpoint
	var err error
	for range max(1, c.policy.MaxAttempts) {
		slot := c.service.set.Pick(balance.AcquireOptions{Now: time.Now(), Avoid: avoid})
		if slot == nil {
			return nil, unavailable("no-endpoint", "Service has no live endpoint", c.service.path, minRetryAfter)
		}
		var resp *pool.Response
		resp, err = c.attempt(ctx, slot, attemptFirst)
		if err == nil {
			return resp, nil
		}
		avoid = slot.Endpoint
	}
	return nil, c.failureProblem(err)
}

// cancelOnDrain cancels the stream from the endpoint when the entry ends its watches.
func (c *call) cancelOnDrain(ctx context.Context, cancel func(), drained chan struct{}) {
	select {
	case <-c.entry.endWatches:
		close(drained)
		cancel()
	case <-ctx.Done():
	}
}

// streamWatch forwards each chunk immediately. When the entry ends its watches, the
// stream ends with a Retry-After trailer. When the endpoint's stream fails, the
// caller's connection is aborted.
func (c *call) streamWatch(resp *pool.Response, drained chan struct{}) {
	resp.Length = -1
	c.w.Header().Set("Trailer", "Retry-After")
	c.writeHeader(resp)
	control := http.NewResponseController(c.w)
	defer control.SetWriteDeadline(time.Time{})
	control.Flush()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := resp.Rest.Read(buffer[:])
		if n > 0 {
			c.writeChunk(control, buffer[:n])
			control.Flush()
		}
		if err == nil {
			continue
		}
		select {
		case <-drained:
			c.w.Header().Set("Retry-After", strconv.Itoa(answer.RetryAfterSeconds(minRetryAfter, 0)))
			return
		default:
		}
		if err == io.EOF {
			return
		}
		panic(http.ErrAbortHandler)
	}
}
