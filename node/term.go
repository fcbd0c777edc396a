package node

import (
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/provider"
)

// subject names what a goroutine works on, for the log line of a panic. Key is that of the
// record, submission, executor or task.
type subject struct {
	kind   string
	key    string
	offset provider.Offset
}

func subjectOf(kind, key string) subject { return subject{kind, key, provider.UnknownOffset} }

func subjectOfRecord(kind string, r provider.KeyedRecord) subject {
	return subject{kind, r.Key, r.Offset}
}

func (s subject) keysAndValues() []any {
	if s.kind == "" {
		return nil
	}
	values := []any{"subject", s.kind}
	if s.key != "" {
		values = append(values, "key", s.key)
	}
	if s.offset != provider.UnknownOffset {
		values = append(values, "offset", s.offset)
	}
	return values
}

// activity is what a goroutine of a term does now.
type activity struct {
	subject
	// shared is set while the goroutine changes state that other cells or callers use, or
	// works in a client that they share.
	shared bool
}

// share runs f as an activity on shared state.
func (a *activity) share(f func()) {
	a.shared = true
	f()
	a.shared = false
}

// termPanic is a panic that ends a term.
type termPanic struct {
	crash.Panic
	subject
}

// protect runs f and returns its panic. If f was at work on shared state, the panic goes on
// and ends the process: that state may be half changed.
func (a *activity) protect(f func()) (ended *termPanic) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if a.shared {
			panic(v)
		}
		ended = &termPanic{crash.Capture(v), a.subject}
	}()
	f()
	return nil
}

// follow runs a follower of the term in its own goroutine. The follower sets shared to false
// while it applies a record. A panic there ends the term.
func (o *owner) follow(kind string, run func(a *activity)) {
	crash.Go(func() {
		a := &activity{subject: subjectOf(kind, ""), shared: true}
		if p := a.protect(func() { run(a) }); p != nil {
			select {
			case o.failed <- p:
			default: // the term ends by another panic
			}
		}
	}, "cell", o.cell, "fence", o.fence, "subject", kind)
}

// logPanic logs and counts the end of a term by a panic.
func (o *owner) logPanic(p *termPanic, started time.Duration) {
	o.n.set.GetOrCreateCounter(fmt.Sprintf(`peridotlock_owner_panics_total{cell="%d"}`, o.cell)).Inc()
	values := []any{"cell", o.cell, "fence", o.fence, "term_ms", (boottime.Now() - started).Milliseconds(), "stack", p.Stack}
	o.n.log.Error(p, "owner ended by a panic", append(values, p.keysAndValues()...)...)
}

const (
	// minPanicBackoff is the time after a panic from which this VM claims the cell again.
	minPanicBackoff = 500 * time.Millisecond
	// maxPanicBackoff bounds the time until a mended record is taken up. It is below
	// leaseCap: terms that last long enough to renew leases keep the cell's tasks running.
	maxPanicBackoff = 4 * time.Second
	// panicBackoffReset is the time without a panic after which the next one is the first.
	panicBackoffReset = 30 * time.Second
)

// panicBackoff delays claims of a cell whose terms end by panics.
type panicBackoff struct {
	panics int           // in a row
	last   time.Duration // boot time of the last one
}

// record adds a panic and returns the time until the next claim.
func (b *panicBackoff) record(now time.Duration) time.Duration {
	if now-b.last > panicBackoffReset {
		b.panics = 0
	}
	b.panics++
	b.last = now
	return b.delay()
}

func (b *panicBackoff) delay() time.Duration {
	if b.panics == 0 {
		return 0
	}
	const maxDoublings = 8 // avoids an overflow
	return min(maxPanicBackoff, minPanicBackoff<<min(b.panics-1, maxDoublings))
}

// mayClaim reports whether the cell may be claimed now.
func (b *panicBackoff) mayClaim(now time.Duration) bool { return now-b.last >= b.delay() }
