package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBreaker guards against pauses that are longer than what the executor's runs tell.
func TestBreaker(t *testing.T) {
	type event struct {
		started, at float64 // s
		done        bool
		until       float64 // end of the pause after the event, s; 0 for none
	}
	for _, c := range []struct {
		name   string
		events []event
	}{
		{"one failure", []event{{1, 2, false, 0}}},
		{"a success between failures", []event{{1, 2, false, 0}, {1, 2, true, 0}, {1, 2, false, 0}}},
		{"many runs fail at once", []event{{1, 4, false, 0}, {1, 4, false, 7}, {1, 4, false, 7}, {3, 4, false, 7}, {2, 5, false, 7}}},
		{"later runs fail as well", []event{{1, 4, false, 0}, {1, 4, false, 7}, {8, 9, false, 15}, {8, 10, false, 15}, {16, 17, false, 29}, {30, 31, false, 51}, {52, 53, false, 73}}},
	} {
		Convey(fmt.Sprintf("With %s, a pause lasts as long as expected", c.name), t, func() {
			seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
			b := &breaker{}
			for _, e := range c.events {
				if e.done {
					b.recordSuccess()
				} else {
					b.recordFailure(seconds(e.started), seconds(e.at))
				}
				So(b.until, ShouldEqual, seconds(e.until))
			}
		})
	}
}

// TestRunsThatFailTogether guards against a pause that grows with the number of runs that an
// executor had when it began to fail.
func TestRunsThatFailTogether(t *testing.T) {
	Convey("Given two executors that are full of tasks", t, func() {
		sim := newSimulation(2, 1)
		sim.submit(idA, newSubmission(tasks(60, time.Hour)))
		sim.run(time.Second)
		e := sim.executors[0]
		So(len(e.runs), ShouldBeGreaterThan, 5)

		Convey("when all runs of one fail at once, it gets work again after the shortest pause", func() {
			for _, r := range e.allRuns() {
				e.end(r, "failed", sim.now)
			}
			sim.run(avoidPause / 2)
			So(e.runs, ShouldBeEmpty)
			So(sim.runUntil(avoidPause, func() bool { return len(e.runs) > 0 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}
