package queue

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

// failedVMs is the count of VMs on which a job without a success fails for
// good.
const failedVMs = 3

// RecordOf returns the record that an event asks for; ok is false when the
// event is not about the newest attempt or says nothing new.
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
		r.WorkerFault = e.WorkerQuarantined && !failedBeside(j, t.VM) && t.Faults < p.MaxAttempts
		r.Final = !r.WorkerFault && m.isHopeless(j, t, p)
	case rack.NeverStarted:
		r.Kind = Released
	default:
		r.Kind = Evicted
	}
	return r, true
}

// failedBeside reports whether a task of the job failed on another VM than the
// given one: then the VM is not to blame.
func failedBeside(j *Job, vm string) bool {
	return slices.ContainsFunc(j.FailedOn, func(other string) bool { return other != vm })
}

// isHopeless reports whether the failure that is to be recorded is the last
// that is allowed: the task used up its attempts, or its job failed on several
// VMs and nowhere succeeded.
func (m *Machine) isHopeless(j *Job, t *Task, p settings.TaskPolicy) bool {
	if t.Failures+1 >= p.MaxAttempts {
		return true
	}
	return j.Successes == 0 && len(insert(j.FailedOn, t.VM)) >= failedVMs
}

// RetryBudget is a token bucket for the retries of a team.
type RetryBudget struct {
	tokens  float64
	refill  time.Time
	started bool
}

// budgetSeconds is how many seconds' worth of retries a bucket holds.
const budgetSeconds = 10

// Take uses one retry and reports whether there was one.
func (b *RetryBudget) Take(now time.Time, rate float64) bool {
	limit := max(1, rate*budgetSeconds)
	if !b.started {
		b.started, b.tokens, b.refill = true, limit, now
	}
	b.tokens = min(limit, b.tokens+rate*now.Sub(b.refill).Seconds())
	b.refill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
