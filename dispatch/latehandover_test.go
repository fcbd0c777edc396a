package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/submission"
)

// TestLateHandover replays batch work that waited behind a queue of its cell until the end, while another cell stood idle: it
// found no room in its first seconds, and was never looked at again.
func TestLateHandover(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  submission.Step
		moves bool
	}{
		{"batch work without a run may move", tasks(4, time.Second), true},
		{"a long-running task that would fit without batch work stays", longRunning(1), false},
	} {
		Convey("In a cell that is full of batch work, "+c.name, t, func() {
			sim := newSimulation(1, 1)
			sim.core.options.Cells = 2
			sim.submit(idB, newSubmission(tasks(8, 30*time.Second)))
			sim.run(500 * time.Millisecond)
			c.step.Size = fleet.Resources{MilliCPU: 4000, MemoryMB: 500}
			s := newSubmission(c.step)
			s.AcceptedMs = sim.now.Milliseconds()
			sim.submit(idA, s)
			sim.run(handoverUntil + 100*time.Millisecond)
			seen := 0
			for range 2 * int(lateHandoverDelay/simulationStep) {
				sim.run(simulationStep)
				if slices.Contains(sim.core.HandoverCandidates(sim.now), submission.ID(idA)) {
					seen++
				}
			}
			So(seen, ShouldEqual, map[bool]int{true: 2, false: 0}[c.moves])
		})
	}
}
