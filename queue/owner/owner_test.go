package owner

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/queue"
)

func TestOwners(t *testing.T) {
	Convey("Given owners of a rack and a queue", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		b := newBench(ctx, time.Second)
		Reset(func() {
			cancel()
			b.pool.Close()
			b.work.Wait()
		})
		dropRack := b.own(ownership.Rack, rackPath, 1)
		dropQueue := b.own(ownership.Queue, team, 2)

		Convey("a job runs to its end, and the same key gives the same job", func() {
			st := b.submit(spec(10))
			b.reaches(st.ID, job.Finished)
			again, repeated, err := b.client.Submit(ctx, spec(10))
			So(err, ShouldBeNil)
			So(repeated, ShouldBeTrue)
			So(again.ID, ShouldEqual, st.ID)
			b.until(func() bool {
				var shown bytes.Buffer
				metrics.WritePrometheus(&shown, false)
				return strings.Contains(shown.String(), `peridotlock_tasks_ended_total{outcome="finished"}`) &&
					strings.Contains(shown.String(), `peridotlock_tasks_waiting{queue="zavod/certificates"} 0`)
			})
		})
		Convey("a job that no worker can hold is told so at once", func() {
			s := spec(1)
			s.Size.MemoryMB = 8192
			st := b.submit(s)
			So(st.State, ShouldEqual, job.Unschedulable)
			So(st.Tasks[0].Reason, ShouldContainSubstring, "lacks 0m/4096MB/0acc")
		})
		Convey("with the log out nothing starts, and afterwards it does", func() {
			st := b.submit(spec(1))
			b.reaches(st.ID, job.Finished)
			b.log.setDown(true)
			s := spec(2)
			s.IdempotencyKey = "k2"
			_, _, err := b.client.Submit(ctx, s)
			So(err, ShouldWrap, queue.ErrNotApplied)
			b.log.setDown(false)
			b.reaches(b.submit(s).ID, job.Finished)
		})
		Convey("new owners of both take over running attempts", func() {
			st := b.submit(spec(4))
			b.reaches(st.ID, job.Running)
			dropRack()
			dropQueue()
			b.own(ownership.Rack, rackPath, 3)
			b.own(ownership.Queue, team, 4)
			end := b.reaches(st.ID, job.Finished)
			for _, task := range end.Tasks {
				So(task.Attempt, ShouldEqual, 1)
			}
		})
		Convey("a worker that is cut off is waited out, its tasks run again elsewhere", func() {
			st := b.submit(spec(2))
			b.reaches(st.ID, job.Running)
			b.workers["w1"].cut.Store(true)
			b.reaches(st.ID, job.Finished)
		})
		Convey("cancelling a job stops its tasks", func() {
			st := b.submit(spec(10))
			b.until(func() bool { return b.workers["w1"].isBusy() })
			_, err := b.client.Cancel(ctx, st.ID, "not needed")
			So(err, ShouldBeNil)
			b.until(func() bool {
				st, _ := b.client.Show(ctx, st.ID)
				return st.State.IsFinal()
			})
		})
	})
}
