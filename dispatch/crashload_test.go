package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/submission"
)

const (
	crashLoadExecutors = 40               // of the cell for which the load is stated
	crashLoadLength    = 28 * time.Second // for which batch work is submitted
	smallCellExecutors = 12
	crashLoadSeeds     = 10 // twice as many for small cells
	// crashedShare is the share of the executors that crash together.
	crashedShare = 0.3
	// maxExtraWait is the largest factor by which the wait of lost batch tasks may exceed
	// that of the same load without any blame.
	maxExtraWait = 1.1
	// maxExtraRoomWait is the same for all batch tasks, while there is room for them. These
	// waits differ more between two runs without blame, since placements do.
	maxExtraRoomWait = 1.25
)

// timedFault is applied once its time has come.
type timedFault struct {
	at    time.Duration
	apply func()
}

// crashLoad runs the usual load of a cell of executors with 16 or 24 cores: batch work in two
// classes, 8.5 submissions per second with 13 tasks each for 40 executors, which uses 40 % of
// the processors, and long-running tasks that use 18 to 30 %, half of them of steps with one
// task per executor.
type crashLoad struct {
	sim     *simulation
	checker *waitChecker
	rng     *rand.Rand // of load and faults, so that they don't depend on the decisions
	faults  []timedFault
	scale   float64 // of the load, by the number of executors
	noBlame bool    // the control: no crash is ever blamed on a task
	next    int     // number of the next submission
}

// batchClass is a kind of batch work.
type batchClass struct {
	perSecond          float64
	maxSteps, maxWidth int
	size               fleet.Resources
	mean               time.Duration
}

var batchClasses = []batchClass{
	{perSecond: 4.3, maxSteps: 2, maxWidth: 11, size: fleet.Resources{MilliCPU: 1400, MemoryMB: 2800}, mean: 640 * time.Millisecond},
	{perSecond: 4.2, maxSteps: 3, maxWidth: 15, size: fleet.Resources{MilliCPU: 1800, MemoryMB: 3200}, mean: 2200 * time.Millisecond},
}

func newCrashLoad(executors int, seed uint64, noBlame bool) *crashLoad {
	l := &crashLoad{
		sim:     newSimulation(executors, seed),
		rng:     rand.New(rand.NewPCG(seed, 2)),
		scale:   float64(executors) / crashLoadExecutors,
		noBlame: noBlame,
	}
	l.sim.storeLatency = 50 * time.Millisecond
	for i, e := range l.sim.executors {
		e.size = fleet.Resources{MilliCPU: 16000, MemoryMB: 64000}
		if i%3 == 2 {
			e.size = fleet.Resources{MilliCPU: 24000, MemoryMB: 96000}
		}
	}
	l.checker = newWaitChecker(l.sim)
	return l
}

func (l *crashLoad) submit(steps ...submission.Step) string {
	id := fmt.Sprintf("%016x", 0x1000+l.next)
	l.next++
	l.sim.submit(id, newSubmission(steps...))
	l.checker.watch(id)
	return id
}

func (l *crashLoad) submitLongRunning() {
	step := longRunning(6)
	step.Size = fleet.Resources{MilliCPU: 3200, MemoryMB: 6400}
	if l.rng.IntN(2) == 0 {
		step.MaxPerExecutor = 1
	}
	l.submit(step)
}

func (l *crashLoad) submitBatch(class batchClass) string {
	var steps []submission.Step
	for i := range 1 + l.rng.IntN(class.maxSteps) {
		step := tasks(1+l.rng.IntN(class.maxWidth), time.Duration(float64(class.mean)*(0.5+l.rng.Float64())))
		step.Size = class.size
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		steps = append(steps, step)
	}
	return l.submit(steps...)
}

// at schedules a fault.
func (l *crashLoad) at(t time.Duration, apply func()) {
	l.faults = append(l.faults, timedFault{t, apply})
	slices.SortStableFunc(l.faults, func(a, b timedFault) int { return cmp.Compare(a.at, b.at) })
}

// run submits work for crashLoadLength and runs until all batch work has ended, for another
// 40 s at most.
func (l *crashLoad) run() {
	for range int(7*l.scale + 0.5) {
		l.submitLongRunning()
	}
	for l.sim.now < crashLoadLength {
		for _, class := range batchClasses {
			if l.rng.Float64() < l.scale*class.perSecond*simulationStep.Seconds() {
				l.submitBatch(class)
			}
		}
		if l.rng.Float64() < l.scale*0.17*simulationStep.Seconds() {
			l.submitLongRunning()
		}
		l.step()
	}
	for end := l.sim.now + 40*time.Second; l.sim.now < end && !l.isDrained(); {
		l.step()
	}
	if !l.isDrained() {
		l.sim.addViolation("%d tasks have not ended, or don't run if they are long-running", len(l.checker.tasks))
	}
}

// isDrained reports whether all batch work has ended and no fault is outstanding.
func (l *crashLoad) isDrained() bool {
	return len(l.faults) == 0 && !slices.ContainsFunc(l.checker.tasks, func(t *watchedTask) bool { return !t.spec.LongRunning || !t.running })
}

func (l *crashLoad) step() {
	sim := l.sim
	sim.now += simulationStep
	for len(l.faults) > 0 && l.faults[0].at <= sim.now {
		fault := l.faults[0]
		l.faults = l.faults[1:]
		fault.apply()
	}
	sim.storeAway = l.noBlame // the plan follows once the histories are cleared
	sim.step()
	if l.noBlame {
		sim.core.clearCrashHistories()
		sim.plan()
	}
	l.checker.observe()
}

// clearCrashHistories makes the owner forget all that it has blamed on tasks.
func (c *Core) clearCrashHistories() {
	for t := range c.suspects {
		t.crash = crashHistory{}
	}
	for _, e := range c.executors {
		e.unconfirmedCrash = nil
	}
}

// share returns a random share of the executors that are up.
func (l *crashLoad) share(fraction float64) []*fakeExecutor {
	var up []*fakeExecutor
	for _, e := range l.sim.executors {
		if e.reachable() {
			up = append(up, e)
		}
	}
	slices.SortFunc(up, func(a, b *fakeExecutor) int { return strings.Compare(a.address, b.address) })
	l.rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:int(fraction*float64(len(up))+0.5)]
}

// crashTogether crashes executors, which return after a time under their ID, or under
// another one at their address.
func (l *crashLoad) crashTogether(victims []*fakeExecutor, downtime time.Duration, sameID bool) {
	for _, e := range victims {
		e.crash()
		l.at(l.sim.now+downtime, func() { l.restart(e, sameID, l.sim.now) })
	}
}

// restartBehindCut cuts executors off that crash and start again before they can be
// reached.
func (l *crashLoad) restartBehindCut(victims []*fakeExecutor, cut time.Duration, sameID bool) {
	const crashAfter, startAfter = 300 * time.Millisecond, 800 * time.Millisecond
	for _, e := range victims {
		e.partitioned = true
		l.at(l.sim.now+crashAfter, func() { e.crash() })
		if sameID {
			l.at(l.sim.now+startAfter, func() { l.restart(e, true, l.sim.now) })
			l.at(l.sim.now+cut, func() { e.partitioned = false })
			continue
		}
		started := l.sim.now + startAfter
		l.at(l.sim.now+cut, func() { l.restart(e, false, started) })
	}
}

// restart starts an executor that has crashed, at a time in the past if it could not be
// reached since.
func (l *crashLoad) restart(e *fakeExecutor, sameID bool, started time.Duration) {
	if sameID {
		e.start(started, true)
		return
	}
	e.listed, e.gone, e.partitioned = false, true, false
	successor := newFakeExecutor(fmt.Sprintf("%s-after-%d", e.address, started.Milliseconds()), started)
	successor.address, successor.size, successor.nextHeartbeatAt = e.address, e.size, l.sim.now
	l.sim.executors = append(l.sim.executors, successor)
}

// crashLoadResult is the result of one seed, or their sum.
type crashLoadResult struct {
	steps               int
	lost, starved       int
	lostWait, queueWait time.Duration
	roomWait            time.Duration
	worstStarve         time.Duration
	worstDown           time.Duration
	failed              []submission.ID
	violations          []string
}

func (l *crashLoad) result() crashLoadResult {
	c := l.checker
	return crashLoadResult{
		steps: int(l.sim.now / simulationStep),
		lost:  c.lost, starved: c.starved,
		lostWait: c.lostWait, queueWait: c.queueWait,
		roomWait:    c.roomWait,
		worstStarve: c.worstStarve,
		worstDown:   c.worstDown,
		failed:      c.failed(),
		violations:  l.sim.violations,
	}
}

func (r *crashLoadResult) add(other crashLoadResult) {
	r.steps += other.steps
	r.lost += other.lost
	r.starved += other.starved
	r.lostWait += other.lostWait
	r.queueWait += other.queueWait
	r.roomWait += other.roomWait
	r.worstStarve = max(r.worstStarve, other.worstStarve)
	r.worstDown = max(r.worstDown, other.worstDown)
	r.failed = append(r.failed, other.failed...)
}

func (r *crashLoadResult) String() string {
	return fmt.Sprintf("%d runs lost, lost batch tasks waited %.1f task-seconds, all %.1f, %.1f of it with room for all that waited; long-running tasks waited up to %v, with capacity %v, %d over %v; %d submissions given up",
		r.lost, r.lostWait.Seconds(), r.queueWait.Seconds(), r.roomWait.Seconds(), r.worstDown, r.worstStarve, r.starved, longRunningBound, len(r.failed))
}

// testCrashLoad runs the load with faults that no task causes, with the owner's decisions
// and with a control without any blame, and compares them. Executors return under their
// ID with every other seed.
func testCrashLoad(t *testing.T, inject func(l *crashLoad, sameID bool)) {
	t.Run("large cell", func(t *testing.T) { compareWithoutBlame(t, crashLoadExecutors, crashLoadSeeds, inject) })
	t.Run("small cell", func(t *testing.T) { compareWithoutBlame(t, smallCellExecutors, 2*crashLoadSeeds, inject) })
}

func compareWithoutBlame(t *testing.T, executors, seeds int, inject func(l *crashLoad, sameID bool)) {
	results := runSeeds(2*seeds, func(i int) crashLoadResult {
		l := newCrashLoad(executors, uint64(i/2), i%2 == 1)
		inject(l, i/2%2 == 0)
		l.run()
		return l.result()
	})
	var actual, control crashLoadResult
	for i, r := range results {
		if i%2 == 1 {
			control.add(r)
			continue
		}
		actual.add(r)
		if len(r.failed) > 0 {
			t.Errorf("seed %d: submissions %v were given up", i/2, r.failed)
		}
		if len(r.violations) > 0 {
			t.Errorf("seed %d: %v", i/2, r.violations)
		}
	}
	t.Logf("%d executors, %d seeds, %d states", executors, seeds, actual.steps+control.steps)
	t.Logf("decisions: %v", &actual)
	t.Logf("no blame:  %v", &control)
	checkWait := func(what string, actual, control time.Duration, factor float64) {
		if limit := factor * control.Seconds(); actual.Seconds() > limit {
			t.Errorf("%s waited %.1f task-seconds, want at most %.1f, %.2f times those without blame", what, actual.Seconds(), limit, factor)
		}
	}
	checkWait("lost batch tasks", actual.lostWait, control.lostWait, maxExtraWait)
	checkWait("batch tasks with room for all", actual.roomWait, control.roomWait, maxExtraRoomWait)
}

// runSeeds calls run with 0 to n-1, some of them at the same time, and returns the
// results in order.
func runSeeds[T any](n int, run func(i int) T) []T {
	const maxParallel = 4
	out := make([]T, n)
	slots := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = run(i)
			<-slots
		})
	}
	wg.Wait()
	return out
}

// TestCrashesOfManyExecutors guards against blame that delays work no one should suspect:
// 30 % of 40 or 12 executors at their usual load crash together at 5, 10, 16 and 22 s, for 0.6 s.
func TestCrashesOfManyExecutors(t *testing.T) {
	t.Parallel()
	testCrashLoad(t, func(l *crashLoad, sameID bool) {
		for _, at := range []time.Duration{5, 10, 16, 22} {
			l.at(at*time.Second, func() { l.crashTogether(l.share(crashedShare), 600*time.Millisecond, sameID) })
		}
	})
}

// TestRestartsBehindPartition guards against blame for restarts behind a partition, and
// against tasks that run twice after it: 30 % of 40 or 12 executors at their usual load are cut
// off at 5, 11, 17 and 24 s, crash and start again, and are reachable after 1 to 2.5 s.
func TestRestartsBehindPartition(t *testing.T) {
	t.Parallel()
	testCrashLoad(t, func(l *crashLoad, sameID bool) {
		for _, cut := range []struct{ at, length time.Duration }{{5, 1500}, {11, 1500}, {17, 2500}, {24, 1000}} {
			l.at(cut.at*time.Second, func() { l.restartBehindCut(l.share(crashedShare), cut.length*time.Millisecond, sameID) })
		}
	})
}
