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

// watch opens a long-lived stream. It holds no slot and has its own limit.
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
	a, problem := c.openWatch(ctx)
	if problem != nil {
		return problem
	}
	if a.Rest == nil {
		return c.deliver(a)
	}
	defer a.Rest.Close()
	drained := make(chan struct{})
	go c.cancelOnDrain(ctx, cancel, drained)
	c.streamWatch(a, drained)
	return nil
}

// openWatch tries endpoints until one answers. A watch may be opened again
// elsewhere because it changes nothing.
func (c *call) openWatch(ctx context.Context) (*pool.Response, *answer.Problem) {
	var avoid *balance.Endpoint
	var err error
	for range max(1, c.policy.MaxAttempts) {
		slot := c.service.set.Pick(balance.AcquireOptions{Now: time.Now(), Avoid: avoid})
		if slot == nil {
			return nil, unavailable("no-endpoint", "Service has no live endpoint", c.service.path, minRetryAfter)
		}
		var a *pool.Response
		a, err = c.attempt(ctx, slot, attemptFirst)
		if err == nil {
			return a, nil
		}
		avoid = slot.Endpoint
	}
	return nil, c.failureProblem(err)
}

// cancelOnDrain ends the stream from the endpoint when the entry drains.
func (c *call) cancelOnDrain(ctx context.Context, cancel func(), drained chan struct{}) {
	select {
	case <-c.entry.endWatches:
		close(drained)
		cancel()
	case <-ctx.Done():
	}
}

// streamWatch passes on each piece at once. At a drain the streamWatch ends with a
// Retry-After trailer; when the endpoint cuts it, the connection is aborted.
func (c *call) streamWatch(a *pool.Response, drained chan struct{}) {
	a.Length = -1
	c.w.Header().Set("Trailer", "Retry-After")
	c.writeHeader(a)
	control := http.NewResponseController(c.w)
	defer control.SetWriteDeadline(time.Time{})
	control.Flush()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := a.Rest.Read(buffer[:])
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
