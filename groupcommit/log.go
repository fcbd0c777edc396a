package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
	answerReserve    = 100 * time.Millisecond // of a call's time, for the committer's answer
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
	newestOf    string        // committer of the newest append that was observed
	newest      int64         // number of that append
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
	const encoding = 32 // bytes of a record in a request, besides its own
	sum := 0
	for _, r := range records {
		sum += r.Size() + encoding
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
	answered := l.Watch()
	offset, err := l.KeyedLog.AppendKeyed(ctx, l.opts.Partition, records, provider.Condition{})
	answered(err == nil)
	return offset, err
}

// storeAsCommitter stores records of this VM or others.
func (l *Log) storeAsCommitter(ctx context.Context, records []provider.KeyedRecord) []Result {
	list := make([]Result, 0, len(records))
	for _, err := range l.opts.Appender.Store(ctx, records) {
		list = append(list, resultOf(err))
	}
	took, number, _ := l.opts.Appender.Took()
	l.observeOf(l.opts.Self, took, number, list)
	return list
}

// Watch watches an append of this VM to the shared partition, until the returned function is called
// with whether the append was answered. If it is slow, all VMs are notified.
func (l *Log) Watch() (ended func(answered bool)) {
	sent := boottime.Now()
	late := time.AfterFunc(slowAppend, func() { l.announce(slowAppend, false) })
	return func(answered bool) {
		late.Stop()
		if !answered {
			return
		}
		took := boottime.Now() - sent
		if took >= slowAppend {
			l.announce(took, true)
			return
		}
		l.observe(took, true)
	}
}

// handleNotice notes what another VM says of the log.
func (l *Log) handleNotice(args NoticeArgs) {
	l.mu.Lock()
	changed := l.route.handleNotice(args.From, args.Answered, boottime.Now())
	l.mu.Unlock()
	if changed {
		l.logChange(true, time.Duration(args.AppendMs)*time.Millisecond)
	}
}

// announce notifies all VMs of a slow append, once in announceInterval, and once more when one was
// answered for the first time.
func (l *Log) announce(took time.Duration, answered bool) {
	defer crash.End(nil)
	l.mu.Lock()
	first := answered && !l.route.confirmed
	l.mu.Unlock()
	l.observe(took, answered)
	now := boottime.Now()
	l.mu.Lock()
	due := first || l.announcedAt == 0 || now-l.announcedAt >= announceInterval
	if due {
		l.announcedAt = now
	}
	peers := l.route.ranked
	l.mu.Unlock()
	if !due || len(peers) < MinVMs {
		return
	}
	notice := NoticeArgs{From: l.opts.Self, AppendMs: took.Milliseconds(), Answered: answered}
	for _, p := range peers {
		if p.Name == l.opts.Self {
			continue
		}
		crash.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			// A VM that is not reached finds out by an append of its own.
			_ = l.opts.Pool.Client(p.Address).Call(ctx, ServiceName+".Notice", notice, &NoticeReply{})
		}, "subject", "notice", "key", p.Name)
	}
}

// ask lets a committer store records.
func (l *Log) ask(ctx context.Context, p Peer, records []provider.KeyedRecord) error {
	args := StoreArgs{Records: records, Timeout: maxTimeout}
	if deadline, ok := ctx.Deadline(); ok {
		args.Timeout = time.Until(deadline) - answerReserve
	}
	if args.Timeout <= 0 {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, ErrNotStored)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	crash.Go(func() { l.watchCommitter(ctx, p, cancel) }, "subject", "committer", "key", p.Name)
	var reply StoreReply
	if err := l.opts.Pool.Client(p.Address).Call(ctx, ServiceName+".Store", args, &reply); err != nil {
		if !errors.Is(context.Cause(ctx), context.Canceled) { // else another attempt was answered
			l.handleFailure(p, err.Error())
		}
		if errors.Is(err, wire.ErrNotSent) {
			return fmt.Errorf("%w: %s: %w", errNotReached, p.Name, err)
		}
		return fmt.Errorf("%w: committer %s: %w", provider.ErrInDoubt, p.Name, err)
	}
	if reply.Silent >= maxSilent && !slices.Contains(reply.Results, Stored) {
		l.handleFailure(p, "no answer from the log")
		return errorOf(reply.Results, len(records))
	}
	l.mu.Lock()
	l.route.handleAnswer(p.Name)
	l.mu.Unlock()
	l.observeOf(p.Name, reply.Took, reply.Number, reply.Results)
	return errorOf(reply.Results, len(records))
}

// RepeatDelay returns the least time after which an append without an answer is repeated, 0 in calm.
// A repeat takes as much of a slow log's time as the append itself, and all that wait there would be
// repeated.
func (l *Log) RepeatDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.route.confirmed || len(l.route.ranked) < MinVMs {
		return 0
	}
	return slowRepeatDelay
}

// errSilent means that a committer answers nothing at all.
var errSilent = errors.New("committer is silent")

// watchCommitter cancels a call to a committer that turns out to be silent.
func (l *Log) watchCommitter(ctx context.Context, p Peer, cancel context.CancelCauseFunc) {
	for pause.For(ctx, pingAfter) == nil {
		ping, stop := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
		err := l.opts.Pool.Client(p.Address).Call(ping, ServiceName+".Notice", NoticeArgs{}, &NoticeReply{})
		stop()
		if errors.Is(err, wire.ErrNotSent) || errors.Is(err, wire.ErrUnanswered) {
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

// observeOf notes the newest append of a committer, unless it is known or nothing was stored.
func (l *Log) observeOf(committer string, took time.Duration, number int64, list []Result) {
	l.mu.Lock()
	known := l.newestOf == committer && l.newest == number
	l.newestOf, l.newest = committer, number
	l.mu.Unlock()
	if !known && took > 0 && slices.Contains(list, Stored) {
		l.observe(took, true)
	}
}

// observe notes the duration of an append.
func (l *Log) observe(took time.Duration, answered bool) {
	l.mu.Lock()
	changed := l.route.observe(took, answered)
	slow := l.route.slow
	l.mu.Unlock()
	if changed {
		l.logChange(slow, took)
	}
}

func (l *Log) logChange(slow bool, took time.Duration) {
	l.mu.Lock()
	vms := len(l.route.ranked)
	l.mu.Unlock()
	if vms >= MinVMs {
		l.opts.Logger.Info("appends through a committer", "active", slow, "append_ms", took.Milliseconds())
	}
}
