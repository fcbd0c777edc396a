package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

var smallBacklogTask = fleet.Resources{MilliCPU: 1000, MemoryMB: 300}

// newBacklogCell returns a cell whose processors long best-effort work holds.
func newBacklogCell(seed uint64) *simulation {
	sim := newServedCellOf(2, seed)
	sim.storeLatency = 200 * time.Millisecond
	sim.core.SetPeerModel(1, knownEffects(0, "long", "small", "wide"))
	sim.run(fitTime)
	sim.submit(idC, newSubmission(bestEffortTasks(4, "long", fleet.Resources{MilliCPU: 3400, MemoryMB: 800}, time.Hour)))
	sim.run(time.Second)
	return sim
}

func (sim *simulation) submitBacklog(count int) {
	for i := range count {
		length := time.Duration(700+100*(i%6)) * time.Millisecond
		s := newSubmission(bestEffortTasks(20, "small", smallBacklogTask, length))
		s.AcceptedMs = sim.now.Milliseconds()
		sim.submit(fmt.Sprintf("%016x", 0xd00+i), s)
	}
}

// longestIdle returns the longest time without a run of a submission in d, and calls each every period.
func (sim *simulation) longestIdle(id string, d, period time.Duration, each func()) time.Duration {
	idle, longest, next := time.Duration(0), time.Duration(0), sim.now+period
	sim.runUntil(d, func() bool {
		if period > 0 && sim.now >= next {
			each()
			next = sim.now + period
		}
		idle += simulationStep
		if sim.running(id) > 0 {
			idle = 0
		}
		longest = max(longest, idle)
		return sim.publishedStates[submission.ID(id)].IsFinal()
	})
	return longest
}

// TestTakeoversRestartTheTurns guards against a wide step that waits without a bound behind a backlog,
// since each owner starts with the order of rank again.
func TestTakeoversRestartTheTurns(t *testing.T) {
	for _, load := range []struct {
		backlog int
		period  time.Duration
		most    time.Duration // the longest wait allowed
	}{
		{40, 0, maxBacklogWait}, {40, 10 * time.Second, maxBacklogWait}, {40, 5 * time.Second, maxBacklogWait}, {40, 3 * time.Second, maxBacklogWait},
		{160, 0, 2 * maxBacklogWait}, {160, 12 * time.Second, 3 * maxBacklogWait},
	} {
		for seed := range uint64(2) {
			sim, period := newBacklogCell(seed), load.period
			wide := newSubmission(bestEffortTasks(17, "wide", smallBacklogTask, 3*time.Second))
			wide.AcceptedMs = sim.now.Milliseconds()
			sim.submit(idB, wide)
			sim.run(100 * time.Millisecond)
			sim.submitBacklog(load.backlog)
			longest := sim.longestIdle(idB, 60*time.Second, period, func() {
				sim.takeOver()
				sim.core.SetPeerModel(1, knownEffects(0, "long", "small", "wide"))
			})
			t.Logf("backlog %d, takeover every %v, seed %d: longest wait %v", load.backlog, period, seed, longest)
			if longest >= load.most {
				t.Errorf("backlog %d, takeover every %v, seed %d: no task of the wide step ran for %v", load.backlog, period, seed, longest)
			}
		}
	}
}

// TestUrgentWorkWaitsBehindBatchWork guards against urgent overdue work that gets only the room that work
// of lower priority leaves.
func TestUrgentWorkWaitsBehindBatchWork(t *testing.T) {
	for seed := range uint64(2) {
		sim := newServedCell(seed)
		sim.config = policy.New(2, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Priority: 5}, {Name: "urgent", Service: "s", MaxAttempts: 3, Priority: 0}},
			[]policy.Service{{Name: "s", RejectsOverload: true}})
		sim.core.SetConfig(sim.config)
		sim.core.SetPeerModel(1, knownEffects(20, "heavy"))
		sim.run(fitTime)
		for i := range 40 {
			sim.submit(fmt.Sprintf("%016x", 0xd00+i), newSubmission(func() submission.Step {
				s := tasks(60, time.Duration(700+100*(i%6))*time.Millisecond)
				s.Size = fleet.Resources{MilliCPU: 900, MemoryMB: 1150}
				return s
			}()))
		}
		sim.run(time.Second)
		sim.submitTo("urgent", idB, newSubmission(bestEffortTasks(4, "heavy", fleet.Resources{MilliCPU: 500, MemoryMB: 1000}, time.Second)))
		longest := sim.longestIdle(idB, 40*time.Second, 0, nil)
		left := 0
		for id := range sim.accepted {
			if !sim.publishedStates[id].IsFinal() {
				left++
			}
		}
		t.Logf("seed %d: longest wait %v, state %v, %d others left", seed, longest, sim.publishedStates[idB], left)
		if longest >= maxBacklogWait+maxIdleTime {
			t.Errorf("seed %d: urgent work did not run for %v", seed, longest)
		}
	}
}

// TestFailedGangWaitsBehindBatchWork guards against a gang that gets only the room that smaller work
// leaves, since one of its tasks has failed on the only executor that it can use.
func TestFailedGangWaitsBehindBatchWork(t *testing.T) {
	for seed := range uint64(2) {
		sim := newSimulation(1, seed)
		failures := 0
		sim.fails = func(_ *fakeExecutor, task string) bool {
			if task[:16] != idB {
				return false
			}
			failures++
			return failures <= 2
		}
		gang := tasks(2, 500*time.Millisecond)
		gang.Gang = true
		sim.submit(idB, newSubmission(gang))
		sim.run(200 * time.Millisecond)
		for i := range 40 {
			sim.submit(fmt.Sprintf("%016x", 0xd00+i), newSubmission(tasks(40, time.Duration(700+100*(i%6))*time.Millisecond)))
		}
		idle := sim.longestIdle(idB, 60*time.Second, 0, nil)
		done := sim.publishedStates[idB]
		t.Logf("seed %d: failures seen %d, longest wait %v, state %v", seed, failures, idle, done)
		if !done.IsFinal() {
			t.Errorf("seed %d: the gang did not run for %v", seed, idle)
		}
	}
}

// TestAdviceForLowRank guards against work that never runs behind a backlog since the advice service is
// asked in the order of rank.
func TestAdviceForLowRank(t *testing.T) {
	for _, backlog := range []int{0, 10, 20, 40} {
		sim := newBacklogCell(1)
		sim.advisor = &fakeAdvisor{queue: "advised"}
		for _, e := range sim.executors {
			sim.advisor.allowed = append(sim.advisor.allowed, e.id)
		}
		sim.config = policy.New(2, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3}, {Name: "advised", Service: "s", MaxAttempts: 3, Advised: true}},
			[]policy.Service{{Name: "s", RejectsOverload: true}})
		sim.core.SetConfig(sim.config)
		sim.submitTo("advised", idB, newSubmission(bestEffortTasks(17, "wide", smallBacklogTask, 3*time.Second)))
		for i := range backlog {
			sim.submitTo("advised", fmt.Sprintf("%016x", 0xd00+i), newSubmission(bestEffortTasks(20, "small", smallBacklogTask, time.Second)))
		}
		longest := sim.longestIdle(idB, 60*time.Second, 0, nil)
		t.Logf("backlog %d: longest wait %v, refusals of tickets %d, asked %d", backlog, longest, sim.advisor.refusals, sim.advisor.executorsAsked)
		if longest >= 2*maxBacklogWait {
			t.Errorf("backlog of %d: no task of the wide step ran for %v", backlog, longest)
		}
	}
}

// longestLost returns the longest time for which no task of a submission ran while under half of the
// service's capacity was in use, the mean fraction of the memory in use, and the longest time without a run.
func (sim *simulation) longestLost(id string, d time.Duration) (lost time.Duration, used float64, longest time.Duration) {
	idle, wait, steps := time.Duration(0), time.Duration(0), 0.0
	sim.runUntil(d, func() bool {
		inUse, size := fleet.Resources{}, fleet.Resources{}
		for _, e := range sim.executors {
			inUse, size = inUse.Add(e.used()), size.Add(e.size)
		}
		steps++
		used += float64(inUse.MemoryMB) / float64(size.MemoryMB)
		idle, wait = idle+simulationStep, wait+simulationStep
		if sim.running(id) > 0 {
			idle, wait = 0, 0
		}
		if 2*inUse.MilliCPU >= size.MilliCPU || 2*inUse.MemoryMB >= size.MemoryMB {
			wait = 0
		}
		lost, longest = max(lost, wait), max(longest, idle)
		return false
	})
	return lost, used / steps, longest
}

// TestShortRunsLeaveHalfOfTheCapacity guards against work that waits while under half of the capacity is in
// use, since runs are short and the owner counts them for long before they start and after they have ended.
func TestShortRunsLeaveHalfOfTheCapacity(t *testing.T) {
	for _, length := range []time.Duration{100, 200} {
		for _, latency := range []time.Duration{200, 400} {
			sim := newBacklogCell(1)
			sim.storeLatency = latency * time.Millisecond
			for i := range 250 {
				sim.submit(fmt.Sprintf("%016x", 0xd00+i), newSubmission(bestEffortTasks(20, "small", smallBacklogTask, (length+time.Duration(25*(i%9)))*time.Millisecond)))
			}
			sim.submit(idB, newSubmission(bestEffortTasks(17, "wide", smallBacklogTask, 3*time.Second)))
			sim.run(3 * time.Second)
			lost, used, longest := sim.longestLost(idB, 15*time.Second)
			t.Logf("runs of %v ms, store %v ms: no run with half free for %v, %.2f of the memory in use, longest wait %v", int(length), int(latency), lost, used, longest)
			if used < mostCapacity || lost >= maxIdleTime {
				t.Errorf("runs of %v ms, store %v ms: no run with half of the capacity free for %v, %.2f of the memory in use", int(length), int(latency), lost, used)
			}
		}
	}
}

// TestExecutorsWithoutContactHideFreeCapacity guards against work that waits since the executors that
// accept work are over half full, while under half of the service's capacity is in use.
func TestExecutorsWithoutContactHideFreeCapacity(t *testing.T) {
	for name, hide := range map[string]func(*fakeExecutor){
		"draining":    func(e *fakeExecutor) { e.draining = true },
		"partitioned": func(e *fakeExecutor) { e.partitioned = true },
	} {
		sim := newServedCell(1)
		sim.core.SetPeerModel(1, knownEffects(0, "long", "wide"))
		sim.run(fitTime)
		for _, e := range sim.executors[3:] {
			hide(e)
		}
		sim.run(6 * time.Second)
		sim.submit(idC, newSubmission(bestEffortTasks(6, "long", fleet.Resources{MilliCPU: 2900, MemoryMB: 2200}, time.Hour)))
		sim.run(3 * time.Second)
		sim.submit(idB, newSubmission(bestEffortTasks(8, "wide", fleet.Resources{MilliCPU: 1000, MemoryMB: 500}, time.Second)))
		lost, used, longest := sim.longestLost(idB, 30*time.Second)
		t.Logf("%s: long runs %d, no run with half free for %v, %.2f of the memory in use, longest wait %v", name, sim.running(idC), lost, used, longest)
		if lost >= maxIdleTime {
			t.Errorf("%s: no run with half of the capacity free for %v", name, lost)
		}
	}
}

// TestSubmissionsOfManyStepsTakeMoreTurns guards against a submission that waits behind others that get one
// turn for each of their steps.
func TestSubmissionsOfManyStepsTakeMoreTurns(t *testing.T) {
	for _, steps := range []int{1, 4, 8, 16} {
		sim := newBacklogCell(1)
		for i := range 20 {
			var s []submission.Step
			for range steps {
				s = append(s, bestEffortTasks(20, "small", smallBacklogTask, time.Second))
			}
			sim.submit(fmt.Sprintf("%016x", 0xd00+i), newSubmission(s...))
		}
		sim.submit(idB, newSubmission(bestEffortTasks(17, "wide", smallBacklogTask, 3*time.Second)))
		longest := sim.longestIdle(idB, 60*time.Second, 0, nil)
		t.Logf("%d steps each: longest wait %v", steps, longest)
		if longest >= maxBacklogWait {
			t.Errorf("%d steps each: no task of the wide step ran for %v", steps, longest)
		}
	}
}

// TestLongestWaitLosesItsTurn guards against a backlog of which those that have waited longest are not
// considered when capacity comes free, since their newest search found no executor, and others are.
func TestLongestWaitLosesItsTurn(t *testing.T) {
	for _, backlog := range []int{40, 80, 120, 160, 200} {
		sim := newBacklogCell(1)
		sim.submitBacklog(backlog)
		sim.submit(idB, newSubmission(bestEffortTasks(17, "wide", smallBacklogTask, 3*time.Second)))
		start := sim.now
		lost, used, longest := sim.longestLost(idB, 60*time.Second)
		first, second := map[string]bool{}, 0 // submissions that had a run, and runs that were not the first
		for _, line := range sim.trace {
			if f := strings.Fields(line); f[1] == "overdue" {
				if id := f[2][:16]; first[id] {
					second++
				} else {
					first[id] = true
				}
			}
		}
		t.Logf("backlog %d: in %v %d of %d submissions had an overdue run, %d others; lost %v, used %.2f, longest wait of the wide step %v", backlog, sim.now-start, len(first), backlog+1, second, lost, used, longest)
		if len(first) < backlog+1 && second > 0 {
			t.Errorf("backlog of %d: %d submissions had no overdue run while others had %d beyond their first", backlog, backlog+1-len(first), second)
		}
	}
}
