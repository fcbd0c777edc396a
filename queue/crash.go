package queue

import (
	"fmt"
	"slices"

	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/rack"
)

// A task may crash each worker that starts it. Its worker does not tell, and all runs
// beside it are lost as well. So a loss only makes the lost tasks suspects: a suspect
// starts apart, on a worker without other tasks, which then shows whether the task is
// the cause.
const (
	maxCrashesApart = 3 // workers lost under a task that ran on them alone
	minCrashedVMs   = 2 // VMs among these, since one VM may be faulty
	maxCrashes      = 10
	// suspectCommonLosses is the number of losses with a common cause after which a task is
	// a suspect: tasks of one job can crash many workers at once.
	suspectCommonLosses = 2
)

// CrashHistory is what is known of a task's part in the loss of workers since one of
// its runs has outlived its probation.
type CrashHistory struct {
	Crashes      int      `cbor:"1,keyasint,omitempty"` // runs lost young without a common cause
	Apart        int      `cbor:"2,keyasint,omitempty"` // of these, alone on their worker
	VMs          []string `cbor:"3,keyasint,omitempty"` // VMs of the runs lost alone
	CommonLosses int      `cbor:"4,keyasint,omitempty"` // runs lost young with a common cause
}

// IsSuspect reports whether the task is to start apart.
func (h CrashHistory) IsSuspect() bool {
	return h.Crashes > 0 || h.CommonLosses >= suspectCommonLosses
}

// after returns the history after the loss of a run on a VM.
func (h CrashHistory) after(l rack.Loss, vm string) CrashHistory {
	switch {
	case l.Age >= rack.ProbationAge:
		return CrashHistory{}
	case l.Common:
		h.CommonLosses++
		return h
	}
	h.Crashes++
	if l.Runs == 1 {
		h.Apart++
		h.VMs = addUnique(slices.Clip(h.VMs), vm)
	}
	return h
}

// isGivenUp reports whether a task with the history is to fail. A job whose tasks crash
// their workers is not tried with each of them: accomplice is set if another task of the
// job was given up and none has succeeded.
func (h CrashHistory) isGivenUp(accomplice bool) bool {
	switch {
	case h.Crashes >= maxCrashes:
		return true
	case accomplice:
		return h.Apart > 0
	}
	return h.Apart >= maxCrashesApart && len(h.VMs) >= minCrashedVMs
}

func (h CrashHistory) String() string {
	return fmt.Sprintf("%d workers lost soon after its start, %d of them without other tasks, on VMs %v", h.Crashes, h.Apart, h.VMs)
}

// crashHistory returns the history of the task, which is not stored while it is empty.
func (t *Task) crashHistory() CrashHistory {
	if t.Crash == nil {
		return CrashHistory{}
	}
	return *t.Crash
}

func (t *Task) setCrashHistory(h CrashHistory) {
	t.Crash = nil
	if h.Crashes > 0 || h.CommonLosses > 0 {
		t.Crash = &h
	}
}

// lossRecord completes the record of an attempt that was lost with its worker: the task
// is queued again or, if it has lost too many workers, fails.
func (m *Machine) lossRecord(r Record, l *rack.Loss) Record {
	r.Loss = l
	if l == nil {
		return r
	}
	j, t := m.jobs[r.Job], m.Task(TaskRef{Job: r.Job, Index: r.Index})
	h := t.crashHistory().after(*l, t.VM)
	if !h.isGivenUp(j.GivenUp > 0 && j.Successes == 0) {
		return r
	}
	r.Kind, r.Final, r.Cause = Failed, true, job.CauseWorkerCrashes
	r.Reason = fmt.Sprintf("%s: %s", job.CauseWorkerCrashes, h)
	return r
}
