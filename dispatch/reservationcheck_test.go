package dispatch

import (
	"fmt"
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
	if report.EndsTruncated { // any run that it leaves out may have ended
		for _, r := range e.runs {
			if _, known := rc.expected[r]; known {
				rc.expected[r] = sim.now
			}
		}
	}
	for _, status := range report.Running {
		r := e.runs[status.Task]
		switch {
		case r != nil && r.number == status.Run:
			rc.expected[r] = sim.now
		case e.hasUnknownRun || sim.core.heldStep(status.Task) != nil:
		case !slices.Contains(e.strays, stray{task: sim.core.findTask(status.Task), run: status.Run}):
			sim.addViolation("%s lists %s run %d, which its owner does not account for", id, status.Task, status.Run)
		}
	}
}

// check adds a violation for each reservation that is not accounted for.
func (rc *reservationChecker) check(sim *simulation) {
	rc.follow(sim.core)
	var faults []string
	for id, e := range sim.core.executors {
		var reserved fleet.Resources
		for _, r := range e.runs {
			reserved = reserved.Add(reservation(r.task.step.spec))
			if fault := rc.faultOf(sim, r); fault != "" {
				rc.faulty[r] = true
				faults = append(faults, fmt.Sprintf("%s run %d %s", r.taskName, r.number, fault))
			}
		}
		if reserved != e.reserved {
			faults = append(faults, fmt.Sprintf("%v reserved on %s, its runs need %v", e.reserved, id, reserved))
		}
	}
	slices.Sort(faults)
	for _, fault := range faults {
		sim.addViolation("%s", fault)
	}
}

// faultOf returns what is wrong with the reservation of a run, once; "" for nothing.
func (rc *reservationChecker) faultOf(sim *simulation, r *run) string {
	if rc.faulty[r] {
		return ""
	}
	id := r.executor.info.ID
	if r.state == runPlanned {
		if sim.pending == nil || !slices.Contains(sim.pending.runs, r) {
			return fmt.Sprintf("is planned on %s, but is in no batch that is being stored", id)
		}
		return ""
	}
	since, known := rc.expected[r]
	switch {
	case !known:
		rc.expected[r] = sim.now
	case rc.reportAt[id]-since > maxUnreported:
		return fmt.Sprintf("is reserved on %s, whose reports have not listed it for %v", id, rc.reportAt[id]-since)
	}
	return ""
}
