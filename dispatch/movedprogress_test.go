package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// newTwoStepLoad returns a cell whose only executor suits the first step of a submission, and has run it.
func newTwoStepLoad() (*simulation, submission.Submission) {
	sim := newSimulation(1, 1)
	sim.core.options.Cells = 2
	sim.executors[0].labels = []string{"b", "r0"}
	second := withLabel("c", tasks(2, time.Second))
	second.DependsOn = []int{0}
	s := newSubmission(withLabel("b", tasks(2, 500*time.Millisecond)), second)
	s.Queue, s.Service = "q", "s"
	sim.submit(idA, s)
	return sim, s
}

// move hands a submission over from one cell to another, as their owners do.
func (sim *simulation) move(id string, s submission.Submission, to *simulation) {
	progress, err := sim.core.HandoverProgress(submission.ID(id))
	So(err, ShouldBeNil)
	So(progress, ShouldNotBeNil)
	So(sim.core.BeginHandover(submission.ID(id)), ShouldBeTrue)
	sim.core.FinishHandover(submission.ID(id))
	delete(sim.accepted, submission.ID(id))
	to.accepted[submission.ID(id)] = s
	for task := range sim.completed {
		to.completed[task] = true
	}
	So(to.core.SubmitMoved(submission.ID(id), s, progress, to.now), ShouldBeNil)
}

// TestLaterStepMovesToAnotherCell guards against a submission whose next step needs executors that only another cell
// has, and is never started.
func TestLaterStepMovesToAnotherCell(t *testing.T) {
	Convey("Given a submission that has run its first step in a cell without executors for the second", t, func() {
		from, s := newTwoStepLoad()
		from.run(300 * time.Millisecond)
		So(from.running(idA), ShouldEqual, 2)
		So(from.core.HandoverCandidates(from.now), ShouldBeEmpty)
		So(from.core.BeginHandover(idA), ShouldBeFalse)
		to := newSimulation(1, 2)
		to.core.options.Cells = 2
		to.executors[0].labels = []string{"c", "r1"}
		to.run(time.Second)
		offered := func() bool { return len(from.core.HandoverCandidates(from.now)) > 0 }
		So(from.runUntil(2*time.Second, offered), ShouldBeTrue)

		Convey("another cell needs room for a task of the second step", func() {
			demand, ok := from.core.HandoverDemand(idA)
			So(ok, ShouldBeTrue)
			So(demand.Steps, ShouldHaveLength, 1)
			So(demand.Steps[0].RequiredLabel, ShouldEqual, "c")
			So(demand.Steps[0].Count, ShouldEqual, 1)
		})
		Convey("the other cell runs the second step, and the first one no more", func() {
			from.move(idA, s, to)
			So(to.runUntil(5*time.Second, func() bool { return to.publishedStates[idA] == submission.Completed }), ShouldBeTrue)
			So(to.starts, ShouldEqual, 2)
			So(to.violations, ShouldBeEmpty)
		})
		Convey("so does the next owner of the other cell, which may have been here before", func() {
			stale := provider.KeyedRecord{Key: idA, Value: from.stored[idA].Value}
			from.move(idA, s, to)
			progress := func() []byte { record, _ := to.core.jobs[idA].record(); return record.Value }()
			for _, earlier := range []provider.KeyedRecord{stale, {Key: idA, Value: movedValue}} {
				next := newSimulation(1, 3)
				next.executors[0].labels = []string{"c", "r1"}
				next.completed = to.completed
				next.stored[idA] = earlier
				next.replaceOwner(func() {
					next.accepted[idA] = s
					So(next.core.SubmitMoved(idA, s, progress, next.now), ShouldBeNil)
				})
				So(next.runUntil(15*time.Second, func() bool { return next.publishedStates[idA] == submission.Completed }), ShouldBeTrue)
				So(next.starts, ShouldEqual, 2)
				So(next.violations, ShouldBeEmpty)
			}
		})
		Convey("an owner that has not seen the move starts nothing of it once its record is replaced", func() {
			from.move(idA, s, to)
			from.run(100 * time.Millisecond)
			So(from.stored[idA].Value, ShouldResemble, movedValue)
			from.accepted[idA] = s
			from.executors[0].labels = []string{"b", "c", "r0"}
			from.takeOver()
			starts := from.starts
			from.run(5 * time.Second)
			So(from.starts, ShouldEqual, starts)
		})
	})
}

// TestMovedProgressOutOfRange guards against progress in a move record that no owner has written.
func TestMovedProgressOutOfRange(t *testing.T) {
	Convey("A submission whose moved progress can't be read is held", t, func() {
		sim := newSimulation(1, 1)
		sim.run(time.Second)
		s := newSubmission(tasks(1, time.Second))
		for i, value := range [][]byte{{0xff}, movedValue, unstoredValue} {
			id := submission.ID(loadID(i))
			sim.accepted[id] = s
			So(sim.core.SubmitMoved(id, s, value, sim.now), ShouldNotBeNil)
		}
		sim.run(3 * time.Second)
		So(sim.starts, ShouldEqual, 0)
	})
}

// TestMoveChecksAreBounded guards against owners that look at all tasks of a submission for each of its waiting steps.
func TestMoveChecksAreBounded(t *testing.T) {
	Convey("Given a submission of 7,000 steps that has had a run, and no executor for the others", t, func() {
		sim := newSimulation(1, 1)
		sim.core.options.Cells = 2
		sim.submit(idA, newSubmission(append(repeated(6999, unsuitable(1)), tasks(1, 100*time.Millisecond))...))
		sim.run(3 * time.Second)
		So(sim.core.jobs[idA].hadRun, ShouldBeTrue)
		total, offers := 0, 0
		sim.runUntil(2*time.Second, func() bool {
			before := sim.core.work
			offers += len(sim.core.HandoverCandidates(sim.now))
			total += sim.core.work - before
			return false
		})
		So(offers, ShouldBeBetweenOrEqual, 1, 5)
		So(total, ShouldBeLessThan, 5*(2*maxPlannedSteps+7000))
	})
}
