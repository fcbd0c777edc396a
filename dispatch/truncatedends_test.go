package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/submission"
)

// TestTruncatedEnds guards against a second start of tasks that are done: executors list some
// of their ends at a time, and a run that is in no list may have ended. All tasks end while their
// executor is cut off for less than its lease.
func TestTruncatedEnds(t *testing.T) {
	const count = 8
	for _, c := range []struct {
		name   string
		listed int // number of ends that an executor lists at a time
		length time.Duration
		lost   bool                                    // the answers to the starts
		during func(sim *simulation)                   // at the start of the cut
		after  func(sim *simulation)                   // when the cut ends
		later  map[time.Duration]func(sim *simulation) // after its end
	}{
		{name: "one end at a time", listed: 1},
		{name: "three ends at a time", listed: 3},
		{name: "as many ends as are listed", listed: count},
		{name: "answers to the starts are lost", listed: 3, lost: true},
		{name: "a new owner", listed: 3, after: (*simulation).takeOver},
		{name: "a new owner that has to wait for the store", listed: 3,
			after: func(sim *simulation) { sim.takeOver(); sim.storeAway = true },
			later: map[time.Duration]func(sim *simulation){1500 * time.Millisecond: func(sim *simulation) { sim.storeAway = false }}},
		{name: "a new owner between two lists", listed: 3,
			later: map[time.Duration]func(sim *simulation){100 * time.Millisecond: (*simulation).takeOver, 700 * time.Millisecond: (*simulation).takeOver}},
		{name: "the store is away", listed: 3, during: func(sim *simulation) { sim.storeAway = true },
			later: map[time.Duration]func(sim *simulation){2 * time.Second: func(sim *simulation) { sim.storeAway = false }}},
		{name: "the store is slow", listed: 1, during: func(sim *simulation) { sim.storeLatency = 400 * time.Millisecond }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(3, 1)
			sim.maxListedEnds = c.listed
			sim.callTimeout, sim.executionDelay = 400*time.Millisecond, func() time.Duration { return 0 }
			sim.run(2 * time.Second)
			if c.lost {
				sim.lossRate = 1
			}
			sim.submit(idA, newSubmission(tasks(3*count, 800*time.Millisecond)))
			if !sim.runUntil(time.Second, func() bool { return sim.running(idA) == 3*count }) {
				t.Fatalf("%d tasks run, want %d", sim.running(idA), 3*count)
			}
			for _, e := range sim.executors {
				e.partitioned = true
			}
			sim.lossRate = 0
			if c.during != nil {
				c.during(sim)
			}
			sim.run(3 * time.Second)
			for _, e := range sim.executors {
				e.partitioned = false
			}
			if c.after != nil {
				c.after(sim)
			}
			for end := sim.now; sim.now < end+8*time.Second; {
				if f := c.later[sim.now-end]; f != nil {
					f(sim)
				}
				sim.run(simulationStep)
			}
			if sim.starts != 3*count || !sim.publishedStates[idA].IsFinal() || len(sim.violations) > 0 {
				t.Errorf("%d starts of %d tasks, state %v, violations %v\n%s", sim.starts, 3*count, sim.publishedStates[idA], sim.violations, strings.Join(sim.traceOf(idA), "\n"))
			}
		})
	}
}

// TestReportsWhileEndsCannotBeStored guards against a heartbeat at each step for a start without an
// answer: while the store is away, an executor with more ends than it lists returns the same ones.
func TestReportsWhileEndsCannotBeStored(t *testing.T) {
	const away = 3 * time.Second
	sim := newSimulation(1, 1)
	sim.maxListedEnds = 1
	sim.callTimeout, sim.executionDelay = 400*time.Millisecond, func() time.Duration { return 0 }
	sim.run(2 * time.Second)
	sim.lossRate = 1
	sim.submit(idA, newSubmission(tasks(8, 200*time.Millisecond)))
	sim.run(100 * time.Millisecond)
	sim.lossRate, sim.storeAway = 0, true
	before := sim.executors[0].reports
	sim.run(away)
	if n, most := sim.executors[0].reports-before, int(away/heartbeatInterval)+2; n > most {
		t.Errorf("%d reports in %v, want at most %d", n, away, most)
	}
	sim.storeAway = false
	if !sim.runUntil(8*time.Second, func() bool { return sim.publishedStates[idA].IsFinal() }) || sim.starts != 8 || len(sim.violations) > 0 {
		t.Errorf("%d starts of 8 tasks, state %v, violations %v", sim.starts, sim.publishedStates[idA], sim.violations)
	}
}

// TestEndsBeforeFirstReport guards against runs that count as lost with an earlier instance of their
// executor although the new instance has carried them out and ended before its first report: failed
// ones were not counted, and of those that are done and not listed yet the tasks started again.
func TestEndsBeforeFirstReport(t *testing.T) {
	for _, c := range []struct {
		name   string
		count  int
		listed int // number of ends that the executor lists at a time
		fails  bool
		starts int
		state  submission.State
	}{
		{name: "done", count: 8, listed: simulationListedEnds, starts: 8, state: submission.Completed},
		{name: "done, one end at a time", count: 8, listed: 1, starts: 8, state: submission.Completed},
		{name: "failed", count: 1, listed: simulationListedEnds, fails: true, starts: 3, state: submission.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 1)
			sim.maxListedEnds = c.listed
			sim.fails = func(*fakeExecutor, string) bool { return c.fails }
			sim.run(2 * time.Second)
			e := sim.executors[0]
			e.nextHeartbeatAt = sim.now + 300*time.Millisecond
			e.crash()
			e.start(sim.now, true)
			sim.submit(idA, newSubmission(tasks(c.count, 50*time.Millisecond)))
			sim.run(20 * time.Second)
			if sim.starts != c.starts || sim.publishedStates[idA] != c.state || len(sim.violations) > 0 {
				t.Errorf("%d starts, want %d; state %v, want %v; violations %v\n%s", sim.starts, c.starts, sim.publishedStates[idA], c.state,
					sim.violations, strings.Join(sim.traceOf(idA), "\n"))
			}
		})
	}
}

// TestModelTruncatedEnds simulates random faults with executors that list few ends at a time.
func TestModelTruncatedEnds(t *testing.T) {
	const seeds = 100
	for listed := 1; listed <= 3; listed++ {
		t.Run(fmt.Sprintf("%d ends at a time", listed), func(t *testing.T) {
			t.Parallel()
			steps := 0
			for seed := range uint64(seeds) {
				sim := newSimulation(6, seed)
				sim.maxListedEnds = listed
				sim.failRate, sim.takeoverRate, sim.storeAwayRate = 0.02, 0.1, 0.1
				sim.callTimeout, sim.executionDelay = 400*time.Millisecond, func() time.Duration { return 0 }
				sim.lossRate = float64(seed%3) * 0.02
				sim.onFault = func() { // a cut that is shorter than the lease
					e := sim.executors[sim.rng.IntN(len(sim.executors))]
					if e.up && !e.partitioned {
						e.partitioned = true
						sim.run(time.Duration(1+sim.rng.IntN(4)) * time.Second)
						e.partitioned = false
						if other := sim.executors[sim.rng.IntN(len(sim.executors))]; other.up && sim.rng.IntN(4) == 0 { // it starts again under its ID
							other.crash()
							other.start(sim.now, true)
						}
					}
				}
				steps += checkModel(t, sim, seed)
			}
			t.Logf("%d seeds, %d steps", seeds, steps)
		})
	}
}
