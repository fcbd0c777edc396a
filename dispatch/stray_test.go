package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/provider"
)

// TestStray guards against a second run of a task while an executor still has one that
// its owner has given up.
func TestStray(t *testing.T) {
	Convey("Given a task that waits after its run was given up, while its executor has the run", t, func() {
		sim := newSimulation(3, 1)
		sim.run(2 * time.Second)
		sim.submit(idA, newSubmission(tasks(1, 5*time.Second)))
		name := idA + ".0.0.0"
		var e *fakeExecutor
		So(sim.runUntil(time.Second, func() bool {
			for _, other := range sim.executors {
				if other.runs[name] != nil {
					e = other
				}
			}
			return e != nil
		}), ShouldBeTrue)
		waiting := sim.core.findTask(name)
		sim.storeAway = true
		sim.core.markLost(waiting.run, "test", sim.now)

		Convey("its newest run goes on and completes the task", func() {
			e.nextHeartbeatAt = sim.now
			sim.run(simulationStep)
			sim.storeAway = false
			So(waiting.run, ShouldNotBeNil)
			So(sim.runUntil(8*time.Second, func() bool { return sim.publishedStates[idA].IsFinal() }), ShouldBeTrue)
			So(sim.starts, ShouldEqual, 1)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("an older run is stopped, and the task starts once it has ended", func() {
			waiting.runNumber++
			e.nextHeartbeatAt = sim.now
			sim.run(simulationStep)
			So(waiting.isStray(), ShouldBeTrue)
			sim.storeAway = false
			So(sim.runUntil(8*time.Second, func() bool { return sim.publishedStates[idA].IsFinal() }), ShouldBeTrue)
			So(sim.starts, ShouldEqual, 2)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a planned run is not sent while the older one is listed", func() {
			sim.storeAway, sim.storeLatency = false, 300*time.Millisecond
			e.nextHeartbeatAt = sim.now + 100*time.Millisecond
			So(sim.runUntil(8*time.Second, func() bool { return sim.publishedStates[idA].IsFinal() }), ShouldBeTrue)
			So(sim.starts, ShouldEqual, 2)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("an older run that is done, and whose end is listed after others, is not followed by another one", func() {
			waiting.runNumber++
			sim.lossRate, sim.maxListedEnds = 1, 1
			sim.executionDelay = func() time.Duration { return time.Minute } // of the stop
			e.nextHeartbeatAt = sim.now
			sim.run(simulationStep)
			So(waiting.isStray(), ShouldBeTrue)
			sim.lossRate, sim.storeAway = 0, false
			for i := range 3 {
				e.end(&fakeRun{task: fmt.Sprintf("%s.0.0.%d", idB, i), number: 1}, provider.RunDone, sim.now)
			}
			e.runs[name].endsAt = sim.now
			So(sim.runUntil(8*time.Second, func() bool { return sim.publishedStates[idA].IsFinal() }), ShouldBeTrue)
			sim.run(2 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.starts, ShouldEqual, 1)
			So(waiting.isStray(), ShouldBeFalse)
		})
		Convey("the task starts elsewhere once the lease of an unreachable executor is over", func() {
			waiting.runNumber++
			e.nextHeartbeatAt = sim.now
			sim.run(simulationStep)
			e.partitioned = true
			sim.storeAway = false
			So(sim.runUntil(simulationLease-time.Second, func() bool { return sim.starts > 1 }), ShouldBeFalse)
			So(sim.runUntil(4*time.Second, func() bool { return sim.starts > 1 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
			So(waiting.isStray(), ShouldBeFalse)
		})
	})
}
