package node

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/dispatch"
	"github.com/peridotlock/peridotlock/fleet"
)

func TestReservationGauges(t *testing.T) {
	Convey("The gauges add up the reservations of all owners of a VM and forget those of an owner that stops", t, func() {
		set := metrics.NewSet()
		m := newOwnerMetrics(set)
		var first, second dispatch.Stats
		first.Reserved[dispatch.ReservedLongRunning] = fleet.Resources{MilliCPU: 4000, MemoryMB: 300}
		first.Unreported[dispatch.UnreportedStarting] = fleet.Resources{MilliCPU: 1000, MemoryMB: 100}
		first.Capacity, first.Free, first.UnknownRuns = fleet.Resources{MilliCPU: 8000}, fleet.Resources{MilliCPU: 4000}, 1
		first.Trials, first.Held[dispatch.HoldPaused], second.Held[dispatch.HoldPaused] = 3, 2, 1
		second.Unreported[dispatch.UnreportedStarting] = fleet.Resources{MilliCPU: 500, MemoryMB: 50}
		second.Unexpected = fleet.Resources{MilliCPU: 70, MemoryMB: 7}
		m.replace(dispatch.Stats{}, first)
		m.replace(dispatch.Stats{}, second)
		text := func() string {
			var b bytes.Buffer
			set.WritePrometheus(&b)
			return b.String()
		}
		for _, line := range []string{
			`peridotlock_reserved_millicpu{kind="long_running"} 4000`,
			`peridotlock_reserved_mb{kind="long_running"} 300`,
			`peridotlock_reserved_unreported_millicpu{state="starting"} 1500`,
			`peridotlock_reserved_unreported_mb{state="starting"} 150`,
			`peridotlock_reserved_unreported_millicpu{state="no_contact"} 0`,
			`peridotlock_reported_unreserved_millicpu 70`,
			`peridotlock_accepting_capacity_millicpu 8000`,
			`peridotlock_accepting_free_millicpu 4000`,
			`peridotlock_executors_with_unknown_runs 1`,
			`peridotlock_trials_total 3`,
			`peridotlock_held_executors{hold="paused"} 3`,
		} {
			So(text(), ShouldContainSubstring, line+"\n")
		}
		m.replace(first, dispatch.Stats{})
		So(text(), ShouldContainSubstring, `peridotlock_reserved_unreported_millicpu{state="starting"} 500`+"\n")
		So(text(), ShouldContainSubstring, "peridotlock_executors_with_unknown_runs 0\n")
		So(text(), ShouldContainSubstring, `peridotlock_held_executors{hold="paused"} 1`+"\n")
		So(text(), ShouldContainSubstring, "peridotlock_trials_total 3\n")
	})
}
