package queue

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

// maxFailedVMs is the number of distinct VMs on which tasks of a job have to fail,
// with none succeeding anywhere, before its failures are final.
const maxFailedVMs = 3

// RecordOf returns the record to write for an event. It returns false if the
// event does not concern the newest attempt of an active task or repeats a known
// state.
func (m *Machine) RecordOf(e rack.Event, p settings.TaskPolicy) (Record, bool) {
	team, ref, ok := ParseTaskID(e.Task)
	t := m.Task(ref)
	if !ok || team != m.team || t == nil || !t.IsActive() || t.Attempt != e.Attempt {
		return Record{}, false
	}
	r := Record{Job: ref.Job, Index: ref.Index, Attempt: e.Attempt, Checkpoint: e.Checkpoint, Reason: e.Reason}
	switch e.Outcome {
	case rack.Started:
		r.Kind = Started
		r.Reason = ""
		return r, t.State != job.Running
	case rack.Finished:
		r.Kind = Finished
	case rack.Failed:
		r.Kind = Failed
		j := m.jobs[ref.Job]
		r.WorkerFault = e.WorkerQuarantined && !failedElsewhere(j, t.VM) && t.WorkerFaults < p.MaxAttempts
		r.Final = !r.WorkerFault && m.isFinalFailure(j, t, p)
	case rack.NeverStarted:
		r.Kind = Released
	default:
		r.Kind = Evicted
	}
	return r, true
}

// failedElsewhere reports whether a task of the job failed on a VM other than vm.
// In that case the failure is not attributed to vm.
func failedElsewhere(j *Job, vm string) bool {
	return slices.ContainsFunc(j.FailedOn, func(other string) bool { return other != vm })
}

// isFinalFailure reports whether the failure about to be recorded excludes a
// retry: the task has used up its attempts, or the job failed on maxFailedVMs VMs
// without a success.
func (m *Machine) isFinalFailure(j *Job, t *Task, p settings.TaskPolicy) bool {
	if t.Failures+1 >= p.MaxAttempts {
		return true
	}
	return j.Successes == 0 && len(addUnique(j.FailedOn, t.VM)) >= maxFailedVMs
}

// RetryBudget is the token bucket that limits a team's retries.
type RetryBudget struct {
	tokens      float64
	lastRefill  time.Time
	initialised bool
}

// burstSeconds is the capacity of the bucket in seconds at the refill rate.
const burstSeconds = 10

// Take consumes one token and reports whether one was available. Rate is the
// refill rate in retries per second.
func (b *RetryBudget) Take(now time.Time, rate float64) bool {
	limit := max(1, rate*burstSeconds)
	if !b.initialised {
		b.initialised, b.tokens, b.lastRefill = true, limit, now
	}
	b.tokens = min(limit, b.tokens+rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
