package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/colocate"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/submission"
)

// maxIdleTime is the time after which the platform counts an accepted submission as lost if
// a task could run, none does, and most of the capacity is free.
const maxIdleTime = 3 * time.Second

// maxBacklogWait is the longest time for which a submission may wait for its next run behind a backlog
// that keeps half of the capacity busy: the wait after which it is overdue without free capacity.
const maxBacklogWait = 10 * time.Second

// fitTime is the time in which the model of a small cell has enough readings for a fit, which
// applies the statistics of other models.
const fitTime = 10 * time.Second

// bestEffortTasks returns a step of best-effort tasks of one image.
func bestEffortTasks(count int, image string, size fleet.Resources, estimate time.Duration) submission.Step {
	return submission.Step{Count: count, Size: size, EstimateMs: estimate.Milliseconds(), BestEffort: true, Image: image}
}

// newServedCell returns a cell of six executors, each with a server that reserves a quarter of it.
func newServedCell(seed uint64) *simulation { return newServedCellOf(6, seed) }

func newServedCellOf(executors int, seed uint64) *simulation {
	sim := newSimulation(executors, seed)
	servers := longRunning(executors)
	servers.Size = fleet.Resources{MilliCPU: 2000, MemoryMB: 1000}
	servers.MaxPerExecutor, servers.TargetMs, servers.Image = 1, 100, "web"
	sim.submit(idA, newSubmission(servers))
	sim.run(2 * time.Second)
	return sim
}

// knownEffects returns the statistics of a model that is certain of the effect of
// best-effort images on servers.
func knownEffects(effect float32, images ...string) colocate.Statistics {
	var effects []colocate.Estimate
	for row := range images {
		effects = append(effects, colocate.Estimate{Row: row, Mean: effect, Information: 1000})
	}
	return colocate.Statistics{
		BestEffort: images,
		Serving: map[string]colocate.ServingStatistics{"web": {
			UnloadedTail: 0.25, Readings: 1000,
			Base:    colocate.Estimate{Mean: 0.4, Information: 1000},
			Effects: effects,
		}},
		Spread: 0.1,
	}
}

// TestBestEffortTaskIsStarved guards against accepted best-effort work that never runs although
// most of the capacity is free.
func TestBestEffortTaskIsStarved(t *testing.T) {
	small := fleet.Resources{MilliCPU: 1000, MemoryMB: 500}
	for _, load := range []struct {
		name  string
		apply func(*simulation)
	}{
		{"an image that is expected to harm all servers", func(sim *simulation) {
			sim.core.SetPeerModel(1, knownEffects(20, "heavy"))
			sim.run(fitTime)
		}},
		{"executors whose servers are all above their targets", func(sim *simulation) {
			for _, e := range sim.executors {
				e.hot = true
			}
			sim.run(time.Second)
		}},
		{"executors whose processors other best-effort tasks use", func(sim *simulation) {
			sim.core.SetPeerModel(1, knownEffects(0, "long", "heavy"))
			sim.run(fitTime)
			sim.submit(idC, newSubmission(bestEffortTasks(12, "long", fleet.Resources{MilliCPU: 3400, MemoryMB: 500}, time.Hour)))
			sim.run(time.Second)
			So(sim.running(idC), ShouldEqual, 12)
		}},
	} {
		Convey("Given "+load.name, t, func() {
			for seed := range uint64(4) {
				sim := newServedCell(seed)
				load.apply(sim)
				sim.submit(idB, newSubmission(tasks(1, 100*time.Millisecond), func() submission.Step {
					s := bestEffortTasks(8, "heavy", small, time.Second)
					s.DependsOn = []int{0}
					return s
				}()))
				idle, longest := time.Duration(0), time.Duration(0)
				done := sim.runUntil(40*time.Second, func() bool {
					idle += simulationStep
					if sim.running(idB) > 0 {
						idle = 0
					}
					longest = max(longest, idle)
					return sim.publishedStates[idB] == submission.Completed
				})
				So(longest, ShouldBeLessThan, maxIdleTime)
				So(done, ShouldBeTrue)
				So(sim.violations, ShouldBeEmpty)
			}
		})
	}
}

// TestTaskWaitsBesideSuspects guards against work that never starts since the only executors with
// room test tasks that may crash them.
func TestTaskWaitsBesideSuspects(t *testing.T) {
	Convey("Given a cell in which half of the executors test suspects and the others are full", t, func() {
		sim := newSimulation(8, 1)
		suspects := longRunning(4)
		suspects.Size, suspects.MaxPerExecutor = fleet.Resources{MilliCPU: 100, MemoryMB: 100}, 1
		sim.submit(idA, newSubmission(suspects))
		for i := range 4 {
			unit := sim.core.jobs[idA].occurrence(0).steps[0].tasks[i]
			unit.crash = crashHistory{crashes: 2, suspicion: 0.9, age: 100 * time.Millisecond}
		}
		sim.run(2 * time.Second)
		So(sim.running(idA), ShouldEqual, 4)
		full := longRunning(4)
		full.Size, full.MaxPerExecutor = fleet.Resources{MilliCPU: 7500, MemoryMB: 7500}, 1
		sim.submit(idC, newSubmission(full))
		sim.run(2 * time.Second)
		So(sim.running(idC), ShouldEqual, 4)

		Convey("a task that fits beside the suspects only is started in time", func() {
			sim.submit(idB, newSubmission(tasks(1, time.Second)))
			So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idB) > 0 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// TestBestEffortTaskWithAccelerators guards against best-effort work that is planned over and over
// on executors without the accelerators that it needs, and never starts.
func TestBestEffortTaskWithAccelerators(t *testing.T) {
	Convey("Given a cell in which one executor has accelerators and others have more idle processors", t, func() {
		sim := newSimulation(4, 1)
		sim.executors[3].size = fleet.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 2}
		sim.run(time.Second)

		Convey("best-effort tasks with accelerators run there, no more than it has", func() {
			sim.submit(idA, newSubmission(bestEffortTasks(4, "light", fleet.Resources{MilliCPU: 500, MemoryMB: 100, Accelerators: 1}, time.Second)))
			So(sim.runUntil(maxIdleTime, func() bool { return sim.running(idA) == 2 }), ShouldBeTrue)
			So(sim.runUntil(maxIdleTime, func() bool { return sim.publishedStates[idA] == submission.Completed }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// TestWideStepStarvesBehindBacklog guards against accepted work that waits without a bound behind a backlog
// of smaller submissions that start again and again, while most of the capacity is free.
func TestWideStepStarvesBehindBacklog(t *testing.T) {
	small := fleet.Resources{MilliCPU: 1000, MemoryMB: 300}
	for seed := range uint64(2) {
		sim := newServedCellOf(2, seed)
		sim.storeLatency = 200 * time.Millisecond
		sim.core.SetPeerModel(1, knownEffects(0, "long", "small", "wide"))
		sim.run(fitTime)
		sim.submit(idC, newSubmission(bestEffortTasks(4, "long", fleet.Resources{MilliCPU: 3400, MemoryMB: 800}, time.Hour)))
		sim.run(time.Second)
		sim.submit(idB, newSubmission(bestEffortTasks(17, "wide", small, 3*time.Second)))
		for i := range 40 {
			length := time.Duration(700+100*(i%6)) * time.Millisecond
			sim.submit(fmt.Sprintf("%016x", 0xd00+i), newSubmission(bestEffortTasks(20, "small", small, length)))
		}
		checker := newAcceptedWaits(sim)
		checker.quiet = sim.now
		idle, longest := time.Duration(0), time.Duration(0)
		used, steps := 0.0, 0.0
		sim.runUntil(finishTime+8*time.Second, func() bool {
			checker.observe()
			if sim.now >= checker.quiet+maxBacklogWait {
				steps++
				for _, e := range sim.executors {
					used += float64(e.used().MemoryMB) / float64(e.size.MemoryMB) / float64(len(sim.executors))
				}
			}
			idle += simulationStep
			if sim.running(idB) > 0 {
				idle = 0
			}
			longest = max(longest, idle)
			return false
		})
		if len(checker.violated) > 0 {
			t.Errorf("seed %d: %d submissions could run and did not, first: %s", seed, len(checker.violated), checker.violated[0])
		}
		if used/steps < mostCapacity {
			t.Errorf("seed %d: %.2f of the memory is in use while work waits that half of it is free for", seed, used/steps)
		}
		if longest >= maxBacklogWait {
			t.Errorf("seed %d: no task of the wide step ran for %v", seed, longest)
		}
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: violations %v", seed, sim.violations)
		}
	}
}
