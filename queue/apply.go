package queue

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
)

// Apply implements stream.Machine. Records of another term than the newest are
// void, and so are records that don't fit the state: each decides alike for
// every reader.
func (m *Machine) Apply(r platform.Record) {
	var b Batch
	if err := cbor.Unmarshal(r.Data, &b); err != nil {
		return
	}
	for i := range b.Records {
		m.applyRecord(b.Term, &b.Records[i], r.Time)
	}
}

func (m *Machine) applyRecord(term platform.Offset, r *Record, now time.Time) {
	if r.Kind == Opened && term > m.term {
		m.term = term
	}
	if term != m.term {
		return
	}
	switch r.Kind {
	case Opened:
	case Submitted:
		m.submit(r, now)
	case Cancelled:
		m.cancel(r, now)
	case Unschedulable:
		m.reject(r, now)
	default:
		m.applyTask(r, now)
	}
}

func (m *Machine) submit(r *Record, now time.Time) {
	if r.Spec == nil || r.Spec.Count < 1 || r.Spec.Count > job.MaxCount {
		return
	}
	if _, ok := m.keys[r.Spec.IdempotencyKey]; ok && r.Spec.IdempotencyKey != "" {
		return
	}
	j := &Job{Number: m.next, Spec: *r.Spec, Submitted: now.UnixMilli(), Tasks: make([]Task, r.Spec.Count)}
	m.next++
	for i := range j.Tasks {
		j.Tasks[i].State = job.Pending
		j.Tasks[i].Changed = now.UnixMilli()
	}
	m.add(j)
}

// cancel ends the waiting tasks of a job and marks those that run.
func (m *Machine) cancel(r *Record, now time.Time) {
	j := m.jobs[r.Job]
	if j == nil {
		return
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case t.IsWaiting():
			m.finish(j, t, job.Cancelled, r.Reason, now)
		case t.IsActive():
			t.Cancelling = true
		}
	}
}

func (m *Machine) reject(r *Record, now time.Time) {
	j := m.jobs[r.Job]
	if j == nil {
		return
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.IsWaiting() {
			m.finish(j, t, job.Unschedulable, r.Reason, now)
		}
	}
}

// applyTask interprets a record about one attempt.
func (m *Machine) applyTask(r *Record, now time.Time) {
	j, t := m.jobs[r.Job], m.Task(TaskRef{Job: r.Job, Index: r.Index})
	if t == nil {
		return
	}
	if r.Kind == Placed {
		placeTask(t, r, now)
		return
	}
	if !t.IsActive() || r.Attempt != t.Attempt {
		return
	}
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	switch r.Kind {
	case Started:
		t.State = job.Running
		t.Changed = now.UnixMilli()
	case Finished:
		j.Successes++
		m.finish(j, t, job.Finished, "", now)
	case Failed:
		m.fail(j, t, r, now)
	case Evicted:
		t.Evictions++
		m.wait(j, t, job.Evicted, r, now)
	case Released:
		m.wait(j, t, waitingState(t), r, now)
	}
}

// placeTask records the next attempt. Only the number that follows the newest
// attempt of a task that no attempt of may run is valid.
func placeTask(t *Task, r *Record, now time.Time) {
	if !t.IsWaiting() || r.Attempt != t.Attempt+1 {
		return
	}
	t.State = job.Placed
	t.Attempt = r.Attempt
	t.VM, t.Rack, t.RackTerm = r.VM, r.Rack, r.RackTerm
	t.Reason = ""
	t.Changed = now.UnixMilli()
}

func waitingState(t *Task) job.State {
	if t.Evictions > 0 {
		return job.Evicted
	}
	return job.Pending
}

func (m *Machine) fail(j *Job, t *Task, r *Record, now time.Time) {
	if r.WorkerFault {
		t.Faults++
	} else {
		t.Failures++
	}
	j.FailedOn = insert(j.FailedOn, t.VM)
	t.FailedOn = insert(t.FailedOn, t.VM)
	if r.Final {
		m.finish(j, t, job.Failed, r.Reason, now)
		return
	}
	m.wait(j, t, waitingState(t), r, now)
}

func insert(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

// wait makes a task wait for its next attempt, or ends it when it is to be
// cancelled.
func (m *Machine) wait(j *Job, t *Task, s job.State, r *Record, now time.Time) {
	if t.Cancelling {
		m.finish(j, t, job.Cancelled, r.Reason, now)
		return
	}
	t.State = s
	t.Reason = r.Reason
	t.Changed = now.UnixMilli()
}

// finish gives the task a final state and ends the job with its last task.
func (m *Machine) finish(j *Job, t *Task, s job.State, reason string, now time.Time) {
	t.State = s
	t.Reason = reason
	t.Cancelling = false
	t.Changed = now.UnixMilli()
	j.open--
	if j.open > 0 {
		return
	}
	j.Ended = now.UnixMilli()
	delete(m.open, j.Number)
	m.ended = append(m.ended, j.Number)
	m.prune(now)
}

// prune forgets the jobs that ended first.
func (m *Machine) prune(now time.Time) {
	for len(m.ended) > 0 {
		j := m.jobs[m.ended[0]]
		if len(m.ended) <= keptJobs && now.Sub(time.UnixMilli(j.Ended)) < keptTime {
			return
		}
		delete(m.jobs, j.Number)
		if m.keys[j.Spec.IdempotencyKey] == j.Number {
			delete(m.keys, j.Spec.IdempotencyKey)
		}
		m.ended = m.ended[1:]
	}
}
