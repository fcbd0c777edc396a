package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// longestIdleTime runs a simulation until a submission has ended, for at most d, and returns the
// longest time for which none of its tasks was running.
func (sim *simulation) longestIdleTime(id string, d time.Duration) time.Duration {
	idle, longest := time.Duration(0), time.Duration(0)
	sim.runUntil(d, func() bool {
		idle += simulationStep
		if sim.running(id) > 0 {
			idle = 0
		}
		longest = max(longest, idle)
		return sim.publishedStates[submission.ID(id)].IsFinal()
	})
	return longest
}

// newCellOfHarmfulImage returns a served cell whose model is certain that the image "heavy"
// harms all servers.
func newCellOfHarmfulImage(seed uint64) *simulation {
	sim := newServedCell(seed)
	sim.core.SetPeerModel(1, knownEffects(20, "heavy"))
	sim.run(fitTime)
	return sim
}

// TestRetryWithoutOtherExecutor guards against a failed task that never starts again since only
// the executor on which it failed satisfies its constraints or has room.
func TestRetryWithoutOtherExecutor(t *testing.T) {
	Convey("Given a cell of one executor, on which the first run of a task fails", t, func() {
		sim := newSimulation(1, 1)
		failures := 0
		sim.fails = func(*fakeExecutor, string) bool { failures++; return failures == 1 }
		sim.submit(idA, newSubmission(tasks(1, 500*time.Millisecond)))

		Convey("the task is started again in time", func() {
			So(sim.longestIdleTime(idA, 20*time.Second), ShouldBeLessThan, maxIdleTime)
			So(sim.publishedStates[idA], ShouldEqual, submission.Completed)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// TestOverdueSubmissionsBeyondExecutors guards against best-effort work that waits without bound
// behind overdue runs that make no progress.
func TestOverdueSubmissionsBeyondExecutors(t *testing.T) {
	Convey("Given executors whose servers stay above their targets", t, func() {
		sim := newServedCell(1)
		for _, e := range sim.executors {
			e.hot = true
		}
		sim.run(time.Second)

		Convey("each of more best-effort submissions than executors has a run in time", func() {
			var ids []string
			for i := range 9 {
				ids = append(ids, fmt.Sprintf("%016x", 0xb00+i))
				sim.submit(ids[i], newSubmission(bestEffortTasks(1, "heavy", fleet.Resources{MilliCPU: 1000, MemoryMB: 300}, time.Hour)))
			}
			sim.run(maxIdleTime)
			for _, id := range ids {
				So(sim.running(id), ShouldEqual, 1)
			}
		})
	})
}

// TestLastingBestEffortTaskIsStarved guards against long-running best-effort tasks that never run
// since others of their submission do.
func TestLastingBestEffortTaskIsStarved(t *testing.T) {
	Convey("Given long-running best-effort tasks of an image that is expected to harm all servers", t, func() {
		sim := newCellOfHarmfulImage(1)
		lasting := bestEffortTasks(4, "heavy", fleet.Resources{MilliCPU: 500, MemoryMB: 500}, 0)
		lasting.LongRunning = true
		sim.submit(idB, newSubmission(lasting))

		Convey("all of them run in time", func() {
			So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idB) == 4 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// TestAdviceForHarmfulImage guards against best-effort work that never runs since no advice is
// requested for executors that are refused for harm.
func TestAdviceForHarmfulImage(t *testing.T) {
	Convey("Given a queue that needs advice and an image that is expected to harm all servers", t, func() {
		sim := newCellOfHarmfulImage(1)
		sim.advisor = &fakeAdvisor{}
		for _, e := range sim.executors {
			sim.advisor.allowed = append(sim.advisor.allowed, e.id)
		}
		sim.submit(idB, newSubmission(bestEffortTasks(2, "heavy", fleet.Resources{MilliCPU: 1000, MemoryMB: 500}, time.Second)))
		sim.core.jobs[idB].needsAdvice = true

		Convey("its tasks run", func() {
			sim.runUntil(20*time.Second, func() bool { return sim.publishedStates[idB] == submission.Completed })
			So(sim.publishedStates[idB], ShouldEqual, submission.Completed)
		})
	})
}

// TestLostRunKeepsSubmissionFromRunning guards against a submission that is not overdue because of
// a run on an executor that has crashed.
func TestLostRunKeepsSubmissionFromRunning(t *testing.T) {
	Convey("Given an overdue submission whose only run is on an executor that crashes", t, func() {
		sim := newCellOfHarmfulImage(1)
		sim.submit(idB, newSubmission(bestEffortTasks(8, "heavy", fleet.Resources{MilliCPU: 1000, MemoryMB: 500}, time.Hour)))
		So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idB) > 0 }), ShouldBeTrue)
		sim.run(time.Second)
		for _, e := range sim.executors {
			for _, r := range e.allRuns() {
				if strings.HasPrefix(r.task, idB+".") {
					e.crash()
				}
			}
		}
		So(sim.running(idB), ShouldEqual, 0)

		Convey("another of its tasks is started in time", func() {
			So(sim.longestIdleTime(idB, 15*time.Second), ShouldBeLessThan, maxReportAge+maxIdleTime)
		})
	})
}

// TestPoisonPausesAllExecutors guards against work that waits for executors on which only tasks
// have failed that fail everywhere.
func TestPoisonPausesAllExecutors(t *testing.T) {
	Convey("Given a cell in which tasks that fail everywhere have failed on all executors", t, func() {
		sim := newSimulation(6, 1)
		sim.fails = func(_ *fakeExecutor, task string) bool { return !strings.HasPrefix(task, idB+".") }
		for i := range 30 {
			sim.submit(fmt.Sprintf("%016x", 0xa00+i), newSubmission(tasks(4, 100*time.Millisecond)))
		}
		sim.run(4 * time.Second)

		Convey("another submission is started in time", func() {
			sim.submit(idB, newSubmission(tasks(4, 500*time.Millisecond)))
			So(sim.longestIdleTime(idB, 40*time.Second), ShouldBeLessThan, maxIdleTime)
			So(sim.publishedStates[idB], ShouldEqual, submission.Completed)
		})
	})
}

// TestHandoversRestartTheWait guards against work that is refused in all cells and handed over
// between them without end, since each counts the time that it waits anew.
func TestHandoversRestartTheWait(t *testing.T) {
	Convey("Given two cells that refuse a best-effort image for harm, and expect room in the other one", t, func() {
		cells := []*simulation{newCellOfHarmfulImage(1), newCellOfHarmfulImage(2)}
		for _, sim := range cells {
			sim.core.options.Cells = len(cells)
		}
		s := newSubmission(bestEffortTasks(1, "heavy", fleet.Resources{MilliCPU: 1000, MemoryMB: 500}, time.Second))
		s.AcceptedMs = cells[0].now.Milliseconds()
		at := 0
		cells[at].submit(idB, s)

		Convey("it runs", func() {
			started := false
			for end := cells[0].now + 20*time.Second; cells[0].now < end && !started; {
				for i, sim := range cells {
					sim.run(simulationStep)
					started = started || sim.running(idB) > 0
					for _, id := range sim.core.HandoverCandidates(sim.now) {
						if i == at && sim.core.BeginHandover(id) {
							sim.core.FinishHandover(id)
							delete(sim.accepted, id)
							at = 1 - at
							cells[at].submit(idB, s)
							break
						}
					}
				}
			}
			So(started, ShouldBeTrue)
		})
	})
}

// TestWorkWithoutExecutorsInItsCell guards against a submission that waits for ever in a cell
// without executors of the label that its tasks require.
func TestWorkWithoutExecutorsInItsCell(t *testing.T) {
	Convey("Given one of two cells, and a submission that requires a label that it lacks", t, func() {
		sim := newSimulation(2, 1)
		sim.core.options.Cells = 2
		step := tasks(1, time.Second)
		step.RequiredLabel = "elsewhere"
		sim.submit(idB, newSubmission(step))
		sim.submit(idC, newSubmission(tasks(1, time.Second)))

		Convey("it is offered to the other cell for as long as it waits", func() {
			sim.run(20 * time.Second)
			So(sim.core.HandoverCandidates(sim.now), ShouldResemble, []submission.ID{idB})
			So(sim.core.HandoverCandidates(sim.now), ShouldBeEmpty)
			sim.run(handoverRetryDelay)
			So(sim.core.HandoverCandidates(sim.now), ShouldResemble, []submission.ID{idB})
		})
	})
	Convey("The labels of a cell include those of executors that accept no work now", t, func() {
		sim := newSimulation(2, 1)
		sim.run(time.Second)
		sim.core.SetEvacuated(map[string]bool{"d": true})
		_, _, _, labels := sim.core.FreeCapacity(sim.now)
		So(labels, ShouldResemble, []string{"a", "r1"})
	})
}

// TestOwnersRestartTheHandover guards against long-running work of which nothing runs while owners
// change, since each one waits anew for a cell with room for all of its tasks.
func TestOwnersRestartTheHandover(t *testing.T) {
	Convey("Given one of two cells, with room for some of the tasks of a long-running submission", t, func() {
		sim := newSimulation(2, 1)
		sim.core.options.Cells = 2
		lasting := longRunning(4)
		lasting.Size = fleet.Resources{MilliCPU: 5000, MemoryMB: 500}
		s := newSubmission(lasting)
		s.AcceptedMs = sim.now.Milliseconds() + 1
		sim.submit(idB, s)

		Convey("these run although each owner lasts for less than handoverUntil", func() {
			for range 6 {
				sim.run(handoverUntil - time.Second)
				sim.takeOver()
				sim.core.options.Cells = 2
			}
			So(sim.running(idB), ShouldEqual, 2)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// TestFailedTaskKeepsOthersWaiting guards against tasks that wait behind one that may not use the only
// executor with room, for as long as others of their submission run.
func TestFailedTaskKeepsOthersWaiting(t *testing.T) {
	Convey("Given a submission with a long task, and tasks that wait since two executors are full", t, func() {
		sim := newSimulation(2, 1)
		room := sim.executors[0].size
		sim.executors[0].size.MilliCPU = 500
		sim.submit(idA, newSubmission(sized(longRunning(1), 8000)))
		sim.submit(idB, newSubmission(tasks(3, 500*time.Millisecond), sized(tasks(1, time.Hour), 400)))
		sim.run(2 * time.Second)
		So(sim.running(idA), ShouldEqual, 1)
		So(sim.running(idB), ShouldEqual, 1)

		Convey("when an executor on which the first of them has failed gets room, the others run there", func() {
			waiting := sim.core.jobs[idB].occurrence(0).steps[0].waiting
			So(len(waiting), ShouldEqual, 3)
			waiting[0].avoidExecutor, waiting[1].avoidExecutor = "i-0", "i-1"
			waiting[2].avoidExecutor = "i-0"
			sim.executors[0].size = room
			So(sim.runUntil(maxIdleTime, func() bool { return sim.completed[idB+".0.0.1"] }), ShouldBeTrue)
			So(len(sim.core.jobs[idB].occurrence(0).steps[0].waiting), ShouldEqual, 2)

			Convey("and it returns there if no other gets room", func() {
				So(sim.runUntil(2*maxAvoidedWait, func() bool { return sim.completed[idB+".0.0.0"] && sim.completed[idB+".0.0.2"] }), ShouldBeTrue)
				So(sim.violations, ShouldBeEmpty)
			})
		})
	})
}

// TestOnlyPausedExecutorCanRunWork guards against work that waits for the end of a pause although
// no other executor can ever run it.
func TestOnlyPausedExecutorCanRunWork(t *testing.T) {
	for _, c := range []struct {
		name         string
		accelerators int64
		advised      bool
	}{
		{"the others have no accelerators", 1, false},
		{"the advice service refuses the others", 0, true},
	} {
		Convey("Given an executor that is paused after failures, and work that only it can run since "+c.name, t, func() {
			sim := newSimulation(4, 1)
			only := sim.executors[3]
			only.size.Accelerators = 1
			if c.advised {
				sim.advisor = &fakeAdvisor{queue: advisedQueue, allowed: []provider.ExecutorID{only.id}}
				sim.config = policy.New(2, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3}, {Name: advisedQueue, Service: "s", MaxAttempts: 3, Advised: true}},
					[]policy.Service{{Name: "s", RejectsOverload: true}})
				sim.core.SetConfig(sim.config)
			}
			sim.fails = func(_ *fakeExecutor, task string) bool { return strings.HasPrefix(task, idA) }
			sim.run(time.Second)
			work := tasks(1, 100*time.Millisecond)
			work.Size.Accelerators = 1
			sim.submit(idA, newSubmission(work))
			So(sim.runUntil(20*time.Second, func() bool { return sim.publishedStates[idA] == submission.Failed }), ShouldBeTrue)
			So(sim.core.executors[only.id].breaker.until, ShouldBeGreaterThan, sim.now+maxIdleTime)

			Convey("it is started there in time", func() {
				work.Size.Accelerators = c.accelerators
				sim.submitTo(map[bool]string{false: "q", true: advisedQueue}[c.advised], idB, newSubmission(work))
				So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idB) > 0 }), ShouldBeTrue)
				So(sim.violations, ShouldBeEmpty)
			})
		})
	}
}
