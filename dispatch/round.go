package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
)

// Callers may send work that no executor can run, or for which there is no room, with any number of steps. The
// cost of a plan is bounded in spite of it, since the plan shares its goroutine with the renewal of leases:
//
//   - At most maxPlannedSteps steps of each class are in Core.waiting, which every plan ranks. The others are in
//     Core.backlog, and replace steps that were examined and got no executor.
//   - A plan examines steps in the order of rank until it has done maxPlanWork. The next one goes on with the steps
//     that were not examined. Once all of a class are, the next round begins. While there is less work, each
//     plan is a round.
//
// Work is counted in executors that are considered for a task, and in steps where no executor is considered.
const (
	maxPlannedSteps = 2048
	// maxPlanWork bounds the work of a plan for each class of steps, and that of placeInTurn. The step that reaches the
	// bound is completed: that takes at most submission.MaxTasks times the executors of a cell.
	maxPlanWork = 100_000
	// runsPerWork is the number of runs, steps or tasks that are looked at for one unit of work.
	runsPerWork = 16
	// maxWaitingLines is the maximum number of lines in a second that say why a step waits.
	maxWaitingLines = 100
)

// stepClass is a class of steps that share the bounds of a plan, so that none of them waits behind those of another class.
type stepClass int

const (
	longRunningSteps stepClass = iota
	batchSteps
	stepClasses
)

func (st *step) class() stepClass {
	if st.spec.LongRunning {
		return longRunningSteps
	}
	return batchSteps
}

// round is one examination of all steps of a class in Core.waiting.
type round struct {
	number int
	work   int  // of the current plan
	isCut  bool // the current plan has left out steps
}

// backlog holds the steps of a class for which there is no place in Core.waiting.
type backlog struct {
	added   []*step // were never in Core.waiting
	refused []*step // were examined, the longest ago first
}

func (b *backlog) len() int { return len(b.added) + len(b.refused) }

// next removes the step that is examined next. Neither steps that are added all the time nor those that were refused
// keep the others out.
func (b *backlog) next(takeRefused bool) *step {
	from := &b.added
	if len(b.added) == 0 || takeRefused && len(b.refused) > 0 {
		from = &b.refused
	}
	st := (*from)[0]
	(*from)[0] = nil
	*from = (*from)[1:]
	return st
}

// addWaiting adds a step to those that wait to be started.
func (c *Core) addWaiting(st *step) {
	class := st.class()
	if c.planned[class] >= maxPlannedSteps {
		c.backlog[class].added = append(c.backlog[class].added, st)
		return
	}
	c.admitStep(st)
}

// admitStep adds a step to Core.waiting.
func (c *Core) admitStep(st *step) {
	c.admissions++
	st.admitted = c.admissions
	c.planned[st.class()]++
	c.waiting = append(c.waiting, st)
}

// beginRounds drops the steps without waiting tasks, and replaces steps that were examined by steps of the backlog.
func (c *Core) beginRounds(now time.Duration) {
	c.work = 0
	c.planned = [stepClasses]int{}
	c.waiting = slices.DeleteFunc(c.waiting, func(st *step) bool {
		if c.dropIfPlaced(st, now) {
			return true
		}
		c.planned[st.class()]++
		return false
	})
	for class := range stepClasses {
		r := &c.rounds[class]
		if !r.isCut { // else steps of the backlog with a higher rank could keep those out that were not examined
			r.number++
			c.rotate(class, now)
		}
		r.work, r.isCut = 0, false
	}
}

// dropIfPlaced reports whether a step has no waiting tasks. Such a step is queued again once it has.
func (c *Core) dropIfPlaced(st *step, now time.Duration) bool {
	st.queued = len(st.waiting) > 0
	if !st.queued {
		c.endPlaceWaitWithoutTasks(st, now)
	}
	return !st.queued
}

// rotate moves steps of a class that were examined to the backlog, those that were in Core.waiting for longest
// first, and fills their places from there.
func (c *Core) rotate(class stepClass, now time.Duration) {
	b := &c.backlog[class]
	if b.len() == 0 {
		return
	}
	places := maxPlannedSteps - c.planned[class]
	if n := b.len() - places; n > 0 {
		var examined []*step
		for _, st := range c.waiting {
			if st.class() == class && st.round > 0 {
				examined = append(examined, st)
			}
		}
		slices.SortFunc(examined, func(x, y *step) int { return x.admitted - y.admitted })
		examined = examined[:min(n, len(examined))]
		for _, st := range examined {
			st.admitted = 0
		}
		c.waiting = slices.DeleteFunc(c.waiting, func(st *step) bool { return st.admitted == 0 })
		c.planned[class] -= len(examined)
		places += len(examined)
		b.refused = append(b.refused, examined...)
	}
	for takeRefused := false; places > 0 && b.len() > 0; takeRefused = !takeRefused {
		st := b.next(takeRefused)
		if c.dropIfPlaced(st, now) {
			continue
		}
		st.round, st.turnRound = 0, 0
		c.admitStep(st)
		places--
	}
}

// mayExamine reports whether a step is examined in this plan.
func (c *Core) mayExamine(st *step) bool {
	r := &c.rounds[st.class()]
	switch {
	case st.round == r.number:
		return false
	case r.work >= maxPlanWork:
		if !r.isCut {
			r.isCut = true
			c.cutPlans++
		}
		return false
	}
	return true
}

// examined notes that a step was examined, with the work of the plan before.
func (c *Core) examined(st *step, before int) {
	r := &c.rounds[st.class()]
	st.round = r.number
	r.work += c.work - before
}

// keepReservations makes the reservations again that the tasks of a step have, which this plan doesn't examine.
func (c *Core) keepReservations(st *step, candidates []*candidate) {
	if !st.spec.LongRunning {
		return
	}
	for _, t := range st.waiting {
		if t.reservedOn == "" {
			continue
		}
		i, ok := slices.BinarySearchFunc(candidates, t.reservedOn, func(cand *candidate, id provider.ExecutorID) int { return cmp.Compare(cand.executor.info.ID, id) })
		if ok {
			candidates[i].reservation = candidates[i].reservation.Add(st.spec.Size)
			candidates[i].host.Reserved = candidates[i].host.Reserved.Add(st.spec.Size)
		}
	}
}

// eachWaiting calls f for all steps that wait to be started.
func (c *Core) eachWaiting(f func(*step)) {
	for _, st := range c.waiting {
		f(st)
	}
	for _, b := range c.backlog {
		for _, steps := range [][]*step{b.added, b.refused} {
			for _, st := range steps {
				f(st)
			}
		}
	}
}

// serviceUse is a service's capacity and what runs reserve of it, on some candidates.
type serviceUse struct {
	capacity, used fleet.Resources
}

// usage keeps serviceUse until a run is planned or removed, since each waiting step needs it.
type usage struct {
	candidates []*candidate
	changes    int
	services   map[string]serviceUse
}

func (u *usage) isOf(candidates []*candidate, changes int) bool {
	return u.services != nil && u.changes == changes && len(u.candidates) == len(candidates) &&
		(len(candidates) == 0 || u.candidates[0] == candidates[0])
}

// countBacklog counts the waiting tasks of the backlog for Stats.
func (c *Core) countBacklog() {
	c.backlogTasks = 0
	for _, b := range c.backlog {
		for _, steps := range [][]*step{b.added, b.refused} {
			for _, st := range steps {
				c.backlogTasks += len(st.waiting)
			}
		}
	}
}
