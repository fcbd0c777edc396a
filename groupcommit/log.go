package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/internal/pause"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/wire"
)

// maxSharedBytes is the size of an append from which it goes to the log directly: appends are shared
// for their number, and a record that the log may reject must not be shared.
const maxSharedBytes = 64 << 10

// MaxRequestBytes bounds the size of a request to a committer.
const MaxRequestBytes = maxSharedBytes + 16<<10

const (
	announceInterval = time.Second            // between two announcements of a slow log
	noticeTimeout    = 500 * time.Millisecond // of one notice
	// slowRepeatDelay is RepeatDelay while the log is slow. Two attempts fit a caller's time.
	slowRepeatDelay = 1500 * time.Millisecond
)

// Options configures a Log.
type Options struct {
	Log       provider.KeyedLog
	Partition provider.Partition // whose appends are shared
	Self      string             // name of this VM
	Appender  Appender           // of this VM, for when it is the committer itself
	Pool      *wire.Pool
	Logger    logr.Logger
	Metrics   *metrics.Set
}

// Log is a keyed log whose unconditional appends to one partition go through a committer while the
// log is slow. It is safe for concurrent use.
type Log struct {
	provider.KeyedLog
	opts           Options
	direct, shared *metrics.Counter
	failed         *metrics.Counter

	mu          sync.Mutex // protects the rest
	route       route
	announcedAt time.Duration // boot time of the newest announcement of a slow log; 0 for none
}

// NewLog returns a Log that knows no other VMs.
func NewLog(opts Options) *Log {
	l := &Log{
		KeyedLog: opts.Log, opts: opts, route: route{self: opts.Self},
		direct: opts.Metrics.NewCounter(`peridotlock_group_commit_appends_total{path="direct"}`),
		shared: opts.Metrics.NewCounter(`peridotlock_group_commit_appends_total{path="committer"}`),
		failed: opts.Metrics.NewCounter("peridotlock_group_commit_failures_total"),
	}
	opts.Metrics.NewGauge("peridotlock_group_commit_active", func() float64 {
		if l.IsActive() {
			return 1
		}
		return 0
	})
	return l
}

// IsActive reports whether appends go through a committer now.
func (l *Log) IsActive() bool {
	_, active := l.committer()
	return active
}

// SetPeers replaces the known VMs, this one included.
func (l *Log) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.route.setPeers(peers)
}

// AppendKeyed implements provider.KeyedLog.
func (l *Log) AppendKeyed(ctx context.Context, p provider.Partition, records []provider.KeyedRecord, c provider.Condition) (provider.Offset, error) {
	if p != l.opts.Partition || c != (provider.Condition{}) || size(records) > maxSharedBytes {
		return l.KeyedLog.AppendKeyed(ctx, p, records, c)
	}
	for range maxTried {
		committer, ok := l.committer()
		if !ok {
			break
		}
		l.shared.Inc()
		if committer.Name == l.opts.Self {
			return provider.UnknownOffset, errorOf(l.storeAsCommitter(ctx, records), len(records))
		}
		if err := l.ask(ctx, committer, records); !errors.Is(err, errNotReached) {
			return provider.UnknownOffset, err
		}
	}
	return l.append(ctx, records)
}

// errNotReached means that a committer has not received the records.
var errNotReached = errors.New("committer not reached")

func size(records []provider.KeyedRecord) int {
	sum := 0
	for _, r := range records {
		sum += r.Size()
	}
	return sum
}

func (l *Log) committer() (Peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.route.committer(boottime.Now())
}

// append sends an append of this VM to the log. The log counts as slow as soon as the answer is
// late, so that a repeat of the append is shared.
func (l *Log) append(ctx context.Context, records []provider.KeyedRecord) (provider.Offset, error) {
	l.direct.Inc()
	late := time.AfterFunc(slowAppend, func() { l.observe(slowAppend) })
	defer late.Stop()
	sent := boottime.Now()
	offset, err := l.KeyedLog.AppendKeyed(ctx, l.opts.Partition, records, provider.Condition{})
	if err == nil {
		l.observe(boottime.Now() - sent)
	}
	return offset, err
}

// storeAsCommitter stores records of this VM or others. If that is slow it tells all VMs.
func (l *Log) storeAsCommitter(ctx context.Context, records []provider.KeyedRecord) []Result {
	late := time.AfterFunc(slowAppend, l.announce)
	defer late.Stop()
	list := make([]Result, 0, len(records))
	for _, err := range l.opts.Appender.Store(ctx, records) {
		list = append(list, resultOf(err))
	}
	l.observe(l.opts.Appender.Took())
	return list
}

// Watch watches an append of this VM to the shared partition that does not go through the Log, until
// stop is called. If it is slow, all VMs are told: owners append all the time.
func (l *Log) Watch() (stop func() bool) { return time.AfterFunc(slowAppend, l.announce).Stop }

// announce tells all VMs that the log is slow, once in announceInterval.
func (l *Log) announce() {
	defer crash.End(nil)
	l.observe(slowAppend)
	now := boottime.Now()
	l.mu.Lock()
	due := l.announcedAt == 0 || now-l.announcedAt >= announceInterval
	if due {
		l.announcedAt = now
	}
	peers := l.route.ranked
	l.mu.Unlock()
	if !due || len(peers) < MinVMs {
		return
	}
	for _, p := range peers {
		if p.Name == l.opts.Self {
			continue
		}
		crash.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			// A VM that can't be told finds out by an append of its own.
			_ = l.opts.Pool.Client(p.Address).Call(ctx, ServiceName+".Notice", NoticeArgs{AppendMs: slowAppend.Milliseconds()}, &NoticeReply{})
		}, "subject", "notice", "key", p.Name)
	}
}

// ask lets a committer store records.
func (l *Log) ask(ctx context.Context, p Peer, records []provider.KeyedRecord) error {
	args := StoreArgs{Records: records, Timeout: maxTimeout}
	if deadline, ok := ctx.Deadline(); ok {
		args.Timeout = time.Until(deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	crash.Go(func() { l.watchCommitter(ctx, p, cancel) }, "subject", "committer", "key", p.Name)
	var reply StoreReply
	if err := l.opts.Pool.Client(p.Address).Call(ctx, ServiceName+".Store", args, &reply); err != nil {
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent) {
			l.handleFailure(p, err.Error())
		}
		if errors.Is(err, wire.ErrNotSent) {
			return fmt.Errorf("%w: %s: %w", errNotReached, p.Name, err)
		}
		return fmt.Errorf("%w: committer %s: %w", provider.ErrInDoubt, p.Name, err)
	}
	l.mu.Lock()
	l.route.handleAnswer(p.Name)
	l.mu.Unlock()
	l.observe(reply.Took)
	return errorOf(reply.Results, len(records))
}

// RepeatDelay returns the least time after which an append without an answer is repeated, 0 in calm.
// A repeat takes as much of a slow log's time as the append itself, and all that wait there would be
// repeated.
func (l *Log) RepeatDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.route.slow || len(l.route.ranked) < MinVMs {
		return 0
	}
	return slowRepeatDelay
}

// errSilent means that a committer answers nothing at all.
var errSilent = errors.New("committer is silent")

// watchCommitter cancels a call to a committer that turns out to be silent.
func (l *Log) watchCommitter(ctx context.Context, p Peer, cancel context.CancelCauseFunc) {
	for pause.For(ctx, pingAfter) == nil {
		ping, stop := context.WithTimeout(ctx, pingTimeout)
		err := l.opts.Pool.Client(p.Address).Call(ping, ServiceName+".Notice", NoticeArgs{}, &NoticeReply{})
		stop()
		if err != nil && ctx.Err() == nil {
			cancel(errSilent)
		}
	}
}

func (l *Log) handleFailure(p Peer, reason string) {
	l.failed.Inc()
	l.mu.Lock()
	l.route.handleFailure(p.Name, boottime.Now())
	l.mu.Unlock()
	l.opts.Logger.Info("committer failed", "committer", p.Name, "reason", reason)
}

// observe notes the duration of an append, 0 if it is not known.
func (l *Log) observe(took time.Duration) {
	if took <= 0 {
		return
	}
	l.mu.Lock()
	changed := l.route.observe(took)
	slow := l.route.slow
	l.mu.Unlock()
	if changed {
		l.opts.Logger.Info("appends through a committer", "active", slow, "append_ms", took.Milliseconds())
	}
}
