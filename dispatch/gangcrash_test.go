package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGangInOneLoss guards against a gang that is given up since several executors with its
// members crashed together: that is one event, and no crash of a second start.
func TestGangInOneLoss(t *testing.T) {
	Convey("Given a gang on several executors that has just started", t, func() {
		sim := newSimulation(6, 1)
		sim.run(10 * time.Second)
		gang := tasks(3, 4*time.Second)
		gang.Gang, gang.MaxPerExecutor = true, 1
		sim.submit(idA, newSubmission(gang))
		sim.run(200 * time.Millisecond)
		So(sim.running(idA), ShouldEqual, 3)
		unit := sim.core.findTask(idA + ".0.0.0")

		Convey("when all of them crash together, one crash counts", func() {
			for _, e := range sim.executors {
				if len(e.runs) > 0 {
					e.crash()
					e.start(sim.now, true)
				}
			}
			sim.run(500 * time.Millisecond)
			So(unit.crash.crashes, ShouldBeLessThanOrEqualTo, 1)
			So(sim.publishedStates[idA].IsFinal(), ShouldBeFalse)
		})
	})
}
