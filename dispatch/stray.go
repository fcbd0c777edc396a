package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// A stray is a run that an executor lists and this owner does not expect there, for example
// since it was given up too early, or since its start was carried out late. Its task must not
// run twice, so a stray is either adopted or stopped, and its task is not started again
// before a report shows that it has ended.
type stray struct {
	task *task
	run  int
}

// adopt makes a listed run the current run of its task. It returns nil if the task has a
// newer run or must not run.
func (c *Core) adopt(e *executor, status provider.RunStatus, now time.Duration) *run {
	t := c.findTask(status.Task)
	if t == nil || t.phase != taskPending || t.runNumber != status.Run || !t.step.released || t.step.job.state.IsFinal() ||
		t.step.job.handingOver || t.step.spec.Gang || t.isStray() || e.runs[status.Task] != nil {
		return nil
	}
	r := &run{task: t, taskName: status.Task, number: status.Run, executor: e, state: runRunning, startedAt: now, pace: 1, desiredPace: 1, paceUncertain: t.step.spec.BestEffort}
	t.stopWaiting()
	t.run = r
	t.phase = taskPlaced
	t.touch()
	e.add(r)
	c.markDirty(t.step.job)
	c.addEvent("adopt", r, "listed by its executor", 0)
	return r
}

// heldStep returns the step of a task whose submission is held, or nil.
func (c *Core) heldStep(task string) *submission.Step {
	id, err := submission.ParseTaskID(task)
	if err != nil {
		return nil
	}
	j, ok := c.jobs[id.Submission]
	if !ok || !j.held || j.state.IsFinal() || !j.hasTask(id.Occurrence, id.Step, id.Index) {
		return nil
	}
	return &j.sub.Steps[id.Step]
}

// stopStray orders the stop of a stray, unless its submission is held. Until it has ended,
// it takes capacity.
func (c *Core) stopStray(e *executor, status provider.RunStatus) {
	if spec := c.heldStep(status.Task); spec != nil {
		e.addUnexpected(spec, c.tenantOfTask(status.Task))
		return
	}
	if t := c.findTask(status.Task); t != nil {
		e.addStray(stray{task: t, run: status.Run})
		if t.phase == taskPending {
			c.markDirty(t.step.job)
		}
	} else {
		e.hasUnknownRun = true
	}
	c.orders = append(c.orders, Order{
		Kind:     OrderStop,
		Executor: e.info,
		Ref:      provider.RunRef{Task: status.Task, Run: status.Run, FencingToken: e.fencingToken},
	})
	c.events = append(c.events, Event{Kind: "stray", Task: status.Task, Run: status.Run, Executor: e.info.ID, Detail: c.describeExpected(status.Task)})
}

// addUnexpected counts a run of a step that this owner does not expect.
func (e *executor) addUnexpected(spec *submission.Step, tn *tenant) {
	e.unexpected = e.unexpected.Add(reservation(spec))
	if tn == nil {
		return
	}
	if e.strayUse == nil {
		e.strayUse = map[*tenant]fleet.Resources{}
	}
	e.strayUse[tn] = e.strayUse[tn].Add(spec.Size)
	tn.account(spec.Size, 1)
}

func (e *executor) addStray(s stray) {
	e.addUnexpected(s.task.step.spec, s.task.step.job.tenant)
	e.strays = append(e.strays, s)
	s.task.strays = append(s.task.strays, e)
}

// keepStrays keeps those of the earlier strays that a report with truncated ends lists neither as
// running nor as ended: the task of one that is done must not start again before that is known.
func (e *executor) keepStrays(earlier []stray, report provider.HeartbeatReport) {
	if len(earlier) == 0 {
		return
	}
	listed := listedRuns(report)
	for _, s := range earlier {
		if !listed[runKey{s.task.id().String(), s.run}] {
			e.addStray(s)
		}
	}
}

// clearStrays forgets the strays of an executor: it is about to list them again, or they
// can't be running any more.
func (e *executor) clearStrays() {
	for _, s := range e.strays {
		s.task.strays = slices.DeleteFunc(s.task.strays, func(other *executor) bool { return other == e })
	}
	e.strays = nil
	for tn, use := range e.strayUse {
		tn.account(use, -1)
	}
	clear(e.strayUse)
	e.unexpected, e.hasUnknownRun = fleet.Resources{}, false
}

// isStray reports whether an executor lists a stray of the task.
func (t *task) isStray() bool { return len(t.strays) > 0 }

// describeExpected says for the log which run of a task this owner expects.
func (c *Core) describeExpected(task string) string {
	t := c.findTask(task)
	switch {
	case t == nil:
		return "unknown task"
	case t.run != nil:
		return fmt.Sprintf("run %d is expected on %s", t.run.number, t.run.executor.info.ID)
	}
	return fmt.Sprintf("no run is expected, the newest is %d", t.runNumber)
}
