package stream

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/platform"
)

// inBubble runs fn in virtual time with a log and a running writer.
func inBubble(t *testing.T, title string, o WriterOptions, fn func(ctx context.Context, log *faultLog, w *LogWriter)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(title, t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			log := newFaultLog()
			w := NewWriter(log, o)
			Reset(func() {
				cancel()
				time.Sleep(10 * time.Second) // lets all goroutines of the bubble end
			})
			go w.Run(ctx)
			fn(ctx, log, w)
		})
	})
}

func follow(ctx context.Context, log platform.Log) (*Replica, *listMachine) {
	m := &listMachine{}
	r := NewReplica(log, name, m, ReplicaOptions{})
	go r.Run(ctx)
	return r, m
}

func entry(id string) Entry { return Entry{ID: id, Data: []byte(id)} }

func TestLateRecordOfAbsentEntry(t *testing.T) {
	inBubble(t, "An entry that was reported absent stays absent when its record arrives late", WriterOptions{},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			log.plan = []fault{none, late, none, none, none, refused, refused, refused, refused}
			_, err := w.Append(ctx, name, entry("a"))
			So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)
			time.Sleep(2 * lateBy)
			r, m := follow(ctx, log)
			So(r.WaitFor(ctx, 1), ShouldBeNil)
			r.Read(func() { So(m.applied, ShouldBeEmpty) })
			So(log.all(name), ShouldHaveLength, 2)
		})
}

func TestLostAnswer(t *testing.T) {
	inBubble(t, "An append whose answer was lost is found by reading and is not sent again", WriterOptions{},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			log.plan = []fault{none, lostAnswer}
			before := w.metrics.found.Get()
			offset, err := w.Append(ctx, name, entry("a"))
			So(err, ShouldBeNil)
			So(offset, ShouldEqual, 0)
			So(w.metrics.found.Get()-before, ShouldEqual, 1)
			So(log.all(name), ShouldHaveLength, 1)
		})
}

func TestShutdown(t *testing.T) {
	inBubble(t, "An append under way when the writer stops gets its outcome, and what is queued is refused", WriterOptions{},
		func(ctx context.Context, log *faultLog, _ *LogWriter) {
			running, stop := context.WithCancel(ctx)
			w := NewWriter(log, WriterOptions{})
			go w.Run(running)
			outcomes := make(chan error, 2)
			appendLater := func(id string) {
				_, err := w.Append(ctx, name, entry(id))
				outcomes <- err
			}
			go appendLater("a")
			time.Sleep(3 * latency / 2) // located, append under way
			go appendLater("b")
			synctest.Wait()
			stop()
			first, second := <-outcomes, <-outcomes
			So(errors.Is(first, platform.ErrUnavailable), ShouldBeTrue)
			So(second, ShouldBeNil)
			So(log.all(name), ShouldHaveLength, 1)
		})
}

func TestBudget(t *testing.T) {
	inBubble(t, "Given a budget of 10 appends a second", WriterOptions{AppendsPerSecond: 10},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			const streams, perStream = 20, 50
			start := time.Now()
			waited := w.metrics.budgetWait.Get()
			done := make(chan time.Duration, 2*streams*perStream)
			urgent := make(chan time.Duration, 1)
			for i := range streams * perStream {
				stream := fmt.Sprintf("%s%d", name, i%streams)
				e := Entry{ID: fmt.Sprintf("e%d", i), Priority: Background}
				go func() {
					w.Append(ctx, stream, e)
					done <- time.Since(start)
				}()
			}
			synctest.Wait()
			go func() {
				w.Append(ctx, "urgent", Entry{ID: "u", Priority: Urgent})
				urgent <- time.Since(start)
			}()
			So(<-urgent, ShouldBeLessThan, 5*latency)
			var last time.Duration
			for range streams * perStream {
				last = max(last, <-done)
			}
			So(log.appends, ShouldBeLessThanOrEqualTo, 2*streams+1)
			So(last, ShouldBeGreaterThan, time.Second)
			So(float64(log.appends), ShouldBeLessThanOrEqualTo, 6+10*last.Seconds())
			So(w.metrics.budgetWait.Get()-waited, ShouldBeBetween, 1, last.Seconds())
		})
}

func TestRefusal(t *testing.T) {
	inBubble(t, "While the log is down", WriterOptions{MaxQueued: 2},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			log.outages = []outage{{0, time.Minute}}
			_, err := w.Append(ctx, name, entry("a"))
			So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)

			start := time.Now()
			_, err = w.Append(ctx, name, entry("b"))
			var refused *RefusedError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.RetryAfter, ShouldBeGreaterThan, 0)
			So(w.metrics.breakerOpen.Get(), ShouldEqual, 1)
			So(time.Since(start), ShouldEqual, 0)

			time.Sleep(time.Minute + breakerMax)
			_, err = w.Append(ctx, name, entry("a"))
			So(err, ShouldBeNil)
			So(w.metrics.breakerOpen.Get(), ShouldEqual, 0)
			So(log.all(name), ShouldHaveLength, 1)
		})
}

func TestQueueBound(t *testing.T) {
	inBubble(t, "A full queue refuses at once and an abandoned entry is never written", WriterOptions{MaxQueued: 2, AppendsPerSecond: 0.1},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			for i := range 2 { // the burst of the budget
				_, err := w.Append(ctx, name, entry(fmt.Sprintf("x%d", i)))
				So(err, ShouldBeNil)
			}
			short, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			errs := make(chan error, 2)
			for i := range 2 {
				go func() {
					_, err := w.Append(short, name, entry(fmt.Sprintf("y%d", i)))
					errs <- err
				}()
			}
			synctest.Wait()
			_, err := w.Append(ctx, name, entry("z"))
			So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)
			for range 2 {
				So(errors.Is(<-errs, platform.ErrUnavailable), ShouldBeTrue)
			}
			time.Sleep(time.Minute)
			So(log.all(name), ShouldHaveLength, 2)
		})
}
