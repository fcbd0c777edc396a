package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

// TestBreaker guards against pauses that are longer or shorter than what the executor's runs tell.
func TestBreaker(t *testing.T) {
	const failed, done, admitted = 0, 1, 2
	type event struct {
		kind        int
		started, at float64 // s
		until       float64 // end of the pause after the event, s; 0 for none
		open        bool    // after the event
	}
	for _, c := range []struct {
		name   string
		events []event
	}{
		{"one failure", []event{{failed, 1, 2, 0, false}}},
		{"a success between failures", []event{{failed, 1, 2, 0, false}, {done, 1, 2, 0, false}, {failed, 1, 2, 0, false}}},
		{"many runs that fail at once", []event{{failed, 1, 4, 0, false}, {failed, 1, 4, 7, true}, {failed, 1, 4, 7, true}, {failed, 3, 4, 7, true}, {failed, 2, 5, 7, true}}},
		{"trials that fail", []event{{failed, 1, 4, 0, false}, {failed, 1, 4, 7, true}, {failed, 8, 9, 15, true}, {failed, 8, 10, 15, true},
			{failed, 16, 17, 29, true}, {failed, 30, 31, 51, true}, {failed, 52, 53, 73, true}}},
		{"an earlier run that is done", []event{{failed, 1, 4, 0, false}, {failed, 1, 4, 7, true}, {done, 1, 8, 7, true}}},
		{"a trial that is done, and an earlier run that fails", []event{{failed, 1, 4, 0, false}, {failed, 1, 4, 7, true}, {done, 8, 9, 0, false},
			{failed, 1, 10, 0, false}, {failed, 9, 11, 0, false}, {failed, 9, 12, 15, true}}},
		{"no trial for long, and one failure", []event{{failed, 1, 4, 0, false}, {failed, 1, 4, 7, true}, {admitted, 9, 9, 7, false}, {failed, 10, 11, 17, true}}},
	} {
		Convey(fmt.Sprintf("With %s, the breaker is open as long as expected", c.name), t, func() {
			seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
			b := &breaker{}
			for _, e := range c.events {
				switch e.kind {
				case failed:
					b.recordFailure(seconds(e.started), seconds(e.at))
				case done:
					b.recordSuccess(seconds(e.started))
				case admitted:
					b.admit()
				}
				So(b.until, ShouldEqual, seconds(e.until))
				So(b.open, ShouldEqual, e.open)
				So(b.isHalfOpen(seconds(e.until)), ShouldEqual, e.open)
				So(b.isHalfOpen(seconds(e.until)-1), ShouldBeFalse)
			}
		})
	}
}

// TestRunsThatFailTogether guards against a pause that grows with the number of runs that an
// executor had when it began to fail, and against more than one run to learn whether it is well.
func TestRunsThatFailTogether(t *testing.T) {
	Convey("Given two executors that are full of tasks, and one on which all runs fail at once", t, func() {
		sim := newSimulation(2, 1)
		sim.submit(idA, newSubmission(tasks(60, time.Hour)))
		sim.run(time.Second)
		e := sim.executors[0]
		So(len(e.runs), ShouldBeGreaterThan, 5)
		for _, r := range e.allRuns() {
			e.end(r, "failed", sim.now)
		}
		sim.run(avoidPause / 2)
		So(e.runs, ShouldBeEmpty)
		So(sim.core.Stats().Held[HoldPaused], ShouldEqual, 1)

		Convey("it gets work again after the shortest pause, first one run, and then all", func() {
			So(sim.runUntil(avoidPause, func() bool { return len(e.runs) > 0 }), ShouldBeTrue)
			So(len(e.runs), ShouldEqual, 1)
			So(sim.core.Stats().Trials, ShouldEqual, 1)
			So(sim.core.Stats().Held[HoldTrial], ShouldEqual, 1)
			So(sim.runUntil(2*trialSurvival, func() bool { return len(e.runs) > 5 }), ShouldBeTrue)
			So(sim.core.Stats().Held[HoldTrial], ShouldEqual, 0)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a failed trial pauses it for twice as long", func() {
			sim.run(avoidPause)
			So(len(e.runs), ShouldEqual, 1)
			e.end(e.allRuns()[0], "failed", sim.now)
			sim.run(2*avoidPause - time.Second)
			So(e.runs, ShouldBeEmpty)
			So(sim.runUntil(2*time.Second, func() bool { return len(e.runs) > 0 }), ShouldBeTrue)
		})
		Convey("it gets work at once when it has started again", func() {
			e.crash()
			e.start(sim.now, true)
			So(sim.runUntil(avoidPause/3, func() bool { return len(e.runs) > 5 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		})
	})
	Convey("Given a paused executor, two that are full, and work that can't be a trial, it runs", t, func() {
		for _, gang := range []bool{true, false} {
			sim := newSimulation(3, 1)
			sim.config = policy.New(2, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 1}}, []policy.Service{{Name: "s", RejectsOverload: true}})
			sim.core.SetConfig(sim.config)
			sim.submit(idB, newSubmission(sized(longRunning(2), 8000)))
			sim.run(time.Second)
			for _, e := range sim.executors {
				if len(e.runs) == 0 {
					sim.core.executors[e.id].breaker = breaker{open: true, pauses: 1, openedAt: sim.now, until: sim.now + avoidPause}
				}
			}
			work := tasks(2, time.Second)
			work.Gang = gang
			sim.submit(idA, newSubmission(work))

			So(sim.runUntil(avoidPause+2*maxTrialWait, func() bool { return sim.publishedStates[idA] == submission.Completed }), ShouldBeTrue)
			So(sim.core.Stats().Trials, ShouldEqual, 0)
		}
	})
}
