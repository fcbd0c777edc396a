package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

const (
	// maxPlaceWait is the time after the release of a step up to which its tasks may wait for a place on their
	// rack. With maxRefusedWait, which may follow it, it is within the 3 s in which the platform wants a task to run.
	maxPlaceWait = 750 * time.Millisecond
	// rackDemandTime is the time for which other work avoids a rack after it had no room for a task of its own.
	rackDemandTime = 2 * time.Second
	// placeErrorHalfLife is the time in which a learned error of expected waits halves.
	placeErrorHalfLife = 10 * time.Second
	// placeErrorWeight is the weight of the newest wait in the learned error.
	placeErrorWeight = 0.2
	// startAllowance is the time that storing and sending a start and reporting its end take besides the run.
	startAllowance = 100 * time.Millisecond
	maxPlaceError  = 8
	// beginMargin is the multiple of its expected length for which a wait has to pay to begin.
	beginMargin = 2
)

// Outcomes of waits for a place.
const (
	PlaceFound    = iota // all tasks that waited started on their rack
	PlaceGivenUp         // at least one started elsewhere, or will
	PlaceDropped         // the submission ended or was moved meanwhile
	PlaceNoChoice        // the room elsewhere was taken by others
	PlaceOutcomes
)

// PlaceOutcomeName returns the name of an outcome for metrics and the log.
func PlaceOutcomeName(outcome int) string {
	return [PlaceOutcomes]string{"found", "given_up", "dropped", "no_choice"}[outcome]
}

// PlaceWaits counts the waits for places that have ended.
type PlaceWaits struct {
	Ended  [PlaceOutcomes]int           // steps
	Waited [PlaceOutcomes]time.Duration // in total
	Saved  time.Duration                // expected run time that tasks saved that started on their rack after a wait
}

// placeWait is the wait of a step's tasks for a place on their rack.
type placeWait struct {
	since     time.Duration // 0 while they don't wait
	over      bool          // the step has waited; it does so once
	expected  time.Duration // the wait, when it began
	saved     time.Duration // expected for each task that gets a place
	onRack    int           // tasks that were placed on the rack since
	elsewhere int           // tasks that were placed on other racks since
}

// placeChoice is the choice between waiting for places on the rack where tasks run fastest and starting
// the tasks elsewhere.
//
// It answers a rack whose data many submissions want at once. Its runs end one after the other, so that
// a task of half a second loses less by a short wait than by a start on a slower rack, while one that
// comes late in the queue loses more.
type placeChoice struct {
	tasks     int           // that wait
	wait      time.Duration // expected until the last of them has a place on the rack
	duration  time.Duration // expected for one task on the rack
	factor    float64       // by which it lasts longer elsewhere
	delay     time.Duration // until it could start elsewhere
	slowed    bool          // others of the step run elsewhere: its end is late anyway
	contended bool          // others wait for room, which a longer run would take from them
	slack     time.Duration // from the end of the submission, if its tasks started now on the rack, to its objective
	left      time.Duration // of the time for which the step may wait
}

// extra returns the time by which a task lasts longer elsewhere.
func (p placeChoice) extra() time.Duration {
	return time.Duration(float64(p.duration) * (p.factor - 1))
}

// latest returns the time after which a start elsewhere misses the objective; it is below 0 if one does so now.
func (p placeChoice) latest() time.Duration { return p.slack - p.extra() - p.delay - startAllowance }

// against returns the reason why a wait does not pay, or "". A wait is weighed against what the caller gains
// and, while others wait for room, against the room that a longer run would take from them. It ends while
// a start elsewhere is still in time, since the expected ends may not come.
func (p placeChoice) against() string {
	gain := p.delay
	if !p.slowed {
		gain += p.extra()
	}
	if p.contended {
		gain += p.extra()
	}
	switch {
	case p.wait > p.left:
		return "longer than allowed"
	case p.latest() > 0 && p.wait > p.latest():
		return "a later start elsewhere misses the objective"
	case p.wait >= gain:
		return "longer than it saves"
	case p.wait > p.extra()+p.delay && p.wait > p.slack:
		return "misses the objective"
	}
	return ""
}

func (p placeChoice) String() string {
	return fmt.Sprintf("%d tasks, expected wait %d ms, elsewhere %d ms longer and %d ms later, slack %d ms, allowed %d ms, others of the step elsewhere %t, others wait for room %t",
		p.tasks, p.wait.Milliseconds(), p.extra().Milliseconds(), p.delay.Milliseconds(), p.slack.Milliseconds(), p.left.Milliseconds(), p.slowed, p.contended)
}

// weighsPlaces reports whether places are weighed for a step: its tasks end, and their duration depends on the
// rack and is known. That of best-effort tasks depends on what others leave them.
func (c *Core) weighsPlaces(st *step) bool {
	return c.options.OtherRackFactor > 1 && !st.spec.LongRunning && !st.spec.BestEffort && st.spec.EstimateMs > 0
}

// isAwayOn reports whether tasks of the step are slower on an executor for its rack.
func (st *step) isAwayOn(e *executor) bool { return st.rack != "" && st.rack != e.info.Rack() }

// waitsForPlace reports whether the waiting tasks of a step wait for places on their rack, as it has no room
// for all of them now. Elsewhere tells whether the first task has room on another rack of this cell; without that
// the submission could move to another cell. A wait reserves nothing.
func (c *Core) waitsForPlace(st *step, elsewhere bool, candidates []*candidate, now time.Duration) bool {
	if st.rack == "" || !c.weighsPlaces(st) {
		c.endPlaceWait(st, PlaceGivenUp, "no rack has room for it", now)
		return false
	}
	if !elsewhere && !c.mayHandOver(st.job, now) {
		c.endPlaceWait(st, PlaceNoChoice, "no room elsewhere", now)
		return false
	}
	if st.place.over || st.waiting[0].runNumber > 0 {
		return false
	}
	queues := c.rackQueues(st, candidates, now)
	waits := expectedPlaces(queues, reservation(st.spec), len(st.waiting))
	if len(waits) < len(st.waiting) {
		c.endPlaceWait(st, PlaceGivenUp, "the rack can't take them", now)
		return false
	}
	choice := c.placeChoice(st, waits[len(waits)-1], elsewhere, now)
	if choice.wait == 0 || !st.spec.Gang && waits[0] == 0 {
		c.endPlaceWait(st, PlaceGivenUp, "refused on the rack for other reasons than room", now)
		return false
	}
	c.rackDemand[st.rack] = now + rackDemandTime
	weighed := choice
	if st.place.since == 0 {
		weighed.wait = time.Duration(beginMargin * float64(choice.wait))
	}
	if reason := weighed.against(); reason != "" {
		c.endPlaceWait(st, PlaceGivenUp, reason+": "+choice.String(), now)
		return false
	}
	for _, q := range queues {
		q.candidate.promised = append(q.candidate.promised, q.taken...)
	}
	if st.place.since == 0 {
		st.place.since, st.place.expected, st.place.saved = now, choice.wait, choice.extra()
		st.job.placeWaits++
		c.addPlaceEvent("place wait", st, choice.String(), 0)
	}
	if st.unplacedSince == 0 {
		st.unplacedSince = now // the bound for refused work includes the wait
	}
	return true
}

// placeChoice returns the choice for the waiting tasks of a step.
func (c *Core) placeChoice(st *step, wait time.Duration, elsewhere bool, now time.Duration) placeChoice {
	j := st.job
	choice := placeChoice{
		tasks:     len(st.waiting),
		wait:      time.Duration(float64(wait) * c.currentPlaceError(now)),
		duration:  c.durations[j.sub.Queue].expected(st.spec.Estimate()),
		factor:    c.options.OtherRackFactor,
		contended: c.isContended(st),
		slack:     st.slack(c.nowMs),
		left:      maxPlaceWait - time.Duration(c.nowMs-st.releasedMs)*time.Millisecond,
	}
	if !elsewhere {
		choice.delay = max(0, j.handoverDelay()-(now-j.arrivedAt)) + handoverAfter
	}
	for _, t := range st.tasks {
		if t.run != nil && st.isAwayOn(t.run.executor) {
			choice.slowed = true
		}
	}
	return choice
}

// slack returns the time from the estimated end of the submission, if the tasks of the step started now,
// to its objective.
func (st *step) slack(nowMs int64) time.Duration {
	j, o := st.job, st.occurrence
	if j.objective == 0 {
		return math.MaxInt64
	}
	due := max(j.sub.AcceptedMs, j.dueMs(o.number))
	if due == 0 {
		due = st.releasedMs
	}
	objective := time.Duration(j.stretch*float64(j.chain()))*time.Millisecond + j.objective
	return objective - time.Duration(nowMs-due+j.chainFromMs(st.index))*time.Millisecond
}

// isContended reports whether batch work of other steps was refused all executors of the service.
func (c *Core) isContended(st *step) bool {
	contends := func(other *step) bool {
		return other != st && other.unplacedSince > 0 && other.place.since == 0 && !other.spec.LongRunning &&
			other.job.acceptsStarts() && other.job.sub.Service == st.job.sub.Service
	}
	if other := c.contending; other != nil && len(other.waiting) > 0 && contends(other) {
		return true
	}
	c.work += len(c.waiting) / runsPerWork
	if i := slices.IndexFunc(c.waiting, contends); i >= 0 {
		c.contending = c.waiting[i]
		return true
	}
	return false
}

// endPlaceWait ends the wait of a step for places on its rack, if there is one.
func (c *Core) endPlaceWait(st *step, outcome int, reason string, now time.Duration) {
	p := st.place
	if p.since == 0 {
		return
	}
	st.place = placeWait{over: true}
	st.job.placeWaits--
	waited := now - p.since
	c.placeWaits.Ended[outcome]++
	c.placeWaits.Waited[outcome] += waited
	c.placeWaits.Saved += time.Duration(p.onRack) * p.saved
	if outcome == PlaceFound || outcome == PlaceGivenUp {
		c.learnPlaceError(float64(waited)/float64(max(p.expected, time.Millisecond)), now)
	}
	c.addPlaceEvent("place wait ended", st, fmt.Sprintf("%s: %d tasks on the rack, %d elsewhere, %d left; expected %d ms; %s",
		PlaceOutcomeName(outcome), p.onRack, p.elsewhere, len(st.waiting), p.expected.Milliseconds(), reason), waited)
}

func (c *Core) addPlaceEvent(kind string, st *step, detail string, age time.Duration) {
	c.events = append(c.events, Event{Kind: kind, Task: st.name(), Detail: "rack " + st.rack + ", " + detail, Age: age})
}

// endPlaceWaitWithoutTasks ends the wait of a step that has no waiting task left.
func (c *Core) endPlaceWaitWithoutTasks(st *step, now time.Duration) {
	switch p := st.place; {
	case st.job.state.IsFinal() || p.onRack+p.elsewhere == 0:
		c.endPlaceWait(st, PlaceDropped, "the submission has ended", now)
	case p.elsewhere > 0:
		c.endPlaceWait(st, PlaceGivenUp, "refused on the rack for other reasons than room", now)
	default:
		c.endPlaceWait(st, PlaceFound, "all tasks are placed", now)
	}
}

// notePlaced counts a placement of a step whose tasks wait for places on their rack.
func (st *step) notePlaced(e *executor) {
	switch {
	case st.place.since == 0:
	case st.isAwayOn(e):
		st.place.elsewhere++
	default:
		st.place.onRack++
	}
}

// learnPlaceError takes a wait that has ended into account, by its ratio to what was expected.
func (c *Core) learnPlaceError(ratio float64, now time.Duration) {
	c.placeError = (1-placeErrorWeight)*c.currentPlaceError(now) + placeErrorWeight*min(ratio, maxPlaceError)
	c.placeErrorAt = now
}

// currentPlaceError returns the factor by which waits lasted longer than expected; at least 1. It falls
// back to 1, since no wait could correct it once none pays.
func (c *Core) currentPlaceError(now time.Duration) float64 {
	age := float64(now-c.placeErrorAt) / float64(placeErrorHalfLife)
	return 1 + max(0, c.placeError-1)*math.Exp2(-age)
}

// rackQueue is what one executor of a rack is expected to have free, while tasks that are expected to
// start there are added.
type rackQueue struct {
	candidate *candidate
	free      fleet.Resources
	after     time.Duration // until then that room is expected
	ends      []batchEnd    // later ones
	left      int           // tasks of the step that may run there
	taken     []fleet.Resources
}

// rackQueues returns the executors of a step's rack on which only room may be missing. Tasks of a higher
// rank that wait for places there come first.
func (c *Core) rackQueues(st *step, candidates []*candidate, now time.Duration) []*rackQueue {
	var out []*rackQueue
	c.work += len(candidates)
	for _, cand := range candidates {
		if st.isAwayOn(cand.executor) {
			continue
		}
		if _, reason := c.consider(st.waiting[0], cand, now); reason != notRefused && reason != refusedRoom {
			continue
		}
		q := &rackQueue{candidate: cand, free: cand.host.Free(), ends: c.expectedEnds(cand.executor, now), left: len(st.tasks)}
		if most := st.spec.MaxPerExecutor; most > 0 {
			q.left = most - cand.executor.countOf(st)
		}
		for _, size := range cand.promised {
			q.waitFor(size)
			q.free = q.free.Sub(size)
		}
		out = append(out, q)
	}
	return out
}

// waitFor returns the time after which a task of the given size is expected to fit. It returns false if
// the end of all batch work is not enough.
func (q *rackQueue) waitFor(size fleet.Resources) (time.Duration, bool) {
	for !size.Fits(q.free) {
		if len(q.ends) == 0 {
			return 0, false
		}
		q.free, q.after = q.free.Add(q.ends[0].size), q.ends[0].after
		q.ends = q.ends[1:]
	}
	return q.after, true
}

// expectedPlaces returns the times after which up to n tasks of the given size are expected to have a place,
// each on the executor that has room for it first.
func expectedPlaces(queues []*rackQueue, size fleet.Resources, n int) []time.Duration {
	var waits []time.Duration
	for len(waits) < n {
		var first *rackQueue
		for _, q := range queues {
			if q.left <= 0 {
				continue
			}
			if after, ok := q.waitFor(size); ok && (first == nil || after < first.after) {
				first = q
			}
		}
		if first == nil {
			break
		}
		first.free = first.free.Sub(size)
		first.taken = append(first.taken, size)
		first.left--
		waits = append(waits, first.after)
	}
	return waits
}

// expectedEnds returns the expected ends of an executor's batch runs, the soonest first, from how long
// the runs of their queues last.
func (c *Core) expectedEnds(e *executor, now time.Duration) []batchEnd {
	var ends []batchEnd
	for _, r := range e.runs {
		st := r.task.step
		if st.spec.LongRunning {
			continue
		}
		estimate := st.spec.Estimate()
		if st.isAwayOn(e) {
			estimate = time.Duration(float64(estimate) * c.options.OtherRackFactor)
		}
		remaining := c.durations[st.job.sub.Queue].remaining(estimate, now-max(r.plannedAt, r.startedAt))
		ends = append(ends, batchEnd{remaining, reservation(st.spec)})
	}
	slices.SortFunc(ends, func(a, b batchEnd) int { return cmp.Compare(a.after, b.after) })
	return ends
}

// chooseRack sets the rack of a step whose tasks are slower on more than one rack, while none of them runs: the
// one that is expected to have room for all of them first, of these the one with the most free processors.
// Without such a rack the tasks are spread as others are.
func (c *Core) chooseRack(st *step, candidates []*candidate, now time.Duration) {
	if !st.spec.SameRack || st.spec.DataRack != "" || !c.weighsPlaces(st) || len(st.tasks) == 1 || len(st.waiting) < len(st.tasks)-st.doneTasks {
		return
	}
	free := map[string]int64{}
	for _, cand := range candidates {
		free[cand.executor.info.Rack()] += cand.host.Free().MilliCPU
	}
	best, soonest := "", time.Duration(0)
	for rack := range free {
		st.rack = rack
		waits := expectedPlaces(c.rackQueues(st, candidates, now), reservation(st.spec), len(st.waiting))
		if len(waits) < len(st.waiting) {
			continue
		}
		wait := waits[len(waits)-1]
		if best == "" || cmp.Or(cmp.Compare(wait, soonest), cmp.Compare(free[best], free[rack]), cmp.Compare(rack, best)) < 0 {
			best, soonest = rack, wait
		}
	}
	st.rack = best
}

// expireRackDemand forgets racks that have had room for all of their tasks lately.
func (c *Core) expireRackDemand(now time.Duration) {
	for rack, until := range c.rackDemand {
		if until <= now {
			delete(c.rackDemand, rack)
		}
	}
}
