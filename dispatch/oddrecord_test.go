package dispatch

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// planAccepted submits s to a new core if its check accepts it, and plans once.
func planAccepted(s submission.Submission) (accepted bool) {
	if s.Check().Err() != nil {
		return false
	}
	sim := newSimulation(2, 1)
	sim.submit(idA, s)
	sim.run(time.Second)
	return true
}

// The sum of two counts of 2^62 is negative, so that such a submission was accepted. Each
// owner then ended with "makeslice: len out of range".
func TestSubmissionOutOfRangeEndsNoOwner(t *testing.T) {
	Convey("A submission whose values no platform can meet is rejected", t, func() {
		valid := tasks(1, time.Second)
		for name, change := range map[string]func(*submission.Submission){
			"sum of counts overflows": func(s *submission.Submission) {
				s.Steps = []submission.Step{tasks(1<<62, 0), tasks(1<<62, 0), tasks(1<<62, 0), tasks(1<<62, 0)}
			},
			"demand overflows":              func(s *submission.Submission) { s.Steps[0].Size.MilliCPU = math.MaxInt64 },
			"memory overflows":              func(s *submission.Submission) { s.Steps[0].Size.MemoryMB = math.MaxInt64 },
			"estimate is negative":          func(s *submission.Submission) { s.Steps[0].EstimateMs = -1 },
			"estimate overflows":            func(s *submission.Submission) { s.Steps[0].EstimateMs = math.MaxInt64 },
			"latency target is negative":    func(s *submission.Submission) { s.Steps[0].TargetMs = -1 },
			"latency target is too small":   func(s *submission.Submission) { s.Steps[0].TargetMs = 1e-300 },
			"latency target is NaN":         func(s *submission.Submission) { s.Steps[0].TargetMs = math.NaN() },
			"limit by executor is negative": func(s *submission.Submission) { s.Steps[0].MaxPerExecutor = -1 },
			"unavailable is negative":       func(s *submission.Submission) { s.Steps[0].MaxUnavailable = -1 },
			"occurrences are negative":      func(s *submission.Submission) { s.Occurrences = -1 },
			"interval is negative":          func(s *submission.Submission) { s.Occurrences, s.IntervalMs = 2, -1 },
			"due time is out of range":      func(s *submission.Submission) { s.Occurrences, s.FirstDueMs = 2, math.MaxInt64 },
			"interval is out of range":      func(s *submission.Submission) { s.Occurrences, s.IntervalMs = 2, math.MaxInt64 },
		} {
			s := newSubmission(valid)
			change(&s)
			if planAccepted(s) {
				t.Errorf("submission whose %s was accepted", name)
			}
		}
	})
	Convey("A submission at the limits is accepted and planned", t, func() {
		s := newSubmission(tasks(1, 0))
		s.Steps[0].Size = fleet.MaxMachine
		s.Steps[0].EstimateMs = submission.MaxEstimateMs
		So(planAccepted(s), ShouldBeTrue)
	})
}

// All due occurrences were created at once, so that a submission with 2^40 of them, all due
// at 1970, took all memory of each owner.
func TestDueOccurrencesAreBounded(t *testing.T) {
	Convey("Given a submission with 2^40 occurrences that are all due", t, func() {
		sim := newSimulation(2, 1)
		s := newSubmission(tasks(1000, 100*time.Millisecond))
		s.Occurrences, s.FirstDueMs, s.IntervalMs = 1<<40, 0, 0
		So(s.Check().Err(), ShouldBeNil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			sim.submit(idA, s)
			sim.run(2 * time.Second)
		}()
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("planning does not end")
		}
		Convey("occurrences of at most maxOpenTasks unfinished tasks exist, and tasks run", func() {
			So(len(sim.core.jobs[idA].occurrences), ShouldBeLessThanOrEqualTo, maxOpenTasks/1000)
			So(sim.starts, ShouldBeGreaterThan, 50)
		})
	})
	Convey("Later occurrences follow as earlier ones end, and the due time of none overflows", t, func() {
		sim := newSimulation(2, 1)
		s := newSubmission(tasks(maxOpenTasks/2+1, 0)) // one occurrence at a time
		s.Steps[0].Size = fleet.Resources{MilliCPU: 100, MemoryMB: 10}
		s.Occurrences, s.FirstDueMs, s.IntervalMs = 2, 0, 1
		sim.submit(idA, s)
		So(sim.runUntil(time.Minute, func() bool { return sim.publishedStates[idA] == submission.Completed }), ShouldBeTrue)
		j := newJob(idB, submission.Submission{Occurrences: math.MaxInt, FirstDueMs: submission.MaxUnixMs, IntervalMs: submission.MaxUnixMs}, nil, 0)
		So(j.dueMs(1<<40), ShouldEqual, math.MaxInt64)
	})
}

// A new owner took up after the highest occurrence of which a task had run, so that an earlier
// one whose tasks all waited never ran.
func TestOccurrenceWithoutRunsSurvivesTakeover(t *testing.T) {
	Convey("Given two due occurrences, of which only the second has runs", t, func() {
		sim := newSimulation(1, 1)
		s := newSubmission(tasks(1, 500*time.Millisecond))
		s.Occurrences, s.FirstDueMs, s.IntervalMs = 2, 0, 1
		sim.accepted[idA] = s
		sim.submit(idA, s)
		j := sim.core.jobs[idA]
		j.occurrence(1).steps[0].tasks[0].runNumber = 1
		j.state = submission.Running
		record, err := j.record()
		So(err, ShouldBeNil)
		sim.stored[idA] = record
		sim.takeOver()
		Convey("both are done after a takeover", func() {
			So(sim.runUntil(10*time.Second, func() bool { return sim.publishedStates[idA] == submission.Completed }), ShouldBeTrue)
			So(sim.starts, ShouldEqual, 2)
		})
	})
}

// oddTaskNames name no task of a submission with one step of one task.
var oddTaskNames = []string{
	idA + ".0.-1.0", idA + ".0.0.-1", idA + ".-1.0.0", idA + ".0.1.0", idA + ".0.0.1", idA + ".9223372036854775807.0.0",
	idA + ".0.+0.0", idA + ".00.0.0", idA + ".0.0.9223372036854775808", "...", "", "\x00", idB + ".0.0.0",
}

// An executor that listed a task with a negative number ended its owner with "index out of
// range [-1]", and each owner after it.
func TestReportOfOddTasksEndsNoOwner(t *testing.T) {
	Convey("Given an executor that lists tasks that do not exist", t, func() {
		sim := newSimulation(2, 1)
		sim.submit(idA, newSubmission(longRunning(1)))
		sim.run(time.Second)
		e := sim.executors[0]
		for _, name := range oddTaskNames {
			report := provider.HeartbeatReport{Clock: e.clock(sim.now), StartTimeMs: e.instance}
			for _, r := range e.allRuns() {
				report.Running = append(report.Running, provider.RunStatus{Task: r.task, Run: r.number})
			}
			for _, run := range []int{-1, 0, 1, math.MaxInt} {
				report.Running = append(report.Running, provider.RunStatus{Task: name, Run: run, Percent: 1e308, Measurement: 1e308})
				report.Ended = append(report.Ended, provider.RunEnd{Number: int64(len(report.Ended) + 1), Task: name, Run: run, Outcome: provider.RunDone})
			}
			sim.core.HandleHeartbeatReport(e.id, provider.HeartbeatRequest{FencingToken: sim.fencingToken}, report, sim.now, sim.now)
			sim.core.Tick(sim.now)
			sim.core.Orders(sim.now)
		}
		Convey("its owner goes on, and the task of the submission runs once", func() {
			sim.run(5 * time.Second)
			So(sim.running(idA), ShouldEqual, 1)
			So(sim.violations, ShouldBeEmpty)
		})
	})
	Convey("An end of a run that no owner has started does not complete its task", t, func() {
		sim := newSimulation(1, 1)
		sim.submit(idA, newSubmission(tasks(1, time.Second)))
		sim.core.releaseDue(0)
		sim.core.handleLateEnd(sim.core.executor("i-0", 0), provider.RunEnd{Number: 1, Task: idA + ".0.0.0", Run: -1, Outcome: provider.RunDone}, 0)
		sim.core.handleLateEnd(sim.core.executor("i-0", 0), provider.RunEnd{Number: 1, Task: idA + ".0.0.0", Run: 0, Outcome: provider.RunDone}, 0)
		So(sim.core.findTask(idA+".0.0.0").phase, ShouldEqual, taskPending)
	})
}

// A loan with a negative step ended the owner; one with a high occurrence kept all earlier
// occurrences from being created.
func TestOddLoanChangesNothing(t *testing.T) {
	Convey("Given a submission with three occurrences", t, func() {
		sim := newSimulation(2, 1)
		s := newSubmission(tasks(1, 100*time.Millisecond))
		s.Occurrences, s.IntervalMs = 3, 1
		sim.submit(idA, s)
		for _, loan := range []cell.Loan{
			{Step: -1, Run: 1}, {Index: -1, Run: 1}, {Occurrence: -1, Run: 1}, {Occurrence: 3, Run: 1}, {Occurrence: math.MaxInt, Run: 1},
			{Step: 1, Run: 1}, {Index: 1, Run: 1}, {Run: -1}, {Run: math.MaxInt},
			{Run: 1, Crashes: -1}, {Run: 1, Crashes: math.MaxInt}, {Run: 1, Suspicion: math.NaN()}, {Run: 1, Suspicion: 2}, {Run: 1, CrashAgeMs: -1}, {Run: 1, CrashAgeMs: math.MaxInt64},
		} {
			sim.core.MarkLent(idA, loan)
			sim.core.TakeBack(idA, loan)
			sim.core.MarkReturned(idA, loan)
			sim.core.Borrow(idB, s, []cell.Loan{loan}, sim.now)
		}
		Convey("its tasks run, and none is borrowed", func() {
			So(sim.runUntil(10*time.Second, func() bool { return sim.publishedStates[idA] == submission.Completed }), ShouldBeTrue)
			So(sim.starts, ShouldEqual, 3)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// Planning took over 15 s for 10,000 serving tasks that request nothing and so fit on one executor.
func TestRunsOfAnExecutorAreBounded(t *testing.T) {
	Convey("Given more tasks that request nothing than an executor may have", t, func() {
		for _, change := range []func(*submission.Step){
			func(*submission.Step) {},
			func(s *submission.Step) { s.LongRunning, s.Image, s.TargetMs = true, "server", 5 },
			func(s *submission.Step) { s.BestEffort, s.Image = true, "batch" },
		} {
			sim := newSimulation(2, 1)
			s := newSubmission(tasks(2*maxRuns+100, 2*time.Second))
			s.Steps[0].Size = fleet.Resources{}
			change(&s.Steps[0])
			sim.submit(idA, s)
			sim.run(1500 * time.Millisecond)
			for _, e := range sim.executors {
				So(len(e.runs), ShouldEqual, maxRuns)
			}
			So(sim.violations, ShouldBeEmpty)
		}
	})
}
