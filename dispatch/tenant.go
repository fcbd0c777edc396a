package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/quota"
	"github.com/peridotlock/peridotlock/submission"
)

// tenant is what this owner knows of a tenant. A task starts only if its tenant's use of this cell stays
// within the cell's part of the cap. What exceeds the part, since the cap has fallen or executors list
// runs that they were not to have, runs on.
//
// Waiting for the cap is no sign of missing room: no other cell has more of the cap, and an executor
// reserved for such a task would be idle. Such a step is therefore not overdue, has no reservations, is
// not handed over or lent, and is no part of the load that is published.
type tenant struct {
	name  string
	limit fleet.Resources // its cap in all cells; 0 where a resource is not limited
	part  fleet.Resources // of the cap for this cell
	whole bool            // part is all of it
	// used is what runs take up that may exist, also those that are planned, on executors out of contact or
	// unexpected. Best-effort tasks count in full.
	used fleet.Resources
	// restarting is what the long-running tasks need that wait to start again. Other tasks leave it free.
	restarting  fleet.Resources
	cappedSince time.Duration // since when all plans have refused it some task for its cap; 0 for none
	isCapped    bool          // the newest plan did
	loggedAt    time.Duration // time of the newest line about that; 0 for none
	probeAfter  time.Duration // earliest time of the next search for an executor by TenantUses
	probeFrom   int           // number of its waiting steps that the next search passes over
	hasRoom     bool          // the newest TenantUses found an executor for a task that waits for the cap
}

// maxRestartHold is the time for which a long-running task that fits nowhere keeps a part of its tenant's cap
// from other tasks.
const maxRestartHold = 6 * time.Second

// tenantOf returns the tenant with a name; nil for "".
func (c *Core) tenantOf(name string) *tenant {
	if name == "" {
		return nil
	}
	tn, ok := c.tenants[name]
	if !ok {
		tn = &tenant{name: name}
		c.tenants[name] = tn
		c.applyCap(tn, c.config)
	}
	return tn
}

// applyCap applies a configuration and this cell's share. A tenant that has been removed keeps its cap.
func (c *Core) applyCap(tn *tenant, config *policy.Config) {
	if config != nil {
		if t := config.Tenant(tn.name); t != nil {
			tn.limit = t.Cap
		}
	}
	share, ok := c.shares[tn.name]
	if !ok {
		share = c.options.TenantShare
	}
	if c.options.Cells <= 1 {
		share = quota.Whole
	}
	tn.part, tn.whole = quota.Amount(share, tn.limit), share == quota.Whole
}

// SetTenantShares sets this cell's shares of the caps of tenants; those without one have
// Options.TenantShare. The map is not changed afterwards.
func (c *Core) SetTenantShares(shares map[string]int64) {
	c.shares = shares
	for _, tn := range c.tenants {
		c.applyCap(tn, c.config)
	}
}

// tenantOfTask returns the tenant of a task's submission, or nil.
func (c *Core) tenantOfTask(task string) *tenant {
	id, err := submission.ParseTaskID(task)
	if err != nil {
		return nil
	}
	if j, ok := c.jobs[id.Submission]; ok {
		return j.tenant
	}
	return nil
}

func (tn *tenant) isLimited() bool { return tn != nil && quota.IsLimited(tn.limit) }

func (tn *tenant) account(size fleet.Resources, sign int64) {
	switch {
	case tn == nil:
	case sign < 0:
		tn.used = tn.used.Sub(size)
	default:
		tn.used = tn.used.Add(size)
	}
}

// exceedsCap reports whether n more tasks like t would bring the tenant's use above its part. A single task
// that is larger than the cap may run alone, if this cell has all of the cap: it would never run else.
func (t *task) exceedsCap(n int) bool {
	tn := t.step.job.tenant
	if !tn.isLimited() {
		return false
	}
	size := multiply(t.step.spec.Size, n)
	if tn.whole && n == 1 && tn.used.IsZero() && (t.holdsCap || tn.restarting.IsZero()) {
		return false
	}
	used := tn.used
	if !t.holdsCap {
		used = used.Add(tn.restarting)
	}
	return exceeds(size.MilliCPU, used.MilliCPU, tn.part.MilliCPU) || exceeds(size.MemoryMB, used.MemoryMB, tn.part.MemoryMB) ||
		exceeds(size.Accelerators, used.Accelerators, tn.part.Accelerators)
}

// exceedsCap reports whether all waiting tasks of a step together would.
func (st *step) exceedsCap() bool {
	return len(st.waiting) > 0 && st.waiting[0].exceedsCap(len(st.waiting))
}

// exceeds reports whether more of a resource brings its use above a limit; a task that needs none of a resource is not
// refused for it.
func exceeds(more, used, limit int64) bool { return more > 0 && used+more > limit }

func multiply(r fleet.Resources, n int) fleet.Resources {
	return fleet.Resources{MilliCPU: r.MilliCPU * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// beginCaps prepares the caps for a placement.
func (c *Core) beginCaps(now time.Duration) {
	c.countRestarts(now)
	for _, tn := range c.tenants {
		if !tn.isCapped {
			tn.cappedSince = 0
		}
		tn.isCapped = false
	}
	for _, st := range c.waiting {
		st.capped = 0
	}
}

// countRestarts sets what long-running tasks need that wait to start again. They come first of what a tenant may
// start: each of them was running, and others keep it from being at work for as long as they run.
func (c *Core) countRestarts(now time.Duration) {
	if len(c.tenants) == 0 {
		return
	}
	for _, tn := range c.tenants {
		tn.restarting = fleet.Resources{}
	}
	for _, st := range c.waiting {
		tn := st.job.tenant
		if !tn.isLimited() || !st.spec.LongRunning || !st.job.acceptsStarts() {
			continue
		}
		for _, t := range st.waiting {
			since := t.unplaceableSince
			if st.spec.Gang { // which has no reservations
				if st.holdSince == 0 {
					st.holdSince = now
				}
				since = st.holdSince
			}
			t.holdsCap = t.runNumber > 0 && (since == 0 || now-since < maxRestartHold)
			if t.holdsCap {
				tn.restarting = tn.restarting.Add(st.spec.Size)
			}
		}
	}
}

// releaseHold ends the part of a task in tenant.restarting, as it gets a run.
func (t *task) releaseHold() {
	if t.holdsCap {
		t.holdsCap = false
		t.step.job.tenant.restarting = t.step.job.tenant.restarting.Sub(t.step.spec.Size)
	}
}

// waitForCap adds tasks that are refused for their tenant's cap to the end of those that wait.
func (c *Core) waitForCap(st *step, capped []*task, now time.Duration) {
	if len(capped) == 0 {
		return
	}
	if len(st.waiting) == 0 {
		st.unplacedSince = 0
	}
	for _, t := range capped {
		t.unplaceableSince, t.reservedOn = 0, ""
	}
	c.endPlaceWait(st, PlaceDropped, "waits for its tenant's cap", now)
	st.capped = len(capped)
	st.waiting = append(st.waiting, capped...)
	tn := st.job.tenant
	tn.isCapped = true
	if tn.cappedSince == 0 {
		tn.cappedSince = now
	}
	if now-tn.cappedSince < waitingLogAfter || now-tn.loggedAt < waitingLogInterval && tn.loggedAt > 0 {
		return
	}
	tn.loggedAt = now
	c.events = append(c.events, Event{
		Kind: "tenant's cap",
		Task: capped[0].id().String(),
		Run:  capped[0].runNumber,
		Detail: fmt.Sprintf("tenant %q uses %v in this cell and needs %v for tasks that start again, of a part of %s; cap %v; %d of %d tasks wait, %v each",
			tn.name, tn.used, tn.restarting, describePart(tn.part), tn.limit, len(capped), len(st.tasks), st.spec.Size),
		Age: now - tn.cappedSince,
	})
}

func describePart(part fleet.Resources) string {
	of := func(n int64, unit string) string {
		if n >= quota.Unlimited {
			return "any" + unit
		}
		return fmt.Sprint(n) + unit
	}
	return of(part.MilliCPU, "m") + "/" + of(part.MemoryMB, "MB") + "/" + of(part.Accelerators, "acc")
}

// TenantUse is what a tenant with a cap uses of this cell.
type TenantUse struct {
	Used    fleet.Resources // by runs
	Waiting fleet.Resources // of tasks that wait for the cap
	Demand  quota.Demand
}

const (
	// maxCapProbes is the maximum number of steps of a tenant for which TenantUses looks for an executor.
	maxCapProbes = 4
	// capProbeDelay is the pause after none of them had one.
	capProbeDelay = 500 * time.Millisecond
)

// TenantUses returns the use of all tenants with a cap. Tasks count as needs only if the
// cell has had room for one of them at this call and the one before: a full cell would hoard shares
// that others can use, and give them away again.
func (c *Core) TenantUses(now time.Duration) map[string]TenantUse {
	c.countRestarts(now)
	out := map[string]TenantUse{}
	for _, tn := range c.tenants {
		if !tn.isLimited() {
			continue
		}
		used := quota.ShareFor(tn.used.Add(tn.restarting), tn.limit)
		out[tn.name] = TenantUse{Used: tn.used, Demand: quota.Demand{Used: used, Next: used, Need: used}}
	}
	probes, hasRoom := map[*tenant]int{}, map[*tenant]bool{}
	passed := map[*tenant]int{}
	var candidates []*candidate // nil until it is needed
	var free fleet.Resources
	for _, st := range c.waiting {
		tn := st.job.tenant
		capped := st.waiting[len(st.uncapped()):]
		if len(capped) == 0 || !tn.isLimited() || !st.job.acceptsStarts() {
			continue
		}
		use := out[tn.name]
		use.Waiting = use.Waiting.Add(multiply(st.spec.Size, len(capped)))
		if passed[tn]++; !hasRoom[tn] && probes[tn] < maxCapProbes && now >= tn.probeAfter && passed[tn] > tn.probeFrom {
			probes[tn]++
			if candidates == nil {
				candidates, free = c.roomForCapped(now)
			}
			if hasRoom[tn] = c.hasCandidate(capped[0], candidates, now); hasRoom[tn] {
				if tn.hasRoom {
					use.Demand.Next = tn.nextShare(capped[0])
				}
			}
		}
		out[tn.name] = use
	}
	for name, use := range out {
		tn := c.tenants[name]
		tn.hasRoom = hasRoom[tn]
		tn.continueProbes(probes[tn], passed[tn], now)
		if d := &use.Demand; d.Next > d.Used {
			need := fleet.Resources{MilliCPU: min(use.Waiting.MilliCPU, free.MilliCPU), MemoryMB: min(use.Waiting.MemoryMB, free.MemoryMB), Accelerators: min(use.Waiting.Accelerators, free.Accelerators)}
			d.Need = max(d.Next, quota.ShareFor(tn.used.Add(tn.restarting).Add(need), tn.limit))
			out[name] = use
		}
	}
	return out
}

// continueProbes decides where the next search for an executor begins, after one of some of the tenant's
// waiting steps: those that no executor can run must not hide the others.
func (tn *tenant) continueProbes(probed, waiting int, now time.Duration) {
	switch {
	case tn.hasRoom:
	case probed == maxCapProbes && tn.probeFrom+probed < waiting:
		tn.probeFrom += probed
	case probed > 0 || tn.probeFrom >= waiting:
		tn.probeFrom, tn.probeAfter = 0, now+capProbeDelay
	}
}

// uncapped returns the waiting tasks that were not refused for their tenant's cap at the newest plan.
func (st *step) uncapped() []*task { return st.waiting[:max(0, len(st.waiting)-st.capped)] }

// nextShare returns the share with which a task could start, or its gang.
func (tn *tenant) nextShare(t *task) int64 {
	st, n := t.step, 1
	if st.spec.Gang {
		n = len(st.tasks)
	}
	used := tn.used
	if !t.holdsCap {
		used = used.Add(tn.restarting)
	}
	share := quota.ShareFor(used.Add(multiply(st.spec.Size, n)), tn.limit)
	if n == 1 && tn.used.IsZero() {
		share = min(share, quota.Whole)
	}
	// A task of tn.restarting needs no more than that is counted with.
	return max(share, quota.ShareFor(tn.used.Add(tn.restarting), tn.limit)+1)
}

// roomForCapped returns the candidates and what they have free, with processors that best-effort tasks can use.
func (c *Core) roomForCapped(now time.Duration) ([]*candidate, fleet.Resources) {
	candidates := c.candidates(now)
	free, spare := fleet.Resources{}, int64(0)
	for _, cand := range candidates {
		free = free.Add(cand.host.Free().Max(fleet.Resources{}))
		spare += max(0, cand.host.SpareMilliCPU())
	}
	free.MilliCPU = max(free.MilliCPU, spare)
	return candidates, free
}

func (c *Core) hasCandidate(t *task, candidates []*candidate, now time.Duration) bool {
	return slices.ContainsFunc(candidates, func(cand *candidate) bool {
		_, reason := c.consider(t, cand, now)
		return reason == notRefused
	})
}
