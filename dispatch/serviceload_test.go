package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// TestFullCellOfFreeService guards against best-effort work that waits as on a busy day, since its cell
// is full, while most of its service's capacity is free in other cells.
func TestFullCellOfFreeService(t *testing.T) {
	Convey("Given a cell that is over half in use, and an image that is expected to harm all servers", t, func() {
		sim := newCellOfHarmfulImage(1)
		filler := sized(longRunning(6), 3000)
		filler.MaxPerExecutor = 1
		sim.submit(idC, newSubmission(filler))
		sim.run(time.Second)
		So(sim.running(idC), ShouldEqual, 6)
		size := fleet.Resources{MilliCPU: 400_000, MemoryMB: 400_000}
		work := newSubmission(bestEffortTasks(2, "heavy", fleet.Resources{MilliCPU: 1000, MemoryMB: 500}, time.Second))

		Convey("its work runs in time if other cells are free", func() {
			sim.core.SetOtherCells(map[string]cell.ServiceLoad{"s": {Size: size}})
			sim.submit(idB, work)
			So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idB) > 0 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("it waits for longer if they are full, or of another service", func() {
			sim.core.SetOtherCells(map[string]cell.ServiceLoad{"s": {Size: size, Used: size}, "other": {Size: size}})
			sim.submit(idB, work)
			So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idB) > 0 }), ShouldBeFalse)
			So(sim.runUntil(maxRefusedWaitBusy, func() bool { return sim.running(idB) > 0 }), ShouldBeTrue)
		})
	})
}

func TestServiceLoads(t *testing.T) {
	Convey("The loads of services add up to the free capacity of the cell", t, func() {
		sim := newSimulation(4, 1)
		sim.submit(idA, newSubmission(longRunning(3)))
		sim.run(time.Second)
		other := newSubmission(bestEffortTasks(1, "x", fleet.Resources{MilliCPU: 700, MemoryMB: 10}, time.Second))
		sim.submit(idB, other)
		sim.core.SetExecutor(provider.ExecutorInfo{ID: "i-0", Service: "t", Labels: []string{"z"}, Size: sim.executors[0].size}, sim.now)
		sim.core.waiting = append(sim.core.waiting, &step{
			job: &job{sub: submission.Submission{Service: "t"}}, spec: &submission.Step{Size: fleet.Resources{MilliCPU: 100, MemoryMB: 7}},
			waiting: make([]*task, 2),
		})
		loads := sim.core.ServiceLoads(sim.now)
		free, spare, _, _ := sim.core.FreeCapacity(sim.now)
		So(len(loads), ShouldEqual, 2)
		So(loads[0].Service, ShouldEqual, "s")
		So(loads[0].Labels, ShouldResemble, []string{"a", "r1"})
		So(loads[1].Labels, ShouldResemble, []string{"z"})
		So(loads[0].Size.MilliCPU, ShouldEqual, 24000)
		So(loads[0].Used.Add(loads[1].Used).MilliCPU, ShouldEqual, 3000)
		sum := loads[0].Free.Add(loads[1].Free)
		So([]int64{sum.MilliCPU, sum.MemoryMB}, ShouldResemble, []int64{free.MilliCPU, free.MemoryMB})
		So(loads[0].SpareMilliCPU+loads[1].SpareMilliCPU, ShouldEqual, spare)

		Convey("and tell what is of use to tasks of a size, as executors leave less than all in pieces", func() {
			i, _ := slices.BinarySearch(cell.RoomSizes[:], 4000)
			rest := sim.core.executors["i-0"].info.Size.Sub(sim.core.executors["i-0"].reserved).MilliCPU / 4000 * 4000
			So(loads[1].Room[i], ShouldEqual, rest-200)
			for size, room := range loads[0].Room {
				So(room, ShouldBeLessThanOrEqualTo, loads[0].Free.MilliCPU)
				So(room%cell.RoomSizes[size], ShouldEqual, 0)
			}
		})
	})
}
