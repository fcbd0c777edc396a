package dispatch

import (
	"fmt"
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

// TestReservationMovesFromLongBatchWork guards against a long-running task whose reservation stays on
// an executor with long batch work, while the batch work on another one ends soon.
func TestReservationMovesFromLongBatchWork(t *testing.T) {
	Convey("Given an executor with long batch work, and a load of short batch tasks", t, func() {
		sim := newSimulation(2, 1)
		sim.submit(idA, newSubmission(sized(tasks(1, time.Hour), 2000)))
		sim.run(time.Second)
		load := func(d time.Duration) {
			for end := sim.now + d; sim.now < end; {
				length := 500*time.Millisecond + sim.now%(700*time.Millisecond)
				sim.submit(fmt.Sprintf("%016x", 0x1000+int(sim.now/time.Millisecond)), newSubmission(tasks(2, length)))
				sim.run(4 * simulationStep)
			}
		}
		load(4 * time.Second)

		Convey("a task that fits beside neither is started", func() {
			sim.submit(idB, newSubmission(sized(longRunning(1), 6500)))
			load(5 * time.Second)
			So(sim.running(idB), ShouldEqual, 1)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// TestLastingSubmissionMissesItsHandover guards against a long-running submission of which nothing
// runs for ever: no cell had room for it in the time in which it may be handed over.
func TestLastingSubmissionMissesItsHandover(t *testing.T) {
	Convey("Given one of two cells that is full of long-running tasks", t, func() {
		sim := newSimulation(1, 1)
		sim.core.options.Cells = 2
		sim.submit(idA, newSubmission(sized(longRunning(1), 8000)))
		sim.run(2 * time.Second)
		So(sim.running(idA), ShouldEqual, 1)

		Convey("the tasks of another long-running submission can be lent once it can't be handed over", func() {
			sim.submit(idB, newSubmission(sized(longRunning(1), 2000)))
			loaned, ok := sim.firstLend(handoverUntil + maxIdleTime)
			So(ok, ShouldBeTrue)
			So(string(loaned.ID), ShouldEqual, idB)
			So(loaned.Reserved, ShouldBeFalse)

			Convey("which keeps the submission here, also with a new owner", func() {
				sim.core.MarkLent(idB, loaned.Loan)
				sim.run(simulationStep)
				So(sim.publishedStates[idB], ShouldEqual, submission.Running)
				So(sim.core.BeginHandover(idB), ShouldBeFalse)
				sim.replaceOwner(func() { sim.core.MarkLent(idB, loaned.Loan) })
				So(sim.core.BeginHandover(idB), ShouldBeFalse)
				So(sim.violations, ShouldBeEmpty)
			})
		})
	})
}

// TestBatchWorkMissesItsHandover guards against a submission that waits for ever behind long-running
// tasks that fill its cell: no cell had room for it in the time in which it may be handed over.
func TestBatchWorkMissesItsHandover(t *testing.T) {
	gang := tasks(3, time.Second)
	gang.Gang = true
	for _, work := range []submission.Step{sized(tasks(1, time.Second), 1500), gang} {
		Convey("Given one of two cells whose long-running tasks leave too little room for a submission", t, func() {
			sim := newSimulation(2, 1)
			sim.core.options.Cells = 2
			servers := sized(longRunning(2), 7000)
			servers.MaxPerExecutor = 1
			sim.submit(idA, newSubmission(servers))
			sim.run(2 * time.Second)
			So(sim.running(idA), ShouldEqual, 2)
			sim.submit(idB, newSubmission(work))

			Convey("it is offered to the other cell for as long as it waits", func() {
				sim.run(20 * time.Second)
				So(sim.core.HandoverCandidates(sim.now), ShouldResemble, []submission.ID{idB})
			})
		})
	}
}

// TestLaterStepMissesItsHandover guards against a submission whose later step waits for ever behind
// long-running tasks that fill its cell, since only submissions without runs are handed over.
func TestLaterStepMissesItsHandover(t *testing.T) {
	Convey("Given one of two cells that long-running tasks fill once the first step of a submission is done", t, func() {
		sim := newSimulation(1, 1)
		sim.core.options.Cells = 2
		second := sized(tasks(2, time.Second), 1000)
		second.DependsOn = []int{0}
		sim.submit(idB, newSubmission(sized(tasks(1, 500*time.Millisecond), 1000), second))
		sim.run(300 * time.Millisecond)
		sim.submit(idA, newSubmission(sized(longRunning(1), 7500)))
		So(sim.runUntil(5*time.Second, func() bool { return sim.running(idA) == 1 }), ShouldBeTrue)

		Convey("its second step is offered to the other cell", func() {
			So(sim.runUntil(20*time.Second, func() bool {
				return len(sim.core.HandoverCandidates(sim.now)) > 0 || len(sim.core.LendCandidates(sim.now)) > 0
			}), ShouldBeTrue)
		})
	})
}

// TestReservationsKeepOthersWaiting guards against work that waits for as long as the batch work
// behind which all executors are reserved for larger tasks.
func TestReservationsKeepOthersWaiting(t *testing.T) {
	for _, small := range []submission.Step{tasks(1, time.Second), longRunning(1)} {
		Convey("Given executors that are reserved for long-running tasks behind long batch work", t, func() {
			sim := newSimulation(4, 1)
			batch := sized(tasks(4, time.Hour), 3000)
			batch.MaxPerExecutor = 1
			sim.submit(idA, newSubmission(batch))
			sim.run(time.Second)
			So(sim.running(idA), ShouldEqual, 4)
			sim.submit(idB, newSubmission(sized(longRunning(4), 6000)))
			sim.run(time.Second)

			Convey("smaller tasks are started in time", func() {
				sim.submit(idC, newSubmission(small))
				So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idC) == 1 }), ShouldBeTrue)
				So(sim.violations, ShouldBeEmpty)
			})
		})
	}
}
