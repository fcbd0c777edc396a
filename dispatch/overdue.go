package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/colocate"
	"github.com/peridotlock/peridotlock/fleet"
)

// Executors are refused to tasks for what is expected of these: best-effort tasks for
// harm to servers and for processors that others use, any task for suspects beside it, and a
// task that has failed there, and smaller tasks for the reservation of a larger one. None of this
// improves while a task waits: an image without runs has no readings that could correct its estimate,
// a server may be above its target by its own load, a suspect may run for long, as may the batch work
// behind which a reservation waits, and there may be no other executor. A submission none
// of whose tasks runs is therefore overdue after some time. It then gets one run at a time, or
// one gang, on the executors with room where the least is expected to go wrong. Processors are
// shared in the order of waits: in the order of rank, a backlog whose runs end and are overdue
// again would keep those with the most work waiting without a bound. Long-running
// tasks are overdue one by one, whether others of their submission run or not. The paces of
// best-effort runs follow the readings there as everywhere else.
const (
	// maxRefusedWait is the time after which a submission is overdue while most capacity is
	// free. The platform wants a task to run within 3 s, of which storing and starting take
	// up to one.
	maxRefusedWait = 1500 * time.Millisecond
	// maxRefusedWaitBusy is the same for batch work while it is not. Processors are not shared
	// then: best-effort work waits for them in the order of rank.
	maxRefusedWaitBusy = 10 * time.Second
	// overdueRetryDelay is the pause after a search that found no executor. An overload makes
	// many submissions overdue.
	overdueRetryDelay = 250 * time.Millisecond
	// mostCapacity is the fraction of the capacity that has to be free, as the platform defines.
	mostCapacity = 0.5
	// maxUsageError is the fraction of the capacity by which an owner may count more as used than
	// executors do: runs count from their plan until their end is reported.
	maxUsageError = 0.1
)

// overdueRunPenalty outweighs the other parts of a score of an overdue best-effort task, for each
// overdue run on the executor. These may be paced down to 0, so that waiting for their ends
// has no bound.
const overdueRunPenalty = 1e7

// pausedPenalty outweighs the other parts of a score, for each pause in a row of an executor that
// is paused.
const pausedPenalty = 1e9

// leniency says which reasons for refusals do not count for a step.
type leniency byte

const (
	strict          leniency = iota
	allowHarm                // expected harm, servers above their targets, suspects, and failures
	allowOvercommit          // these, reservations, and processors that best-effort tasks use
	leniencies
)

// leniencyFor returns the leniency for the next task of a step that is refused all candidates.
func (c *Core) leniencyFor(st *step, candidates []*candidate, now time.Duration) leniency {
	switch {
	case !st.hasOverdueWait(now):
		return strict
	case st.spec.LongRunning || c.isMostlyFree(st.job.sub.Service, candidates):
		return allowOvercommit
	case now-st.unplacedSince < maxRefusedWaitBusy:
		return strict
	}
	return allowHarm
}

// countOverdueSteps returns the number of steps that have been refused all executors for over
// maxRefusedWait, of batch work only those of submissions without runs.
func (c *Core) countOverdueSteps(now time.Duration) int {
	n := 0
	c.eachWaiting(func(st *step) {
		if len(st.waiting) > 0 && st.hasOverdueWait(now) {
			n++
		}
	})
	return n
}

// hasOverdueWait reports whether a step has been refused all executors for over maxRefusedWait.
// Batch work is not overdue while others of its submission run.
func (st *step) hasOverdueWait(now time.Duration) bool {
	return st.unplacedSince > 0 && now-st.unplacedSince >= maxRefusedWait && (st.spec.LongRunning || !st.job.hasCurrentRuns(now))
}

// overdueState says for the log whether a step that is refused all candidates is overdue.
func (c *Core) overdueState(st *step, candidates []*candidate, now time.Duration) string {
	switch c.leniencyFor(st, candidates, now) {
	case allowOvercommit:
		return "overdue, may share processors"
	case allowHarm:
		return "overdue"
	}
	if !st.spec.LongRunning && st.job.hasCurrentRuns(now) {
		return "others of its submission run"
	}
	return "not overdue"
}

// leniencyAtRank returns the leniency for the next task of a step in the order of rank. Batch work
// shares processors only in turn.
func (c *Core) leniencyAtRank(st *step, candidates []*candidate, now time.Duration) leniency {
	if st.spec.LongRunning {
		return c.leniencyFor(st, candidates, now)
	}
	if now < st.nextOverdueAt[allowHarm] {
		return strict
	}
	return min(allowHarm, c.leniencyFor(st, candidates, now))
}

// hasCurrentRuns reports whether a run of the job was planned or known to exist recently. Others are
// on executors that don't answer, and may have ended long before their leases do.
func (j *job) hasCurrentRuns(now time.Duration) bool {
	if j.currentRun != nil && j.currentRun.isCurrent(now) {
		return true
	}
	if j.checkedAt == now {
		return false
	}
	for r := range j.runs {
		if r.isCurrent(now) {
			j.currentRun = r
			return true
		}
	}
	j.currentRun, j.checkedAt = nil, now
	return false
}

// isCurrent reports whether r is the run of its task, and was planned or known to exist recently.
func (r *run) isCurrent(now time.Duration) bool {
	return r.task.run == r && now-max(r.plannedAt, r.confirmedAt) <= maxReportAge
}

// confirm notes that a run is known to exist.
func (r *run) confirm(now time.Duration) {
	r.confirmedAt = now
	r.task.step.job.checkedAt = -1
}

// pausedCandidates returns the executors that are paused after failed runs, or wait for a trial.
func (c *Core) pausedCandidates(now time.Duration) []*candidate {
	return c.candidatesOf(func(e *executor) bool { return c.isAvailable(e, now) && e.breaker.open })
}

// overdueCandidates returns the candidates that could run a task. If there are at
// least as many paused ones, the tasks that failed there are a likelier cause than the executors,
// and these are returned as well: all work would wait for the end of the pauses. A long-running task also gets one
// that has been paused for some time. A run that
// is done ends the pause. Executors may also be the cause, and most of them; so each is tested
// by one run, or one gang, at a time, and few attempts are spent on it.
func overdueCandidates(t *task, candidates, paused []*candidate, now time.Duration) []*candidate {
	isExcluded := func(cand *candidate) bool {
		return !satisfiesConstraints(t, cand.executor) || !t.step.couldRunOn(cand.executor)
	}
	suitable := slices.DeleteFunc(slices.Clone(candidates), isExcluded)
	if len(paused) == 0 {
		return suitable
	}
	if paused = slices.DeleteFunc(slices.Clone(paused), isExcluded); len(paused) < len(suitable) {
		if !t.step.spec.LongRunning {
			return suitable
		}
		paused = slices.DeleteFunc(paused, func(cand *candidate) bool { return !cand.executor.breaker.mayTryLongRunning(now) })
	}
	isTested := func(cand *candidate) bool { return cand.executor.testsPause(t.step, now) }
	return append(suitable, slices.DeleteFunc(paused, isTested)...)
}

// couldRunOn reports whether an executor is large enough for a task of the step, and the advice
// service has not refused it.
func (st *step) couldRunOn(e *executor) bool {
	return reservation(st.spec).Fits(e.info.Size) && !st.isRefusedBy(e)
}

// testsPause reports whether a recent overdue run shows soon whether runs on the executor still
// fail. The runs of a gang st do not count for the gang.
func (e *executor) testsPause(st *step, now time.Duration) bool {
	for _, r := range e.runs {
		if (r.overdue || r.trial) && now-r.plannedAt < maxRefusedWait && !(st.spec.Gang && r.task.step == st) {
			return true
		}
	}
	return false
}

// turnSince returns the time since when a step has waited for its turn: since the newest start of its
// submission, or since it was refused all executors.
func (st *step) turnSince() time.Duration { return max(st.unplacedSince, st.job.newestStartAt) }

// placeInTurn lets overdue batch work share processors while most of the capacity is free, that
// which has waited longest first. A new owner begins with the oldest submission.
func (c *Core) placeInTurn(b *Batch, candidates []*candidate, now time.Duration) {
	var turns []*step
	for _, st := range c.waiting {
		if !st.spec.LongRunning && st.job.acceptsStarts() && len(st.waiting) > 0 && st.unplacedSince > 0 &&
			now-st.unplacedSince >= maxRefusedWait && now >= st.nextOverdueAt[allowOvercommit] {
			turns = append(turns, st)
		}
	}
	slices.SortStableFunc(turns, func(x, y *step) int {
		return cmp.Or(cmp.Compare(x.turnSince(), y.turnSince()), cmp.Compare(x.job.sub.AcceptedMs, y.job.sub.AcceptedMs))
	})
	full := map[string]bool{} // services
	before, isCut := c.work, false
	for _, st := range turns {
		if st.turnRound == c.turnRound {
			continue
		}
		if isCut = c.work-before >= maxPlanWork; isCut {
			break
		}
		st.turnRound = c.turnRound
		c.work++
		service := st.job.sub.Service
		if !full[service] {
			full[service] = !c.isMostlyFree(service, candidates)
		}
		switch {
		case full[service] || !st.hasOverdueWait(now):
		case st.spec.Gang:
			c.placeGang(b, st, candidates, allowOvercommit, now)
		default:
			c.placeOneOverdue(b, st, candidates, now)
		}
	}
	if !isCut {
		c.turnRound++
	}
}

// placeOneOverdue places the first waiting task of a step that is not a stray, if it can.
func (c *Core) placeOneOverdue(b *Batch, st *step, candidates []*candidate, now time.Duration) {
	i := slices.IndexFunc(st.waiting, func(t *task) bool { return !t.isStray() })
	if i < 0 {
		return
	}
	t := st.waiting[i]
	cand := c.chooseOverdue(t, candidates, allowOvercommit, now)
	if cand == nil {
		return
	}
	st.waiting = slices.Delete(st.waiting, i, i+1)
	st.unplacedSince = 0
	c.assign(b, t, cand)
	c.markOverdue(t.run)
}

// chooseOverdue returns the candidate for a task of an overdue submission, or nil.
func (c *Core) chooseOverdue(t *task, candidates []*candidate, lenient leniency, now time.Duration) *candidate {
	if lenient == strict || t.isStray() || t.exceedsCap(1) || now < t.step.nextOverdueAt[lenient] {
		return nil
	}
	var best *candidate
	bestScore := 0.0
	for _, cand := range overdueCandidates(t, candidates, c.paused, now) {
		c.work += 1 + len(cand.executor.runs)/runsPerWork
		if _, ok := t.step.ticketFor(cand.executor, now); !ok {
			continue
		}
		score, reason := c.scoreOverdue(t, cand, lenient, now)
		if reason == notRefused && (best == nil || score > bestScore) {
			best, bestScore = cand, score
		}
	}
	if best == nil {
		t.step.nextOverdueAt[lenient] = now + overdueRetryDelay
	}
	return best
}

// markOverdue notes that a planned run is one of an overdue submission.
func (c *Core) markOverdue(r *run) {
	r.overdue = true
	c.addEvent("overdue", r, "its executor was refused to it", 0)
}

// scoreOverdue scores one of the overdueCandidates for a task, or refuses it. Tickets are not
// considered.
func (c *Core) scoreOverdue(t *task, cand *candidate, lenient leniency, now time.Duration) (score float64, reason refusal) {
	spec, e := t.step.spec, cand.executor
	if lenient == allowOvercommit {
		cand = cand.withoutReservation()
	}
	if spec.BestEffort {
		task := colocate.BestEffortTask{Image: spec.Image, MilliCPU: spec.Size.MilliCPU, Pace: 1}
		var r colocate.Refusal
		score, r = c.model.ScoreOverdue(task, reservation(spec), &cand.host, lenient == allowOvercommit)
		reason = refusalOf(r)
	} else {
		score, reason = c.score(t.step, cand)
	}
	if reason != notRefused {
		return 0, reason
	}
	if t.crashUnit().crash.isRepeated() && !t.mayJoin(cand, now) {
		return 0, refusedSuspects // it would likely take the work there along; its wait has a bound of its own
	}
	others := e.countOverdueRuns(t.step)
	if lenient == allowHarm && others > 0 {
		return 0, refusedHarm
	}
	if e.breaker.open {
		score -= pausedPenalty * float64(e.breaker.pauses)
	}
	score -= e.crashPenalty(t.crashUnit().crash.isSuspect(), now) + overdueRunPenalty*float64(others)
	if e.info.ID == t.avoidExecutor {
		score -= avoidPenalty
	}
	return score, notRefused
}

// withoutReservation returns a copy of a candidate with the room that only runs leave free.
func (cand *candidate) withoutReservation() *candidate {
	out := *cand
	out.host.Reserved = out.host.Reserved.Sub(out.reservation)
	out.reservation = fleet.Resources{}
	return &out
}

// countOverdueRuns returns the number of best-effort runs of other steps than st that were
// started although the executor was refused to them. It is 0 if st is not best-effort.
func (e *executor) countOverdueRuns(st *step) int {
	n := 0
	for _, r := range e.runs {
		if r.overdue && r.task.step != st && r.task.step.spec.BestEffort && st.spec.BestEffort {
			n++
		}
	}
	return n
}

// isMostlyFree reports whether most of a service's capacity may be free, on the candidates and the paused
// executors or in all cells together.
func (c *Core) isMostlyFree(service string, candidates []*candidate) bool {
	capacity, used := c.capacityOf(service, candidates)
	others := c.otherCells[service]
	return isMostFree(capacity, used) || isMostFree(capacity.Add(others.Size), used.Add(others.Used))
}

// capacityOf returns a service's capacity on the candidates and the paused executors, and how much of
// it runs reserve.
func (c *Core) capacityOf(service string, candidates []*candidate) (capacity, used fleet.Resources) {
	if !c.usage.isOf(candidates, c.placements) {
		c.usage = usage{candidates: candidates, changes: c.placements, services: map[string]serviceUse{}}
		for _, cand := range slices.Concat(candidates, c.paused) {
			u := c.usage.services[cand.executor.info.Service]
			u.capacity = u.capacity.Add(cand.host.Size)
			u.used = u.used.Add(cand.host.Reserved).Sub(cand.reservation)
			c.usage.services[cand.executor.info.Service] = u
		}
	}
	u := c.usage.services[service]
	return u.capacity, u.used
}

func isMostFree(size, used fleet.Resources) bool {
	limit := 1 - mostCapacity + maxUsageError
	return float64(used.MilliCPU) <= limit*float64(size.MilliCPU) && float64(used.MemoryMB) <= limit*float64(size.MemoryMB)
}
