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
		c := newTestCluster(ctx, time.Second)
		Reset(func() {
			cancel()
			c.pool.Close()
			c.work.Wait()
		})
		stopRackOwner := c.runOwner(ownership.Rack, rackPath, 1)
		stopQueueOwner := c.runOwner(ownership.Queue, team, 2)

		Convey("a job runs to its end, and a submission with the same idempotency key returns the same job", func() {
			st := c.submit(spec(10))
			c.waitForState(st.ID, job.Finished)
			again, repeated, err := c.client.Submit(ctx, spec(10))
			So(err, ShouldBeNil)
			So(repeated, ShouldBeTrue)
			So(again.ID, ShouldEqual, st.ID)
			c.waitUntil(func() bool {
				var shown bytes.Buffer
				metrics.WritePrometheus(&shown, false)
				return strings.Contains(shown.String(), `peridotlock_tasks_ended_total{outcome="finished"}`) &&
					strings.Contains(shown.String(), `peridotlock_tasks_waiting{queue="zavod/certificates"} 0`)
			})
		})
		Convey("a job that no worker can hold is rejected on submission", func() {
			s := spec(1)
			s.Size.MemoryMB = 8192
			st := c.submit(s)
			So(st.State, ShouldEqual, job.Unschedulable)
			So(st.Tasks[0].Reason, ShouldContainSubstring, "lacks 0m/4096MB/0acc")
		})
		Convey("jobs are refused while the log is unavailable and run after it recovers", func() {
			st := c.submit(spec(1))
			c.waitForState(st.ID, job.Finished)
			c.log.setUnavailable(true)
			s := spec(2)
			s.IdempotencyKey = "k2"
			_, _, err := c.client.Submit(ctx, s)
			So(err, ShouldWrap, queue.ErrNotApplied)
			c.log.setUnavailable(false)
			c.waitForState(c.submit(s).ID, job.Finished)
		})
		Convey("new owners of the rack and the queue take over running attempts", func() {
			st := c.submit(spec(4))
			c.waitForState(st.ID, job.Running)
			stopRackOwner()
			stopQueueOwner()
			c.runOwner(ownership.Rack, rackPath, 3)
			c.runOwner(ownership.Queue, team, 4)
			end := c.waitForState(st.ID, job.Finished)
			for _, task := range end.Tasks {
				So(task.Attempt, ShouldEqual, 1)
			}
		})
		Convey("after the lease of an unreachable worker expires, its tasks run on another worker", func() {
			st := c.submit(spec(2))
			c.waitForState(st.ID, job.Running)
			c.workers["w1"].unreachable.Store(true)
			c.waitForState(st.ID, job.Finished)
		})
		Convey("cancelling a job stops its tasks", func() {
			st := c.submit(spec(10))
			c.waitUntil(func() bool { return c.workers["w1"].isBusy() })
			_, err := c.client.Cancel(ctx, st.ID, "not needed")
			So(err, ShouldBeNil)
			c.waitUntil(func() bool {
				st, _ := c.client.Show(ctx, st.ID)
				return st.State.IsFinal()
			})
		})
	})
}
