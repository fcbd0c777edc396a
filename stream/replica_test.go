package stream

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/platform"
)

func TestDuplicateAfterSnapshot(t *testing.T) {
	inBubble(t, "A newcomer that starts from a snapshot ignores a duplicate of what it covers", WriterOptions{},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			log.keep = time.Minute
			_, err := w.Append(ctx, name, entry("a"))
			So(err, ShouldBeNil)
			first := log.all(name)[0]
			old, _ := follow(ctx, log)
			time.Sleep(2 * time.Minute)
			So(old.WriteSnapshot(ctx, w), ShouldBeNil)
			log.write(name, []platform.NewRecord{{ID: first.ID, Data: first.Data}})
			r, m := follow(ctx, log)
			So(r.WaitFor(ctx, 2), ShouldBeNil)
			r.Read(func() { So(m.applied, ShouldResemble, []string{"0:a"}) })
		})
}

func TestNewcomer(t *testing.T) {
	inBubble(t, "Given a stream of which the beginning is gone", WriterOptions{},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			log.keep = time.Minute
			old, _ := follow(ctx, log)
			_, err := w.Append(ctx, name, entry("a"))
			So(err, ShouldBeNil)
			time.Sleep(2 * time.Minute)

			r, m := follow(ctx, log)
			time.Sleep(10 * time.Second)
			ok, reason := r.Ready()
			So(ok, ShouldBeFalse)
			So(reason, ShouldContainSubstring, errNoSnapshot.Error())

			data, err := old.ExportSnapshot()
			So(err, ShouldBeNil)
			So(r.ImportSnapshot(data), ShouldBeNil)
			ok, _ = r.Ready()
			So(ok, ShouldBeTrue)
			r.Read(func() { So(m.applied, ShouldResemble, []string{"0:a"}) })
			So(r.ImportSnapshot([]byte("x")), ShouldNotBeNil)
		})
}

func TestLongStream(t *testing.T) {
	inBubble(t, "A newcomer to a long stream starts from a snapshot of several records rather than read it all", WriterOptions{},
		func(ctx context.Context, log *faultLog, w *LogWriter) {
			const held = 4000
			for i := range held {
				log.write(name, []platform.NewRecord{{ID: fmt.Sprintf("%0200d", i)}})
			}
			old, want := follow(ctx, log)
			So(old.WaitFor(ctx, held-1), ShouldBeNil)
			So(old.WriteSnapshot(ctx, w), ShouldBeNil)
			parts := len(log.all(name)) - held
			So(parts, ShouldBeGreaterThan, 1)
			log.write(name, []platform.NewRecord{{ID: "last"}})

			m := &listMachine{}
			r := NewReplica(log, name, m, ReplicaOptions{Batch: 100})
			go r.Run(ctx)
			<-r.Changed()
			So(r.Next(), ShouldEqual, held) // by the snapshot, in one step
			So(r.WaitFor(ctx, platform.Offset(held+parts)), ShouldBeNil)
			So(old.WaitFor(ctx, platform.Offset(held+parts)), ShouldBeNil)
			r.Read(func() { old.Read(func() { So(m.applied, ShouldResemble, want.applied) }) })
		})
}

func TestReadyAtEnd(t *testing.T) {
	inBubble(t, "A replica is ready and fresh only once it applied all that the stream held", WriterOptions{},
		func(ctx context.Context, log *faultLog, _ *LogWriter) {
			const held = 50
			for i := range held {
				log.write(name, []platform.NewRecord{{ID: fmt.Sprintf("e%d", i)}})
			}
			r := NewReplica(log, name, &listMachine{}, ReplicaOptions{Batch: 7})
			go r.Run(ctx)
			for r.Next() < held {
				ok, _ := r.Ready()
				So(ok, ShouldBeFalse)
				So(r.Age(time.Now()), ShouldBeGreaterThan, time.Hour)
				<-r.Changed()
			}
			ok, _ := r.Ready()
			So(ok, ShouldBeTrue)
		})
}

func TestAge(t *testing.T) {
	inBubble(t, "The age grows while the log is silent and is bounded while it answers", WriterOptions{},
		func(ctx context.Context, log *faultLog, _ *LogWriter) {
			log.outages = []outage{{10 * time.Second, 40 * time.Second}}
			r, _ := follow(ctx, log)
			time.Sleep(9 * time.Second)
			So(r.Age(time.Now()), ShouldBeLessThan, 2*time.Second)
			time.Sleep(29 * time.Second)
			So(r.Age(time.Now()), ShouldBeGreaterThan, 27*time.Second)
			time.Sleep(6 * time.Second)
			So(r.Age(time.Now()), ShouldBeLessThan, 2*time.Second)
		})
}

func TestAgeAtPeer(t *testing.T) {
	inBubble(t, "A replica that follows a peer stays fresh enough to start tasks, and no log is read for it", WriterOptions{},
		func(ctx context.Context, log *faultLog, _ *LogWriter) {
			const limit = 2 * time.Second // default age of a view that allows a start
			first, _ := follow(ctx, log)
			time.Sleep(time.Second)
			peer := SourceFunc(func(ctx context.Context, _ string, from platform.Offset, limit int, wait time.Duration) (Feed, error) {
				time.Sleep(2 * latency)
				return first.Serve(ctx, from, limit, wait)
			})
			var asked atomic.Int32
			second := NewReplica(log, name, &listMachine{}, ReplicaOptions{Peer: func() Source { asked.Add(1); return peer }})
			go second.Run(ctx)
			time.Sleep(5 * time.Second)
			var oldest time.Duration
			for range 400 {
				time.Sleep(50 * time.Millisecond)
				oldest = max(oldest, second.Age(time.Now()))
			}
			So(oldest, ShouldBeLessThan, limit)
			So(asked.Load(), ShouldBeLessThan, 40)
		})
}

func TestSnapshotDue(t *testing.T) {
	Convey("One node publishes within the interval, the others only in its place", t, func() {
		s := SnapshotState{Every: 10 * time.Minute, Since: 8 * time.Minute, Jitter: 0.99}
		So(SnapshotDue(s), ShouldBeTrue)
		s.Rank = 1
		So(SnapshotDue(s), ShouldBeFalse)
		s.Since = 9 * time.Minute
		So(SnapshotDue(s), ShouldBeTrue)
		s.Empty = true
		So(SnapshotDue(s), ShouldBeFalse)
		So(SnapshotDue(SnapshotState{Every: time.Minute, Since: -1, Running: time.Second}), ShouldBeFalse)
		So(SnapshotDue(SnapshotState{Every: time.Minute, Since: -1, Running: time.Minute}), ShouldBeTrue)
	})
}
