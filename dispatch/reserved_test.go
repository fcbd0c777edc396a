package dispatch

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// TestReservations replays a fleet with all kinds of tasks and one report in dispute at a time.
func TestReservations(t *testing.T) {
	Convey("An owner compares its reservations with the reports of executors", t, func() {
		sim := newSimulation(2, 1)
		bestEffort := tasks(1, time.Minute)
		bestEffort.BestEffort, bestEffort.Image = true, "i"
		sim.submit(idA, submission.Submission{Steps: []submission.Step{tasks(2, time.Minute), longRunning(3), bestEffort}})
		sim.run(3 * time.Second)
		So(sim.violations, ShouldBeEmpty)
		stats := sim.core.Stats()
		victim := sim.executors[0]

		Convey("reservations are counted by kind, and none is unreported while all calls are answered", func() {
			So(stats.Reserved[ReservedBatch], ShouldResemble, fleet.Resources{MilliCPU: 2000, MemoryMB: 1000})
			So(stats.Reserved[ReservedLongRunning], ShouldResemble, fleet.Resources{MilliCPU: 3000, MemoryMB: 1500})
			So(stats.Reserved[ReservedBestEffort], ShouldResemble, fleet.Resources{MemoryMB: 500})
			So(stats.Capacity, ShouldResemble, fleet.Resources{MilliCPU: 16000, MemoryMB: 16000})
			So(stats.Free, ShouldResemble, fleet.Resources{MilliCPU: 11000, MemoryMB: 13000})
			So(stats.Unreported, ShouldResemble, [UnreportedStates]fleet.Resources{})
			So(stats.Unexpected.IsZero(), ShouldBeTrue)
			So(stats.UnknownRuns, ShouldEqual, 0)
		})
		Convey("a new owner counts restored runs as unreported until their executors report", func() {
			for _, e := range sim.executors {
				e.partitioned = true
			}
			sim.takeOver()
			sim.run(2 * time.Second)
			So(sim.core.Stats().Unreported[UnreportedNoContact], ShouldResemble, fleet.Resources{MilliCPU: 5000, MemoryMB: 3000})
			So(sim.core.Stats().Capacity.IsZero(), ShouldBeTrue)
			for _, e := range sim.executors {
				e.partitioned = false
			}
			sim.run(2 * time.Second)
			So(sim.core.Stats().Unreported, ShouldResemble, [UnreportedStates]fleet.Resources{})
		})
		Convey("a start without an answer is unreported until a report settles it", func() {
			r := someRun(sim, victim.id)
			delete(victim.runs, r.taskName)
			r.state, r.listedAt, r.confirmedAt = runUnanswered, 0, r.startedAt
			sim.core.reservationsAt = 0
			sim.core.compareReservations(sim.now)
			So(sim.core.Stats().Unreported[UnreportedUnanswered], ShouldResemble, reservation(r.task.step.spec))
		})
		Convey("runs that executors list and the owner does not expect are counted", func() {
			victim.runs["unknown"] = &fakeRun{task: "unknown", number: 1, endsAt: time.Hour}
			name := submission.TaskID{Submission: idA}.String()
			other := sim.executors[1]
			if sim.core.findTask(name).run.executor.info.ID == other.id {
				other = sim.executors[0]
			}
			sim.stopTime = 3 * time.Second
			other.runs[name] = &fakeRun{task: name, number: 1, endsAt: time.Hour}
			sim.run(1500 * time.Millisecond)
			So(sim.core.Stats().Unexpected, ShouldResemble, fleet.Resources{MilliCPU: 1000, MemoryMB: 500})
			So(sim.core.Stats().UnknownRuns, ShouldEqual, 1)
			sim.run(5 * time.Second)
			So(sim.core.Stats().Unexpected.IsZero(), ShouldBeTrue)
			So(sim.core.Stats().UnknownRuns, ShouldEqual, 0)
		})
		Convey("a run that is never removed is counted and named in the log, at a bounded rate", func() {
			r := leakRun(sim, victim)
			sim.run(30 * time.Second)
			So(sim.core.Stats().Unreported[UnreportedStarting], ShouldResemble, reservation(r.task.step.spec))
			var lines []string
			for _, line := range sim.trace {
				if strings.Contains(line, ": unreported ") {
					lines = append(lines, line)
				}
			}
			So(len(lines), ShouldBeBetween, 1, 4)
			So(lines[0], ShouldContainSubstring, r.taskName)
			So(lines[0], ShouldContainSubstring, "on "+string(victim.id)+": starting, 1000 mCPU and 500 MB reserved")
		})
	})
}

// someRun returns a run of a batch task on an executor.
func someRun(sim *simulation, id provider.ExecutorID) *run {
	for _, r := range sim.core.executors[id].sortedRuns() {
		if r.task.step.reservedKind() == ReservedBatch {
			return r
		}
	}
	panic("no run of a batch task on " + id)
}

// leakRun leaves a run in the state after its start whose outcome the owner never learns, while
// the executor does not know the run.
func leakRun(sim *simulation, e *fakeExecutor) *run {
	r := someRun(sim, e.id)
	delete(e.runs, r.taskName)
	r.state = runStarting
	return r
}

// TestReservationChecker shows that the check of the simulation sees the faults that it is for.
func TestReservationChecker(t *testing.T) {
	Convey("The simulation finds", t, func() {
		sim := newSimulation(2, 1)
		sim.submit(idA, submission.Submission{Steps: []submission.Step{tasks(4, time.Minute)}})
		sim.run(2 * time.Second)
		So(sim.violations, ShouldBeEmpty)
		victim := sim.executors[0]
		owned := sim.core.executors[victim.id]

		Convey("a run that is never removed, after the bound and once", func() {
			leakRun(sim, victim)
			sim.run(maxUnreported - time.Second)
			So(sim.violations, ShouldBeEmpty)
			sim.run(10 * time.Second)
			So(len(sim.violations), ShouldEqual, 1)
			So(sim.violations[0], ShouldContainSubstring, "whose reports have not listed it for")
		})
		Convey("no fault in a run on an executor that does not report", func() {
			leakRun(sim, victim)
			victim.partitioned = true
			sim.run(maxUnreported + time.Second)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a planned run whose batch is forgotten", func() {
			someRun(sim, victim.id).state = runPlanned
			sim.run(simulationStep)
			So(sim.violations, ShouldNotBeEmpty)
			So(sim.violations[0], ShouldContainSubstring, "in no batch")
		})
		Convey("a reservation that outlives its run", func() {
			delete(owned.runs, someRun(sim, victim.id).taskName)
			sim.reservations.check(sim)
			So(sim.violations, ShouldNotBeEmpty)
			So(sim.violations[0], ShouldContainSubstring, "its runs need")
		})
		Convey("a reported run that its owner does not account for", func() {
			name := someRun(sim, victim.id).taskName
			owned.remove(someRun(sim, victim.id))
			sim.reservations.observe(sim, victim.id, provider.HeartbeatReport{Running: []provider.RunStatus{{Task: name, Run: 1}}})
			So(sim.violations, ShouldNotBeEmpty)
			So(sim.violations[0], ShouldContainSubstring, "does not account for")
		})
	})
}

// BenchmarkCompareReservations compares the reservations of a cell of 350 executors with 3,500 runs
// with their reports, as an owner does once a second.
func BenchmarkCompareReservations(b *testing.B) {
	sim := newSimulation(350, 1)
	sim.submit(idA, submission.Submission{Steps: []submission.Step{{
		Count: 3500, Size: fleet.Resources{MilliCPU: 500, MemoryMB: 500}, EstimateMs: time.Hour.Milliseconds(),
	}}})
	sim.run(2 * time.Second)
	for b.Loop() {
		sim.core.reservationsAt = 0
		sim.core.compareReservations(sim.now)
	}
}
