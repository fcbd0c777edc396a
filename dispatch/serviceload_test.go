package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

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
	})
}
