package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/submission"
)

const (
	// longRunningBound is the time for which the platform's rules let a long-running task
	// wait while there is capacity for it.
	longRunningBound = 3 * time.Second
	// reportedAfter is the time from which an executor is reachable, or from the start of a
	// term, until the executor's free capacity counts.
	reportedAfter = time.Second
	// longestUnknownLoss is the maximum time from the end of a run, or the start of a later
	// term, until the owner knows that it is lost: the longest lease, by a slow clock.
	longestUnknownLoss = 10500 * time.Millisecond
)

// waitChecker measures for how long tasks wait for starts that the owner could make. It
// compares the actual runs of all executors with the tasks of all submissions, and asks
// the owner only which tasks it has queued.
type waitChecker struct {
	sim       *simulation
	crashing  map[submission.ID]bool // submissions that crash executors; not measured
	tasks     []*watchedTask         // not done
	reachable map[*fakeExecutor]reachability
	core      *Core
	termStart time.Duration
	onLost    func(t *watchedTask) // called when a run was lost with its executor; may be nil

	lost        int           // runs lost with their executors
	lostWait    time.Duration // sum over lost batch tasks, from when the owner can know of the loss
	queueWait   time.Duration // sum over all batch tasks
	roomWait    time.Duration // the part of queueWait with room for all that wait
	worstRoom   time.Duration // of one task
	waited      int           // batch tasks that waited while there was room for all
	worstStarve time.Duration // longest wait of a long-running task with capacity for it
	worstDown   time.Duration // longest wait of a long-running task, with or without capacity
	starved     int           // long-running tasks that waited for longer than longRunningBound
}

// watchedTask is what a waitChecker knows of a task.
type watchedTask struct {
	id       submission.ID
	name     string
	spec     *submission.Step
	executor *fakeExecutor // of its newest run; nil before the first
	instance int64         // of that executor
	number   int           // of that run
	running  bool
	lost     bool // its executor has crashed since
	lostAt   time.Duration
	owned    *task // the owner's view, of term core
	core     *Core
	roomWait time.Duration
	down     time.Duration // wait of a long-running task
	starve   time.Duration // wait of a long-running task with capacity for it, on end
	reported bool          // as waiting for too long
}

type reachability struct {
	instance int64
	since    time.Duration
}

func newWaitChecker(sim *simulation) *waitChecker {
	return &waitChecker{sim: sim, crashing: map[submission.ID]bool{}, reachable: map[*fakeExecutor]reachability{}}
}

// watch adds the tasks of a submission.
func (c *waitChecker) watch(id string) {
	sub := c.sim.accepted[submission.ID(id)]
	for step := range sub.Steps {
		for i := range sub.Steps[step].Count {
			name := submission.TaskID{Submission: submission.ID(id), Step: step, Index: i}.String()
			c.tasks = append(c.tasks, &watchedTask{id: submission.ID(id), name: name, spec: &sub.Steps[step]})
		}
	}
}

// observe measures one step of the simulation.
func (c *waitChecker) observe() {
	sim := c.sim
	if c.core != sim.core {
		c.core, c.termStart = sim.core, sim.now
	}
	usable := c.usable()
	var longRunning, batch []*watchedTask // that wait
	inFlight := 0
	left := c.tasks[:0]
	for _, t := range c.tasks {
		if sim.completed[t.name] || sim.cancelled[t.id] || sim.publishedStates[t.id].IsFinal() {
			continue
		}
		left = append(left, t)
		switch isWaiting := c.update(t); {
		case c.crashing[t.id]:
		case !isWaiting:
			t.starve, t.down = 0, 0
			if !t.running && t.owned != nil && t.owned.phase == taskPlaced {
				inFlight++
			}
		case t.spec.LongRunning:
			longRunning = append(longRunning, t)
		default:
			batch = append(batch, t)
		}
	}
	c.tasks = left
	c.checkLongRunning(longRunning, usable)
	c.addWait(batch, len(longRunning)+len(batch)+inFlight, usable)
}

// usable returns the executors whose free capacity counts.
func (c *waitChecker) usable() []*fakeExecutor {
	var out []*fakeExecutor
	for _, e := range c.sim.executors {
		if !e.reachable() || !e.listed || e.draining {
			delete(c.reachable, e)
			continue
		}
		r, ok := c.reachable[e]
		if !ok || r.instance != e.instance {
			r = reachability{e.instance, c.sim.now}
			c.reachable[e] = r
		}
		if c.sim.now >= max(r.since, c.termStart)+reportedAfter {
			out = append(out, e)
		}
	}
	return out
}

// update notes where a task runs, and reports whether it waits for a start that the
// owner could make.
func (c *waitChecker) update(t *watchedTask) bool {
	if t.running && t.executor.up && t.executor.runs[t.name] != nil {
		return false
	}
	if t.running {
		t.running = false
		if t.executor.instance != t.instance || !t.executor.up {
			t.lost, t.lostAt = true, c.sim.now
			c.lost++
			if c.onLost != nil {
				c.onLost(t)
			}
		}
	}
	if t.core != c.sim.core || t.owned == nil {
		t.core, t.owned = c.sim.core, c.sim.core.findTask(t.name)
	}
	if t.owned == nil || !t.owned.step.released {
		return false
	}
	for _, e := range c.sim.executors {
		if e.up && e.runs[t.name] != nil {
			t.executor, t.instance, t.number, t.running, t.lost = e, e.instance, e.runs[t.name].number, true, false
			return false
		}
	}
	if r := t.owned.run; r != nil && r.number > t.number && r.state == runUnanswered {
		return false // the start may have taken effect
	}
	return t.owned.phase == taskPending ||
		t.lost && (c.isReplaced(t) || c.sim.now > max(t.lostAt, c.termStart)+longestUnknownLoss)
}

// isReplaced reports whether another instance answers at the address of the executor of
// a lost run.
func (c *waitChecker) isReplaced(t *watchedTask) bool {
	for _, e := range c.sim.executors {
		if e.address == t.executor.address && e.reachable() && (e != t.executor || e.instance != t.instance) {
			return true
		}
	}
	return false
}

// addWait adds one step of waiting to batch tasks. There is room for them if all tasks
// that wait or are being started fit on usable executors.
func (c *waitChecker) addWait(waiting []*watchedTask, total int, usable []*fakeExecutor) {
	for _, t := range waiting {
		c.queueWait += simulationStep
		if t.lost {
			c.lostWait += simulationStep
		}
	}
	if len(waiting) == 0 {
		return
	}
	largest := slices.MaxFunc(waiting, func(a, b *watchedTask) int { return cmp.Compare(a.spec.Size.MilliCPU, b.spec.Size.MilliCPU) })
	if slots(usable, largest, total) < total {
		return
	}
	for _, t := range waiting {
		if t.roomWait == 0 {
			c.waited++
		}
		t.roomWait += simulationStep
		c.roomWait += simulationStep
		c.worstRoom = max(c.worstRoom, t.roomWait)
	}
}

// checkLongRunning checks that no long-running task waits for too long with capacity for
// it and all others that wait; they have the same size.
func (c *waitChecker) checkLongRunning(waiting []*watchedTask, usable []*fakeExecutor) {
	for _, t := range waiting {
		t.down += simulationStep
		c.worstDown = max(c.worstDown, t.down)
		if slots(usable, t, len(waiting)) < len(waiting) {
			t.starve = 0
			continue
		}
		t.starve += simulationStep
		c.worstStarve = max(c.worstStarve, t.starve)
		if t.starve > longRunningBound && !t.reported {
			t.reported = true
			c.starved++
			c.sim.addViolation("%s has waited for over %v with capacity for it", t.name, longRunningBound)
		}
	}
}

// slots returns how many tasks like t fit on executors, counted up to enough.
func slots(executors []*fakeExecutor, t *watchedTask, enough int) int {
	size, n := reservation(t.spec), 0
	for _, e := range executors {
		perExecutor := enough
		if t.spec.MaxPerExecutor > 0 {
			perExecutor = t.spec.MaxPerExecutor - e.runsOf(t)
		}
		for free := e.size.Sub(e.used()); n < enough && perExecutor > 0 && size.Fits(free); free = free.Sub(size) {
			n++
			perExecutor--
		}
	}
	return n
}

// runsOf returns the number of runs of a task's step on the executor.
func (e *fakeExecutor) runsOf(t *watchedTask) int {
	step, n := t.name[:strings.LastIndex(t.name, ".")+1], 0
	for name := range e.runs {
		if strings.HasPrefix(name, step) {
			n++
		}
	}
	return n
}

// failed returns the innocent submissions that were given up.
func (c *waitChecker) failed() []submission.ID {
	var out []submission.ID
	for id, state := range c.sim.publishedStates {
		if state == submission.Failed && !c.crashing[id] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
