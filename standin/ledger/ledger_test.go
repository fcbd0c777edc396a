package ledger

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
)

func TestLedgerFindsViolations(t *testing.T) {
	Convey("A ledger of two workers of 4 cores", t, func() {
		l := New()
		l.AddVM("v", fleet.Resources{MilliCPU: 4000})
		l.AddVM("w", fleet.Resources{MilliCPU: 4000})
		zero := time.Now()
		at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
		run := func(task, vm string, attempt int, start float64, cpu int64) *Run {
			return l.StartRun(Run{
				Task: task, VM: vm, Attempt: attempt, Start: at(start), LeaseEnd: at(start + 5), Size: fleet.Resources{MilliCPU: cpu},
			})
		}
		first := run("a", "v", 1, 0, 3000)

		Convey("finds a task that runs in two places", func() {
			run("a", "w", 2, 1, 3000)
			So(l.Summary().ViolationCounts[DoubleRun], ShouldEqual, 1)
		})
		Convey("lets a task start again after its end or the end of its lease", func() {
			l.EndRun(first, at(2), "stopped", 0.5, false)
			second := run("a", "w", 2, 2, 3000)
			l.RenewRun(second, at(9))
			run("a", "v", 3, 9, 3000)
			So(l.Summary().Violations, ShouldBeEmpty)
		})
		Convey("finds a renewed lease that another start overlaps", func() {
			l.RenewRun(first, at(9))
			run("a", "w", 2, 8, 3000)
			So(l.Summary().ViolationCounts[DoubleRun], ShouldEqual, 1)
		})
		Convey("finds a worker that holds too much", func() {
			run("b", "v", 1, 1, 1000)
			So(l.Summary().Violations, ShouldBeEmpty)
			run("c", "v", 1, 1, 1)
			So(l.Summary().ViolationCounts[Overcommit], ShouldEqual, 1)
		})
		Convey("lets a task finish again when nobody could know that it had", func() {
			l.EndRun(first, at(1), "finished", 1, true)
			l.MarkEndUnreported("a", 1)
			l.EndRun(run("a", "w", 2, 2, 3000), at(3), "finished", 1, true)
			So(l.Summary().Violations, ShouldBeEmpty)
		})
		Convey("finds a task that finished twice", func() {
			l.EndRun(first, at(1), "finished", 1, true)
			l.EndRun(run("a", "w", 2, 2, 3000), at(3), "finished", 1, true)
			So(l.Summary().ViolationCounts[DoubleFinish], ShouldEqual, 1)
			So(l.Summary().TasksFinished, ShouldEqual, 1)
		})
	})
}
