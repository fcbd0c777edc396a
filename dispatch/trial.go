package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTrialEstimate is the largest estimate of a task whose end a trial waits for.
	maxTrialEstimate = 3 * time.Second
	// maxTrialTime is the time after which a trial that has not ended does not delay the next one.
	maxTrialTime = 5 * time.Second
	// trialSurvival is the age at which a longer trial is taken as done.
	trialSurvival = 1500 * time.Millisecond
	// maxTrialWait is the time for which a half-open executor waits for a trial while other work
	// waits for an executor.
	maxTrialWait = 1500 * time.Millisecond
)

// hasTrial reports whether a trial on the executor will soon show whether it is well.
func (e *executor) hasTrial(now time.Duration) bool {
	for _, r := range e.runs {
		if r.trial && now-r.plannedAt < maxTrialTime {
			return true
		}
	}
	return false
}

// admitUntried closes the breakers of half-open executors that have got no trial while work waits that
// can't be one, such as gangs and tasks on their last attempt.
func (c *Core) admitUntried(now time.Duration) {
	for _, e := range c.executors {
		if !c.isAvailable(e, now) || !e.breaker.isHalfOpen(now) || now < e.breaker.until+maxTrialWait || e.hasTrial(now) {
			continue
		}
		if slices.ContainsFunc(c.waiting, func(st *step) bool {
			waits := st.unplacedSince > 0 && now-st.unplacedSince >= maxTrialWait
			return waits && !st.spec.LongRunning && isSuitable(st, e) && st.couldRunOn(e)
		}) {
			e.breaker.admit()
			c.events = append(c.events, Event{Kind: "admit", Executor: e.info.ID, Detail: "no trial, and work waits"})
		}
	}
}

// placeTrials gives each half-open executor without a trial the cheapest task that may be one, of each
// step one at a time.
func (c *Core) placeTrials(b *Batch, now time.Duration) {
	candidates := slices.DeleteFunc(slices.Clone(c.paused), func(cand *candidate) bool {
		return !cand.executor.breaker.isHalfOpen(now) || cand.executor.hasTrial(now)
	})
	if len(candidates) == 0 {
		return
	}
	trials := c.trialTasks()
	for _, cand := range candidates {
		i := slices.IndexFunc(trials, func(t *task) bool {
			_, reason := c.consider(t, cand, now)
			return reason == notRefused && !t.exceedsCap(1)
		})
		if i < 0 {
			continue
		}
		t := trials[i]
		trials = slices.Delete(trials, i, i+1)
		t.step.waiting = slices.DeleteFunc(t.step.waiting, func(w *task) bool { return w == t })
		t.step.unplacedSince = 0
		c.assign(b, t, cand)
		t.run.trial = true
		c.trials++
		c.addEvent("trial", t.run, "its executor was paused for "+cand.executor.breaker.pause().String(), 0)
	}
}

// trialTasks returns one waiting task of each step that has some which may be trials, the cheapest
// first: those that have not failed before, of these the shortest.
func (c *Core) trialTasks() []*task {
	var out []*task
	for _, st := range c.waiting {
		spec := st.spec
		if spec.LongRunning || spec.Gang || !st.job.acceptsStarts() {
			continue
		}
		if i := slices.IndexFunc(st.waiting, (*task).mayBeTrial); i >= 0 {
			out = append(out, st.waiting[i])
		}
	}
	slices.SortStableFunc(out, func(x, y *task) int {
		return cmp.Or(cmp.Compare(x.failures, y.failures), cmp.Compare(x.step.spec.EstimateMs, y.step.spec.EstimateMs))
	})
	return out
}

// mayBeTrial reports whether a failed trial leaves the task an attempt, and the task is not known to fail
// or to crash executors by itself.
func (t *task) mayBeTrial() bool {
	return t.failures+1 < t.step.job.attempts && !t.crash.isSuspect() && !t.isStray()
}

// observeTrial closes the breaker of an executor on which a task that takes long has run for some time.
func (c *Core) observeTrial(r *run, now time.Duration) {
	b, spec := &r.executor.breaker, r.task.step.spec
	if b.open && (spec.LongRunning || spec.Estimate() > maxTrialEstimate) && now-r.startedAt >= trialSurvival {
		b.recordSuccess(r.startedAt)
	}
}
