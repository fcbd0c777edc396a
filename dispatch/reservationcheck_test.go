package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
)

// reservationChecker checks after each step of a simulation that each reservation belongs to
// a run that is planned, was started lately or is reported, and the reverse. It relies on its own
// record of the reports and starts, not on the owner's.
type reservationChecker struct {
	core     *Core                                 // whose reservations are recorded
	reportAt map[provider.ExecutorID]time.Duration // time of the newest report
	expected map[*run]time.Duration                // time of the newest report that lists a run, or since when it is not planned any more
	faulty   map[*run]bool                         // of which a violation has been added
}

func newReservationChecker() *reservationChecker { return &reservationChecker{} }

// follow forgets the reservations of the previous owner.
func (rc *reservationChecker) follow(core *Core) {
	if rc.core == core {
		return
	}
	*rc = reservationChecker{core: core, reportAt: map[provider.ExecutorID]time.Duration{}, expected: map[*run]time.Duration{}, faulty: map[*run]bool{}}
}

// observe records a report that the owner has processed and checks that the owner
// accounts for each run in it.
func (rc *reservationChecker) observe(sim *simulation, id provider.ExecutorID, report provider.HeartbeatReport) {
	rc.follow(sim.core)
	e := sim.core.executors[id]
	if e == nil {
		return
	}
	rc.reportAt[id] = sim.now
	for _, status := range report.Running {
		r := e.runs[status.Task]
		switch {
		case r != nil && r.number == status.Run:
			rc.expected[r] = sim.now
		case e.hasUnknownRun || sim.core.heldStep(status.Task) != nil:
		case !slices.Contains(e.strays, sim.core.findTask(status.Task)):
			sim.addViolation("%s lists %s run %d, which its owner does not account for", id, status.Task, status.Run)
		}
	}
}

// check adds a violation for each reservation that is not accounted for.
func (rc *reservationChecker) check(sim *simulation) {
	rc.follow(sim.core)
	current := map[*run]bool{}
	for _, id := range slices.Sorted(maps.Keys(sim.core.executors)) {
		e := sim.core.executors[id]
		var reserved fleet.Resources
		for _, r := range e.sortedRuns() {
			current[r] = true
			reserved = reserved.Add(reservation(r.task.step.spec))
			rc.checkRun(sim, r)
		}
		if reserved != e.reserved {
			sim.addViolation("%v reserved on %s, its runs need %v", e.reserved, id, reserved)
		}
	}
	maps.DeleteFunc(rc.expected, func(r *run, _ time.Duration) bool { return !current[r] })
	maps.DeleteFunc(rc.faulty, func(r *run, _ bool) bool { return !current[r] })
}

func (rc *reservationChecker) checkRun(sim *simulation, r *run) {
	if rc.faulty[r] {
		return
	}
	id := r.executor.info.ID
	if r.state == runPlanned {
		if sim.pending == nil || !slices.Contains(sim.pending.runs, r) {
			rc.faulty[r] = true
			sim.addViolation("%s run %d is planned on %s, but is in no batch that is being stored", r.taskName, r.number, id)
		}
		return
	}
	since, known := rc.expected[r]
	if !known {
		rc.expected[r] = sim.now
		return
	}
	if rc.reportAt[id]-since > maxUnreported {
		rc.faulty[r] = true
		sim.addViolation("%s run %d is reserved on %s, whose reports have not listed it for %v", r.taskName, r.number, id, rc.reportAt[id]-since)
	}
}
