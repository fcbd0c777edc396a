package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/submission"
)

const (
	loadExecutors = 66
	// maxClassWork is the work of a plan for a class of steps in these loads: the bound, and one step of 200 tasks.
	maxClassWork = maxPlanWork + 200*loadExecutors
)

// planLoad is work that callers may send and that the executors can't take, or not all at once.
type planLoad struct {
	name   string
	submit func(sim *simulation)
}

var planLoads = []planLoad{
	{"10,000 overdue occurrences that no executor suits", func(sim *simulation) {
		sim.submit(loadID(0), schedule(10_000, unsuitable(1)))
	}},
	{"two schedules that one executor suits", func(sim *simulation) {
		sim.executors[7].labels = []string{"rare"}
		for i := range 2 {
			sim.submit(loadID(i), schedule(10_000, withLabel("rare", tasks(1, time.Second))))
		}
	}},
	{"four submissions of 7,000 steps that no executor suits", func(sim *simulation) {
		for i := range 4 {
			sim.submit(loadID(i), newSubmission(repeated(7000, unsuitable(1))...))
		}
	}},
	{"a chain of 10,000 steps", func(sim *simulation) {
		steps := repeated(10_000, tasks(1, 30*time.Millisecond))
		for i := range steps[1:] {
			steps[i+1].DependsOn = []int{i}
		}
		sim.submit(loadID(0), newSubmission(steps...))
	}},
	{"10,000 steps that depend on the ten before", func(sim *simulation) {
		steps := repeated(10_000, tasks(1, 30*time.Millisecond))
		for i := range steps {
			for d := max(0, i-10); d < i; d++ {
				steps[i].DependsOn = append(steps[i].DependsOn, d)
			}
		}
		sim.submit(loadID(0), newSubmission(steps...))
	}},
	{"3,000 submissions with labels that no executor has", func(sim *simulation) {
		for i := range 3000 {
			sim.submit(loadID(i), newSubmission(withLabel(fmt.Sprint(i), tasks(3, time.Second))))
		}
	}},
	{"200 gangs that do not fit", func(sim *simulation) {
		for i := range 200 {
			gang := tasks(200, time.Second)
			gang.Gang, gang.MaxPerExecutor = true, 3
			sim.submit(loadID(i), newSubmission(gang))
		}
	}},
	{"6,000 steps that wait for another executor than those with their tasks", func(sim *simulation) {
		for i := range 6 {
			spread := tasks(2, time.Hour)
			spread.Size, spread.MaxPerExecutor, spread.RequiredLabel = fleet.Resources{MilliCPU: 1, MemoryMB: 1}, 1, "rare"
			sim.submit(loadID(i), newSubmission(repeated(1000, spread)...))
		}
		sim.executors[7].labels = []string{"rare"}
	}},
	{"long-running tasks that do not fit", func(sim *simulation) {
		for i := range 5 {
			large := longRunning(1)
			large.Size = fleet.Resources{MilliCPU: 1_000_000, MemoryMB: 1}
			sim.submit(loadID(i), newSubmission(repeated(1000, large)...))
		}
	}},
}

func loadID(i int) string { return fmt.Sprintf("%016x", 0x10000+i) }

func withLabel(label string, st submission.Step) submission.Step {
	st.RequiredLabel = label
	return st
}

func unsuitable(count int) submission.Step { return withLabel("none", tasks(count, time.Second)) }

func repeated(n int, st submission.Step) []submission.Step {
	out := make([]submission.Step, n)
	for i := range out {
		out[i] = st
	}
	return out
}

// schedule returns a submission whose occurrences are all overdue.
func schedule(occurrences int, st submission.Step) submission.Submission {
	s := newSubmission(st)
	s.Occurrences, s.IntervalMs, s.FirstDueMs = occurrences, 1, 1
	return s
}

// TestPlanWorkIsBounded guards against owners that lose their leases, and start nothing else, since a plan walks
// all that callers have sent. The work of a plan is counted, not timed.
func TestPlanWorkIsBounded(t *testing.T) {
	for _, load := range planLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(loadExecutors, 1)
			sim.run(10 * time.Second) // more than all first due times
			sim.submit(idA, newSubmission(longRunning(20)))
			load.submit(sim)
			most := 0
			observe := func() bool {
				most = max(most, sim.core.work)
				return false
			}
			sim.runUntil(time.Second, observe)
			for i := range 5 {
				if i == 2 {
					sim.takeOver()
				}
				id := fmt.Sprintf("%016x", 0xb0000+i)
				s := newSubmission(tasks(3, 500*time.Millisecond))
				s.AcceptedMs = sim.now.Milliseconds()
				sim.submit(id, s)
				sim.runUntil(3*time.Second, func() bool {
					observe()
					return sim.publishedStates[submission.ID(id)].IsFinal()
				})
				if state := sim.publishedStates[submission.ID(id)]; state != submission.Completed {
					t.Errorf("submission %d is %v after 3 s", i, state)
				}
			}
			if n := sim.running(idA); n != 20 {
				t.Errorf("%d of 20 long-running tasks run", n)
			}
			if limit := 3*maxClassWork + len(sim.core.waiting); most > limit {
				t.Errorf("a plan took %d units of work, want at most %d", most, limit)
			}
			if n := len(sim.core.waiting); n > int(stepClasses)*maxPlannedSteps {
				t.Errorf("%d steps are ranked, want at most %d", n, int(stepClasses)*maxPlannedSteps)
			}
			for _, v := range sim.violations {
				t.Error(v)
			}
		})
	}
}
