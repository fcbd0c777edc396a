package dispatch

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRestartIsLogged guards against a run whose loss the log can't explain: it must tell
// which instance accepted it, when the owner learned of the restart, and which run it
// expected.
func TestRestartIsLogged(t *testing.T) {
	Convey("Given an executor that restarts between two heartbeats", t, func() {
		sim := newSimulation(1, 1)
		sim.run(30 * time.Second)
		e := sim.executors[0]
		e.nextHeartbeatAt = sim.now + time.Second
		e.crash()
		e.start(sim.now, true)

		Convey("a start that the new instance accepts is logged, and so is its first report", func() {
			sim.submit(idA, newSubmission(tasks(2, 5*time.Second)))
			sim.run(time.Second + 2*simulationStep)
			lines := strings.Join(sim.trace, "\n")
			So(lines, ShouldContainSubstring, "other instance")
			So(lines, ShouldContainSubstring, "accepted a start at clock")
			So(lines, ShouldContainSubstring, "before at 1 ms; expects 2 runs, lists 2 of them")
		})
		Convey("a run that is not expected is logged with the expected one", func() {
			e.runs[idB+".0.0.0"] = &fakeRun{task: idB + ".0.0.0", number: 1, endsAt: sim.now + time.Hour}
			e.grant(1<<40, sim.now)
			sim.accepted[idB] = newSubmission(tasks(1, 0))
			sim.run(time.Second + 2*simulationStep)
			So(strings.Join(sim.traceOf("stray"), "\n"), ShouldContainSubstring, "unknown task")
		})
	})
}
