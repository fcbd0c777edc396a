package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/peridotlock/peridotlock/platform"
)

const (
	defaultAppends     = 20 // a second
	defaultQueued      = 8192
	defaultQueuedBytes = 16 << 20
	defaultAppendLimit = 5 * time.Second
	batchRecords       = 512
	batchBytes         = 512 << 10
	idleWait           = time.Minute
)

// WriterOptions adjusts a LogWriter; zero values stand for defaults.
type WriterOptions struct {
	// AppendsPerSecond is the process's budget of appends to the log.
	AppendsPerSecond float64
	// MaxQueued and MaxQueuedBytes bound the entries that wait or are written.
	MaxQueued      int
	MaxQueuedBytes int
	// AppendTimeout is how long one append may take before it is in doubt.
	AppendTimeout time.Duration
	// Logger gets one line for each event.
	Logger logr.Logger
}

// RefusedError says that an entry was not written and will not be.
type RefusedError struct {
	Stream     string
	Reason     string
	RetryAfter time.Duration // when to try again; 0 for at will
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("append to %s refused: %s", e.Stream, e.Reason)
}

// Unwrap returns platform.ErrUnavailable.
func (e *RefusedError) Unwrap() error { return platform.ErrUnavailable }

// LogWriter implements Writer on the platform's log. One append per stream is
// in flight; entries that come meanwhile share the next one, so that the batch
// window follows the log's latency.
//
// An append that is in doubt is resolved by reading the stream from the last
// offset that was its end before the append. Attempts that are not found are
// named in a void marker; whichever is first in the stream, attempt or marker,
// decides for all readers. An entry whose attempt is void is written again as a
// new attempt while its caller waits, and reported absent otherwise.
type LogWriter struct {
	log     platform.Log
	o       WriterOptions
	limiter *rate.Limiter
	wake    chan struct{}
	metrics writerMetrics

	mu      sync.Mutex // protects all below
	lanes   map[string]*lane
	queued  int
	bytes   int
	breaker breaker
	stopped bool
	starved time.Time // start of the present wait for the budget, or zero
}

// NewWriter returns a writer; it writes while Run runs.
func NewWriter(log platform.Log, o WriterOptions) *LogWriter {
	if o.AppendsPerSecond <= 0 {
		o.AppendsPerSecond = defaultAppends
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultQueued
	}
	if o.MaxQueuedBytes <= 0 {
		o.MaxQueuedBytes = defaultQueuedBytes
	}
	if o.AppendTimeout <= 0 {
		o.AppendTimeout = defaultAppendLimit
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	return &LogWriter{
		log:     log,
		o:       o,
		limiter: rate.NewLimiter(rate.Limit(o.AppendsPerSecond), burst(o.AppendsPerSecond)),
		wake:    make(chan struct{}, 1),
		metrics: newWriterMetrics(),
		lanes:   make(map[string]*lane),
	}
}

// burst lets a quiet writer append at once a few times.
func burst(perSecond float64) int { return max(2, int(perSecond/2)) }

// SetBudget changes the budget of appends a second.
func (w *LogWriter) SetBudget(perSecond float64) {
	w.limiter.SetLimit(rate.Limit(perSecond))
	w.limiter.SetBurst(burst(perSecond))
	w.signal()
}

// Append implements Writer. A second call for an entry that is still in
// progress waits for the same outcome.
func (w *LogWriter) Append(ctx context.Context, stream string, e Entry) (platform.Offset, error) {
	if err := checkEntry(e); err != nil {
		return 0, err
	}
	l, p, err := w.enqueue(stream, e)
	if err != nil {
		return 0, err
	}
	w.signal()
	select {
	case <-p.done:
		return p.offset, p.err
	case <-ctx.Done():
		return w.leave(ctx, l, p)
	}
}

// enqueue adds the entry or joins its earlier call.
func (w *LogWriter) enqueue(stream string, e Entry) (*lane, *pending, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.lane(stream)
	if p, ok := l.open[e.ID]; ok {
		p.waiters++
		return l, p, nil
	}
	if p, ok := l.recent.get(e.ID); ok {
		return l, p, nil
	}
	if err := w.admit(stream, e); err != nil {
		return nil, nil, err
	}
	p := newPending(e, time.Now())
	l.open[e.ID] = p
	l.push(p)
	w.queued++
	w.bytes += len(e.Data)
	w.metrics.queued.Inc()
	return l, p, nil
}

func (w *LogWriter) admit(stream string, e Entry) error {
	if w.stopped {
		return &RefusedError{Stream: stream, Reason: "writer is stopped"}
	}
	if wait := w.breaker.wait(time.Now()); wait > 0 {
		return &RefusedError{Stream: stream, Reason: "log is down", RetryAfter: wait}
	}
	if w.queued >= w.o.MaxQueued || w.bytes+len(e.Data) > w.o.MaxQueuedBytes {
		return &RefusedError{Stream: stream, Reason: "queue is full", RetryAfter: time.Second}
	}
	return nil
}

func (w *LogWriter) lane(stream string) *lane {
	l, ok := w.lanes[stream]
	if !ok {
		l = newLane(stream)
		w.lanes[stream] = l
	}
	return l
}

// leave ends the wait of a caller whose ctx ended. An entry that was never sent
// is taken back.
func (w *LogWriter) leave(ctx context.Context, l *lane, p *pending) (platform.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.isDone() {
		return p.offset, p.err
	}
	p.waiters--
	if p.queued && p.waiters == 0 {
		l.remove(p)
		w.finish(l, p, 0, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err()))
		return 0, p.err
	}
	return 0, fmt.Errorf("append %s to %s: %w: %w", p.entry.ID, l.name, platform.ErrInDoubt, ctx.Err())
}

// finish tells the outcome to all that wait; mu is held.
func (w *LogWriter) finish(l *lane, p *pending, offset platform.Offset, err error) {
	p.offset, p.err = offset, err
	p.queued = false
	delete(l.open, p.entry.ID)
	w.queued--
	w.bytes -= len(p.entry.Data)
	w.metrics.queued.Dec()
	if err == nil {
		l.recent.put(p)
	}
	close(p.done)
}

func (w *LogWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func isAbsent(err error) bool { return errors.Is(err, platform.ErrUnavailable) }
