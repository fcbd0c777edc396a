package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Kinds of reservations, by the task that they are made for.
const (
	ReservedLongRunning = iota
	ReservedBatch
	ReservedBestEffort
	ReservedKinds
)

// ReservedKindName returns the name of a kind of reservations for metrics.
func ReservedKindName(kind int) string {
	return [ReservedKinds]string{"long_running", "batch", "best_effort"}[kind]
}

// States of runs that the newest reports of their executors do not list.
const (
	UnreportedPlanned = iota // its record is being stored
	UnreportedStarting
	UnreportedRunning
	UnreportedUnanswered
	UnreportedRestored
	UnreportedNoContact // the executor has not reported in this term or not lately
	UnreportedTruncated // it may have ended: the newest report does not list all ends
	UnreportedStates
)

// UnreportedStateName returns the name of a state for metrics and the log.
func UnreportedStateName(state int) string {
	return [UnreportedStates]string{"planned", "starting", "running", "unanswered", "restored", "no_contact", "ends_truncated"}[state]
}

// Reservations compares what an owner has reserved with what executors report.
type Reservations struct {
	Capacity   fleet.Resources                   // of the executors that accept work
	Free       fleet.Resources                   // of these executors
	Reserved   [ReservedKinds]fleet.Resources    // on all executors
	Unreported [UnreportedStates]fleet.Resources // part of Reserved: of runs older than the newest report, which does not list them
	Unexpected fleet.Resources                   // of runs that executors list and this owner does not expect there
	// UnknownRuns is the number of executors that list a run of a task that this owner does
	// not know. They accept no work.
	UnknownRuns int
}

const (
	// reservationInterval is the time between two comparisons of reservations with reports.
	reservationInterval = time.Second
	// maxUnreported is the maximum time from the start of a run to the heartbeat whose report must
	// list it or end its reservation: the call of a start is over within startWindow, and the
	// next report of an executor in contact is at most maxReportAge old.
	maxUnreported = startWindow + maxReportAge
	// unreportedLogInterval is the time between two lines about one executor.
	unreportedLogInterval = 10 * time.Second
)

// compareReservations compares reservations with the newest reports and counts the steps
// that have not started or are overdue, every reservationInterval.
func (c *Core) compareReservations(now time.Duration) {
	if c.reservationsAt > 0 && now-c.reservationsAt < reservationInterval {
		return
	}
	c.reservationsAt = now
	c.reservations = Reservations{}
	c.notStartedSteps = c.notStarted()
	c.overdueSteps = c.countOverdueSteps(now)
	c.countBacklog()
	var overdue []*run
	for _, e := range c.executors {
		if r := c.compareReservationsOf(e, now); r != nil && now >= e.unreportedLogAt {
			e.unreportedLogAt = now + unreportedLogInterval
			overdue = append(overdue, r)
		}
	}
	slices.SortFunc(overdue, func(a, b *run) int { return cmp.Compare(a.executor.info.ID, b.executor.info.ID) })
	for _, r := range overdue {
		c.logUnreported(r, now)
	}
}

// compareReservationsOf adds one executor to the comparison. It returns the first of its runs
// that have been reserved for longer than maxUnreported without a report that lists them, or nil.
func (c *Core) compareReservationsOf(e *executor, now time.Duration) *run {
	sums := &c.reservations
	if c.acceptsWork(e, now) {
		sums.Capacity = sums.Capacity.Add(e.info.Size)
		sums.Free = sums.Free.Add(e.info.Size.Sub(e.reserved).Sub(e.unexpected))
	}
	sums.Unexpected = sums.Unexpected.Add(e.unexpected)
	if e.hasUnknownRun {
		sums.UnknownRuns++
	}
	var overdue *run
	for _, r := range e.runs {
		size, kind := reservation(r.task.step.spec), r.task.step.reservedKind()
		sums.Reserved[kind] = sums.Reserved[kind].Add(size)
		state, unreported := c.unreportedState(r, now)
		if !unreported {
			continue
		}
		sums.Unreported[state] = sums.Unreported[state].Add(size)
		if state == UnreportedPlanned || state == UnreportedNoContact || state == UnreportedTruncated || e.lastReportSent-c.expectedSince(r) <= maxUnreported {
			continue
		}
		if overdue == nil || compareNames(r.taskName, overdue.taskName) < 0 {
			overdue = r
		}
	}
	return overdue
}

func (st *step) reservedKind() int {
	switch {
	case st.spec.LongRunning:
		return ReservedLongRunning
	case st.spec.BestEffort:
		return ReservedBestEffort
	}
	return ReservedBatch
}

// unreportedState returns the state of a run that the newest report of its executor does not
// list. It returns false if the report lists the run or is older than it.
func (c *Core) unreportedState(r *run, now time.Duration) (state int, unreported bool) {
	e := r.executor
	switch {
	case e.reported && r.listedAt == e.lastReportAt:
		return 0, false
	case r.state == runPlanned:
		return UnreportedPlanned, c.expectedSince(r) < e.lastReportSent
	case !e.reported || e.contactLostAt != 0 || now-e.lastReportAt > maxReportAge:
		return UnreportedNoContact, true
	case e.endsTruncated:
		return UnreportedTruncated, c.expectedSince(r) < e.lastReportSent
	}
	return [...]int{
		runStarting: UnreportedStarting, runRunning: UnreportedRunning, runUnanswered: UnreportedUnanswered, runRestored: UnreportedRestored,
	}[r.state], c.expectedSince(r) < e.lastReportSent
}

// expectedSince returns the time from which a report may be expected to list a run.
func (c *Core) expectedSince(r *run) time.Duration {
	if r.state == runRestored {
		return c.restoredAt
	}
	return max(r.plannedAt, r.confirmedAt)
}

func (c *Core) logUnreported(r *run, now time.Duration) {
	state, _ := c.unreportedState(r, now)
	size := reservation(r.task.step.spec)
	c.events = append(c.events, Event{
		Kind:     "unreported",
		Task:     r.taskName,
		Run:      r.number,
		Executor: r.executor.info.ID,
		Detail:   fmt.Sprintf("%s, %d mCPU and %d MB reserved", UnreportedStateName(state), size.MilliCPU, size.MemoryMB),
		Age:      now - c.expectedSince(r),
	})
}
