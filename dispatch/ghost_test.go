package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// listGhosts lists n executors that do not exist, changes them, and removes the earlier ones.
// Each is called by the owner in vain.
func listGhosts(sim *simulation, round, n int) {
	for i := range n {
		earlier := provider.ExecutorID(fmt.Sprintf("ghost-%d-%d", round-1, i))
		sim.core.RemoveExecutor(earlier)
		info := provider.ExecutorInfo{
			ID: provider.ExecutorID(fmt.Sprintf("ghost-%d-%d", round, i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i%256), FailureDomain: "d",
			Labels: []string{"a", fmt.Sprintf("ghosts-%d", i)}, Size: fleet.MaxMachine, StartTimeMs: submission.MaxUnixMs, Draining: i%2 == 1,
		}
		sim.core.SetExecutor(info, sim.now)
		sim.core.Heartbeat(info.ID, sim.now)
		err := provider.ErrUnknownOutcome
		if i%3 == 0 {
			err = provider.ErrWrongExecutor
		}
		sim.core.HandleHeartbeatFailure(info.ID, provider.HeartbeatRequest{}, err, sim.now)
	}
}

// Registrations of executors that do not exist counted as lost, so that crashes seemed to have a
// common cause and crashing tasks were not given up; they counted in the size of the fleet, so that
// services were moved more often.
func TestExecutorsThatNeverAnswerChangeNoDecision(t *testing.T) {
	Convey("Given hundreds of listed executors that do not exist, which change while owners change", t, func() {
		sim, alone := newSimulation(10, 1), newSimulation(10, 1)
		for _, s := range []*simulation{sim, alone} {
			s.submit(idA, newSubmission(longRunning(6)))
			s.submit(idB, newSubmission(tasks(200, time.Second)))
		}
		for round := 1; round <= 20; round++ {
			if round%5 == 0 {
				sim.takeOver()
				alone.takeOver()
			}
			listGhosts(sim, round, 300)
			sim.run(500 * time.Millisecond)
			alone.run(500 * time.Millisecond)
		}
		Convey("the same tasks run as without them, and nothing runs twice", func() {
			So(sim.publishedStates, ShouldResemble, alone.publishedStates)
			So(sim.running(idA), ShouldEqual, 6)
			So(sim.starts, ShouldEqual, alone.starts)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("sums of capacity, rates and the room that is published do not change", func() {
			free, spare, largest, labels := sim.core.FreeCapacity(sim.now)
			freeAlone, spareAlone, largestAlone, labelsAlone := alone.core.FreeCapacity(alone.now)
			So([]any{free, spare, largest, labels}, ShouldResemble, []any{freeAlone, spareAlone, largestAlone, labelsAlone})
			So(sim.core.Gaps(sim.now), ShouldResemble, alone.core.Gaps(alone.now))
			So(sim.core.fleetSize(), ShouldEqual, 10)
			e := sim.core.executors["i-0"]
			So(sim.core.crashRate(e, sim.now), ShouldEqual, alone.core.crashRate(alone.core.executors["i-0"], alone.now))
		})
		Convey("they are forgotten once they are no longer listed", func() {
			for i := range 300 {
				sim.core.RemoveExecutor(provider.ExecutorID(fmt.Sprintf("ghost-20-%d", i)))
			}
			sim.run(simulationInheritedLease + 5*time.Second)
			So(len(sim.core.executors), ShouldEqual, 10)
		})
	})
}
