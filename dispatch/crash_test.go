package dispatch

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/provider"
)

// TestCrashIsLogged guards against a crash that can't be told from a replaced executor,
// and whose newest runs can't be found.
func TestCrashIsLogged(t *testing.T) {
	Convey("Given an executor with a run that has just started and older ones", t, func() {
		sim := newSimulation(1, 1)
		sim.run(time.Second)
		sim.submit(idB, newSubmission(longRunning(3)))
		sim.run(10 * time.Second)
		sim.submit(idA, newSubmission(tasks(1, 5*time.Second)))
		sim.run(100 * time.Millisecond)

		Convey("its crash is logged with the runs and their ages, newest first", func() {
			old := sim.executors[0]
			old.crash()
			sim.run(600 * time.Millisecond)
			old.listed = false
			sim.executors = append(sim.executors, newFakeExecutor("i-new", sim.now))
			sim.executors[1].address = old.address
			sim.run(time.Second)
			lines := strings.Join(sim.traceOf("4 runs lost, newest: "+idA+".0.0.0"), "\n")
			So(lines, ShouldContainSubstring, "crash")
			So(lines, ShouldContainSubstring, string(old.id))
			So(lines, ShouldContainSubstring, idB+".0.0.0 run 1 (10.")
		})

		Convey("the end of an executor without runs is not", func() {
			sim.core.HandleHeartbeatFailure("i-unknown", provider.HeartbeatRequest{}, provider.ErrWrongExecutor, sim.now)
			So(sim.traceOf("crash"), ShouldBeEmpty)
		})
	})
}
