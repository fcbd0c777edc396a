package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestTwoRunsAfterRestart guards against two runs of a task at the same time: executors
// are cut off, crash and start again under their IDs behind the cut, and new instances
// accept starts before their first report. The owner may have noticed nothing until then.
func TestTwoRunsAfterRestart(t *testing.T) {
	t.Parallel()
	const never = time.Hour
	ms := time.Millisecond
	cases := 0
	for _, downtime := range []time.Duration{0, 100 * ms, 600 * ms} {
		for _, cut := range []time.Duration{0, 300 * ms, 1500 * ms} {
			for _, heartbeatTimeout := range []time.Duration{0, 1800 * ms} {
				for _, lossRate := range []float64{0, 0.3} {
					for _, takeover := range []time.Duration{400 * ms, 1600 * ms, never} {
						name := fmt.Sprintf("down for %v, cut off for %v, heartbeats fail after %v, %v of the answers lost, takeover after %v",
							downtime, cut, heartbeatTimeout, lossRate, takeover)
						for seed := range uint64(3) {
							runRestartBehindCut(t, name, seed, downtime, cut, heartbeatTimeout, lossRate, takeover)
							cases++
						}
					}
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}

func runRestartBehindCut(t *testing.T, name string, seed uint64, downtime, cut, heartbeatTimeout time.Duration, lossRate float64, takeover time.Duration) {
	sim := newSimulation(6, seed)
	sim.callTimeout, sim.dialsWait = 400*time.Millisecond, true
	sim.heartbeatTimeout = heartbeatTimeout
	sim.executionDelay = func() time.Duration { return 0 }
	sim.submit(idB, newSubmission(longRunning(12)))
	sim.run(20*time.Second + time.Duration(sim.rng.IntN(12))*simulationStep)
	fault := sim.now
	for sim.now < fault+4*time.Second {
		for _, e := range sim.executors[:2] {
			if sim.now == fault {
				e.crash()
				e.partitioned = cut > 0
				sim.lossRate = lossRate
			}
			if sim.now-fault == downtime {
				e.start(sim.now, true)
			}
			if sim.now-fault == max(cut, downtime) {
				e.partitioned = false
			}
		}
		if sim.now-fault == takeover {
			sim.takeOver()
		}
		if sim.rng.IntN(4) == 0 {
			sim.submit(fmt.Sprintf("%016x", 0x1000+sim.now.Milliseconds()), newSubmission(tasks(3, 600*time.Millisecond)))
		}
		sim.run(simulationStep)
	}
	sim.lossRate = 0
	sim.run(20 * time.Second)
	for id := range sim.accepted {
		if id != idB && !sim.publishedStates[id].IsFinal() {
			sim.addViolation("submission %s is %v", id, sim.publishedStates[id])
		}
	}
	if n := sim.running(idB); n != 12 {
		sim.addViolation("%d of 12 long-running tasks run", n)
	}
	if len(sim.violations) > 0 {
		task := strings.Fields(sim.violations[0])[1]
		t.Errorf("%s, seed %d: %v\n%s", name, seed, sim.violations, strings.Join(sim.traceOf(task), "\n"))
	}
}

// TestModelRestarts simulates random faults with executors that restart under their IDs
// within moments, heartbeats that hang, and calls that reach an executor after a cut.
func TestModelRestarts(t *testing.T) {
	t.Parallel()
	const seeds = 150
	steps, restarts := 0, 0
	for seed := range uint64(seeds) {
		sim := newSimulation(8, seed)
		sim.callTimeout, sim.dialsWait = 400*time.Millisecond, true
		sim.heartbeatTimeout = time.Duration(sim.rng.IntN(3)) * 600 * time.Millisecond
		sim.failRate = 0.02
		sim.onFault = func() {
			for _, e := range sim.executors[:sim.rng.IntN(4)] {
				if e.up {
					e.crash()
					e.start(sim.now, true)
					restarts++
				}
			}
		}
		steps += checkModel(t, sim, seed)
	}
	t.Logf("%d seeds, %d steps, %d restarts", seeds, steps, restarts)
}
