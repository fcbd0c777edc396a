package dispatch

import "time"

// Hold is the reason why a listed executor gets no new tasks, or only some; see docs/OPERATIONS.md.
type Hold byte

// The holds, of which an executor has the last one that applies. With those up to HoldTrial it still gets
// the work that shows whether it is well.
const (
	NotHeld        Hold = iota
	HoldPaused          // after failed runs
	HoldTrial           // half-open: waits for a trial
	HoldRefused         // it refused an order
	HoldUnknownRun      // it lists a task that was not submitted
	HoldLease           // the record of unreachable executors names it
	HoldSilent          // no current report
	HoldEvacuated       // its failure domain is evacuated
	HoldDraining
	Holds
)

func (h Hold) String() string {
	return [Holds]string{"none", "paused", "trial", "refused_order", "unknown_run", "lease", "silent", "evacuated", "draining"}[h]
}

// holdOf returns the hold of an executor.
func (c *Core) holdOf(e *executor, now time.Duration) Hold {
	switch {
	case e.info.Draining:
		return HoldDraining
	case c.evacuated[e.info.FailureDomain]:
		return HoldEvacuated
	case !e.reported || e.contactLostAt != 0 || now-e.lastReportAt >= maxReportAge:
		return HoldSilent
	case e.leaseLimited:
		return HoldLease
	case e.hasUnknownRun:
		return HoldUnknownRun
	case now < e.avoidUntil:
		return HoldRefused
	case e.breaker.isHalfOpen(now):
		return HoldTrial
	case e.breaker.open:
		return HoldPaused
	}
	return NotHeld
}

// acceptsWork reports whether an executor may get new tasks.
func (c *Core) acceptsWork(e *executor, now time.Duration) bool {
	return e.listed && c.holdOf(e, now) == NotHeld
}

// isAvailable reports whether an executor may get new tasks, but for its breaker.
func (c *Core) isAvailable(e *executor, now time.Duration) bool {
	return e.listed && c.holdOf(e, now) <= HoldTrial
}
