package dispatch

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
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
