package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/submission"
)

// sized returns a step with another size.
func sized(step submission.Step, milliCPU int64) submission.Step {
	step.Size = fleet.Resources{MilliCPU: milliCPU, MemoryMB: 500}
	return step
}

// firstLend runs a simulation until a task should be lent, for at most d.
func (sim *simulation) firstLend(d time.Duration) (LendCandidate, bool) {
	var found []LendCandidate
	ok := sim.runUntil(d, func() bool {
		found = append(found, sim.core.LendCandidates(sim.now)...)
		return len(found) > 0
	})
	if !ok {
		return LendCandidate{}, false
	}
	return found[0], true
}

// TestReservationBehindLongBatchWork guards against a long-running task that waits for as long as
// the batch work on the executor that is reserved for it, while other cells have room.
func TestReservationBehindLongBatchWork(t *testing.T) {
	Convey("Given one of two cells, in which long batch work takes the room of a long-running task", t, func() {
		sim := newSimulation(1, 1)
		sim.core.options.Cells = 2
		sim.submit(idA, newSubmission(sized(tasks(1, time.Hour), 3000)))
		sim.run(time.Second)
		So(sim.running(idA), ShouldEqual, 1)
		sim.submit(idB, newSubmission(sized(longRunning(1), 4000), sized(longRunning(1), 3500)))

		Convey("the task is to be lent to a cell that has room at once", func() {
			_, ok := sim.firstLend(20 * time.Second)
			So(ok, ShouldBeTrue)
		})
	})
}
