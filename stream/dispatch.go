package stream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// Run writes entries until ctx ends; what is then still queued is refused.
func (w *LogWriter) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	defer w.stop()
	for ctx.Err() == nil {
		l, batch, wait := w.next(time.Now())
		if l != nil {
			running.Go(func() { w.commit(ctx, l, batch) })
			continue
		}
		w.idle(ctx, wait)
	}
	return nil
}

func (w *LogWriter) idle(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}

// stop refuses what is queued and all that comes.
func (w *LogWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.refuseQueued("writer is stopped", 0)
}

// refuseQueued ends all entries that are certainly absent; mu is held.
func (w *LogWriter) refuseQueued(reason string, retryAfter time.Duration) {
	for _, l := range w.lanes {
		for _, p := range l.takeAll() {
			w.finish(l, p, 0, &RefusedError{Stream: l.name, Reason: reason, RetryAfter: retryAfter})
		}
	}
}

// next returns a lane with a batch to append, or how long to wait for one.
func (w *LogWriter) next(now time.Time) (*lane, []*pending, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if wait := w.breaker.wait(now); wait > 0 {
		w.countStarved(now)
		return nil, nil, wait
	}
	l, wait := w.choose(now)
	if l == nil {
		w.countStarved(now)
		return nil, nil, wait
	}
	if wait := w.budget(now, l.head().entry.Priority); wait > 0 {
		if w.starved.IsZero() {
			w.starved = now
		}
		return nil, nil, wait
	}
	w.countStarved(now)
	l.busy = true
	return l, l.take(), 0
}

// countStarved ends a wait for the budget; mu is held.
func (w *LogWriter) countStarved(now time.Time) {
	if w.starved.IsZero() {
		return
	}
	w.metrics.budgetWait.Add(now.Sub(w.starved).Seconds())
	w.starved = time.Time{}
}

// choose returns the idle lane with the most urgent entry, the oldest first.
func (w *LogWriter) choose(now time.Time) (*lane, time.Duration) {
	var best *lane
	wait := idleWait
	for _, l := range w.lanes {
		if l.busy || l.head() == nil {
			continue
		}
		if d := l.after.Sub(now); d > 0 {
			wait = min(wait, d)
			continue
		}
		if best == nil || isBefore(l.head(), best.head()) {
			best = l
		}
	}
	return best, wait
}

func isBefore(a, b *pending) bool {
	if a.entry.Priority != b.entry.Priority {
		return a.entry.Priority < b.entry.Priority
	}
	return a.since.Before(b.since)
}

// budget takes one append from the budget, or returns how long to wait for it.
// Background entries leave half of the burst to the others.
func (w *LogWriter) budget(now time.Time, p Priority) time.Duration {
	need := 1.0
	if p >= Background {
		need += float64(w.limiter.Burst()) / 2
	}
	missing := need - w.limiter.TokensAt(now)
	if missing > 0 {
		const grain = time.Millisecond // keeps rounding from waiting for no time
		return time.Duration(missing/float64(w.limiter.Limit())*float64(time.Second)) + grain
	}
	w.limiter.AllowN(now, 1)
	return 0
}

// commit appends a batch and finds out what became of it.
func (w *LogWriter) commit(ctx context.Context, l *lane, batch []*pending) {
	defer w.signal()
	if err := w.locate(ctx, l); err != nil {
		w.putBack(l, batch, err)
		return
	}
	first, err := w.append(ctx, l.name, records(batch))
	switch {
	case err == nil:
		w.succeed(l, batch, first)
	case isAbsent(err) && !errors.Is(err, platform.ErrInDoubt):
		w.putBack(l, batch, err)
	default:
		w.o.Logger.Info("append in doubt", "stream", l.name, "records", len(batch), "error", err)
		w.resolve(ctx, l, batch)
	}
}

// locate learns the end of a stream before the first append to it.
func (w *LogWriter) locate(ctx context.Context, l *lane) error {
	if l.floor >= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.o.AppendTimeout)
	defer cancel()
	batch, err := w.log.Read(ctx, l.name, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		return err
	}
	l.floor = batch.End
	return nil
}

// append writes records. An append under way is not cut off when Run ends, since
// that would only put it in doubt.
func (w *LogWriter) append(ctx context.Context, stream string, rs []platform.NewRecord) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.o.AppendTimeout)
	defer cancel()
	w.metrics.count(rs)
	return w.log.Append(ctx, stream, rs)
}

func records(batch []*pending) []platform.NewRecord {
	out := make([]platform.NewRecord, len(batch))
	for i, p := range batch {
		out[i] = platform.NewRecord{ID: p.record, Data: p.entry.Data}
	}
	return out
}

func (w *LogWriter) succeed(l *lane, batch []*pending, first platform.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.succeedBreaker()
	l.floor = max(l.floor, first+platform.Offset(len(batch)))
	l.fails = 0
	l.busy = false
	for i, p := range batch {
		w.finish(l, p, first+platform.Offset(i), nil)
	}
}

// putBack queues a batch again that was certainly not taken. When the breaker
// opens, all that is queued is refused instead.
func (w *LogWriter) putBack(l *lane, batch []*pending, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	l.pushFront(w.wanted(l, batch))
	l.after = now.Add(backoffAfter(l.fails, rand.Float64()))
	l.fails++
	l.busy = false
	w.failed(now, cause)
}

// succeedBreaker notes that the log answered; mu is held.
func (w *LogWriter) succeedBreaker() {
	w.breaker.succeed()
	w.metrics.breakerOpen.Set(0)
}

// failed counts a failure of the log; mu is held.
func (w *LogWriter) failed(now time.Time, cause error) {
	if w.breaker.fail(now, rand.Float64()) {
		wait := w.breaker.wait(now)
		w.metrics.breakerOpen.Set(1)
		w.o.Logger.Info("log is down", "retry_after", wait, "error", cause)
		w.refuseQueued("log is down: "+cause.Error(), wait)
	}
	if w.stopped {
		w.refuseQueued("writer is stopped", 0)
	}
}

// wanted ends the entries of a batch that is certainly absent and for which
// nobody waits any more, and returns the others; mu is held.
func (w *LogWriter) wanted(l *lane, batch []*pending) []*pending {
	var out []*pending
	for _, p := range batch {
		if p.waiters > 0 {
			out = append(out, p)
			continue
		}
		w.finish(l, p, 0, &RefusedError{Stream: l.name, Reason: "nobody waits for it"})
	}
	return out
}
