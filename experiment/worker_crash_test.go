package experiment

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/settings"
)

const (
	crashStep       = 250 * time.Millisecond
	crashingPrefix  = "crashing" // of the idempotency keys of jobs whose tasks crash their workers
	maxTaskCrashes  = 10         // by one task until it is given up
	maxMeanCrashes  = 5          // by a task until it is given up, mean of all
	crashRunTime    = 15 * time.Minute
	crashDrainAfter = 5 * time.Minute // no more losses from then on
)

// workerLoss is a loss of workers that no task caused. A worker that is only cut off
// goes on with its runs while their leases last.
type workerLoss struct {
	at, down time.Duration
	vms      []string
	cut      bool
}

// crashFleet is a fleet in virtual time whose workers crash: all runs of a crashed
// worker are gone, and an empty worker with a new clock takes its place. It keeps its
// own account of which task crashed which worker.
type crashFleet struct {
	vms        []provider.VM
	scheduler  *CoreScheduler
	workers    map[string]*Worker
	model      *TaskModel
	downUntil  map[string]time.Time
	crashAfter map[uint64]time.Duration // by number of the job
	losses     []workerLoss
	takeovers  []time.Duration
	crashes    map[string]int // by task
	lost       map[string]int // runs lost by innocent tasks
}

func newCrashFleet(racks, workersPerRack int) *crashFleet {
	f := &crashFleet{
		workers: make(map[string]*Worker), downUntil: make(map[string]time.Time), crashAfter: make(map[uint64]time.Duration),
		crashes: make(map[string]int), lost: make(map[string]int),
	}
	for i := range racks * workersPerRack {
		domain := fleet.Path(fmt.Sprintf("z/d%d", i/workersPerRack/2))
		f.vms = append(f.vms, provider.VM{
			ID: fmt.Sprintf("w%02d", i), Kind: provider.KindWorker, State: provider.VMLive, FailureDomain: domain,
			Rack: domain.Join(fmt.Sprint("r", i/workersPerRack)), Size: fleet.Resources{MilliCPU: 4000, MemoryMB: 4000},
		})
	}
	f.model = &TaskModel{Behaviour: func(task string) TaskBehaviour {
		_, ref, _ := queue.ParseTaskID(task)
		return TaskBehaviour{RunTime: f.scheduler.machine.Job(ref.Job).Spec.RunTime}
	}}
	for _, vm := range f.vms {
		f.workers[vm.ID] = NewWorker(vm, f.model, epoch)
	}
	f.scheduler = NewCoreScheduler(diffTeam, settings.DefaultPolicy(), f.vms)
	return f
}

func (f *crashFleet) submit(key string, count int, runTime, crashAfter time.Duration) {
	f.scheduler.Submit(epoch, job.Spec{
		Name: key, Team: diffTeam, Kind: "certificate", Class: fleet.Batch, Count: count, RunTime: runTime, IdempotencyKey: key,
		Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 1000},
	})
	if strings.HasPrefix(key, crashingPrefix) {
		f.crashAfter[uint64(len(f.scheduler.backlog))] = crashAfter
	}
}

// run plays the fleet for crashRunTime.
func (f *crashFleet) run() {
	for at := crashStep; at <= crashRunTime; at += crashStep {
		now := epoch.Add(at)
		for _, loss := range f.losses {
			if loss.at <= at && at < loss.at+crashStep {
				for _, vm := range loss.vms {
					if loss.cut {
						f.downUntil[vm] = now.Add(loss.down)
						continue
					}
					f.crash(vm, now, loss.down)
				}
			}
		}
		for _, vm := range f.vms {
			f.advance(vm.ID, now)
		}
		in := StepInput{Workers: f.workers, Unreachable: make(map[string]bool)}
		for vm, until := range f.downUntil {
			in.Unreachable[vm] = now.Before(until)
		}
		in.Takeover = slices.ContainsFunc(f.takeovers, func(t time.Duration) bool { return t <= at && at < t+crashStep })
		f.scheduler.Step(now, in)
	}
}

// advance advances a worker and crashes it if one of its runs is due to do so.
func (f *crashFleet) advance(vm string, now time.Time) {
	w := f.workers[vm]
	w.Advance(now)
	for _, ref := range w.Running() {
		_, task, _ := queue.ParseTaskID(ref.Task)
		after, crashing := f.crashAfter[task.Job]
		if crashing && now.Sub(w.runs[ref].started) >= after {
			f.crashes[ref.Task]++
			f.crash(vm, now, 3*time.Second)
			return
		}
	}
}

func (f *crashFleet) crash(vm string, now time.Time, down time.Duration) {
	for _, ref := range f.workers[vm].Running() {
		if _, task, _ := queue.ParseTaskID(ref.Task); f.crashAfter[task.Job] == 0 {
			f.lost[ref.Task]++
		}
	}
	f.workers[vm] = NewWorker(f.workers[vm].VM, f.model, now)
	f.downUntil[vm] = now.Add(down)
}

func (f *crashFleet) totalCrashes() int {
	sum := 0
	for _, n := range f.crashes {
		sum += n
	}
	return sum
}

// check returns what is wrong at the end of the run.
func (f *crashFleet) check() []string {
	var out []string
	for task, n := range f.crashes {
		if n > maxTaskCrashes {
			out = append(out, fmt.Sprintf("task %s crashed %d workers, want %d at most", task, n, maxTaskCrashes))
		}
	}
	for _, j := range f.scheduler.machine.Jobs() {
		_, crashing := f.crashAfter[j.Number]
		for i := range j.Tasks {
			t, want := &j.Tasks[i], job.Finished
			if crashing {
				want = job.Failed
			}
			if t.State != want {
				out = append(out, fmt.Sprintf("task %d of job %s is %s after %d attempts, want %s: %s", i, j.Spec.IdempotencyKey, t.State, t.Attempt, want, t.Reason))
			}
		}
	}
	slices.Sort(out)
	return out
}

// TestTaskThatCrashesWorkersIsGivenUp replays a task that crashes each worker that
// starts it, beside others that don't.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, after := range []time.Duration{crashStep, 2 * time.Second, 8 * time.Second} {
		f := newCrashFleet(2, 4)
		f.submit("innocent", 16, 40*time.Second, 0)
		f.submit(crashingPrefix, 1, 40*time.Second, after)
		f.run()
		t.Logf("crash after %v: workers crashed %v, runs lost by others %v", after, f.crashes, f.lost)
		for _, line := range f.check() {
			t.Errorf("crash after %v: %s", after, line)
		}
		if n := f.totalCrashes(); n > 4 {
			t.Errorf("crash after %v: %d workers crashed, want one beside others and 3 without", after, n)
		}
	}
}

// TestTaskThatCrashesWorkersOfFullFleet replays a crashing task for which no worker is
// ever empty, as all others run long.
func TestTaskThatCrashesWorkersOfFullFleet(t *testing.T) {
	f := newCrashFleet(1, 4)
	f.submit("innocent", 14, 12*time.Minute, 0)
	f.submit(crashingPrefix, 1, time.Minute, crashStep)
	f.submit("innocent-short", 30, 10*time.Second, 0)
	f.run()
	t.Logf("workers crashed %v, runs lost by others %v", f.crashes, f.lost)
	for _, line := range f.check() {
		t.Error(line)
	}
}

// TestJobThatCrashesWorkersIsGivenUp replays a job whose tasks crash many workers at once.
func TestJobThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := newCrashFleet(2, 4)
	f.submit("innocent", 16, 40*time.Second, 0)
	f.submit(crashingPrefix, 8, 40*time.Second, crashStep)
	f.run()
	t.Logf("workers crashed %v, runs lost by others %v", f.crashes, f.lost)
	for _, line := range f.check() {
		t.Error(line)
	}
}

// TestCrashesAndRackLosses checks, with tasks that crash their workers and with repeated
// losses of racks, failure domains and single workers, that just the former are given up.
func TestCrashesAndRackLosses(t *testing.T) {
	plays, innocent, crashing, crashes, lost := 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		racks, size := rapid.IntRange(2, 4).Draw(t, "racks"), rapid.IntRange(2, 6).Draw(t, "workers of a rack")
		f := newCrashFleet(racks, size)
		seconds := func(low, high int, name string) time.Duration {
			return time.Duration(rapid.IntRange(low*4, high*4).Draw(t, name)) * time.Second / 4
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "innocent jobs") {
			n := rapid.IntRange(1, 8).Draw(t, "tasks")
			innocent += n
			f.submit(fmt.Sprint("innocent-", i), n, seconds(1, 60, "run time"), 0)
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "crashing jobs") {
			n := rapid.IntRange(1, 3).Draw(t, "crashing tasks")
			crashing += n
			f.submit(fmt.Sprint(crashingPrefix, i), n, time.Minute, max(crashStep, seconds(0, 8, "crash after")))
		}
		for range rapid.IntRange(0, 8).Draw(t, "losses") {
			loss := workerLoss{at: seconds(1, int(crashDrainAfter.Seconds()), "loss"), down: seconds(0, 12, "down")}
			vm := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "lost")]
			extent := rapid.SampledFrom([]string{"rack", "domain", "worker", "cut"}).Draw(t, "extent")
			loss.cut = extent == "cut"
			for _, other := range f.vms {
				if other.ID == vm.ID || (extent == "rack" && other.Rack == vm.Rack) || (extent == "domain" && other.FailureDomain == vm.FailureDomain) {
					loss.vms = append(loss.vms, other.ID)
				}
			}
			period := seconds(2, 20, "period")
			for range rapid.IntRange(1, 6).Draw(t, "repeats") {
				f.losses = append(f.losses, loss)
				loss.at += period
			}
		}
		for range rapid.IntRange(0, 2).Draw(t, "takeovers") {
			f.takeovers = append(f.takeovers, seconds(1, int(crashDrainAfter.Seconds()), "takeover"))
		}
		f.run()
		plays++
		crashes += f.totalCrashes()
		for _, n := range f.lost {
			lost += n
		}
		if wrong := f.check(); len(wrong) > 0 {
			t.Fatalf("%s", strings.Join(wrong, "\n"))
		}
	})
	t.Logf("%d plays: %d crashing tasks crashed %d workers; %d innocent tasks lost %d runs", plays, crashing, crashes, innocent, lost)
	if crashes > maxMeanCrashes*crashing {
		t.Errorf("%d tasks crashed %d workers, want %d each at most in the mean", crashing, crashes, maxMeanCrashes)
	}
}
