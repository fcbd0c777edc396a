package queue

import (
	"time"

	"github.com/peridotlock/peridotlock/job"
)

// Status returns what is recorded of the job. Tasks are left out unless asked
// for.
func (m *Machine) Status(j *Job, tasks bool) job.Status {
	out := job.Status{
		ID:        JobID(m.team, j.Number),
		Spec:      j.Spec,
		State:     j.state(),
		Submitted: time.UnixMilli(j.Submitted).UTC(),
	}
	if !tasks {
		return out
	}
	for i := range j.Tasks {
		out.Tasks = append(out.Tasks, m.taskStatus(j, i))
	}
	return out
}

func (m *Machine) taskStatus(j *Job, i int) job.TaskStatus {
	t := &j.Tasks[i]
	return job.TaskStatus{
		ID:         TaskID(m.team, TaskRef{Job: j.Number, Index: i}),
		State:      t.State,
		Attempt:    t.Attempt,
		VM:         t.VM,
		Checkpoint: t.Checkpoint,
		Evictions:  t.Evictions,
		Failures:   t.Failures,
		Reason:     t.Reason,
	}
}

// rank orders states for the state of a whole job: the first that any task has
// counts.
var rank = []job.State{
	job.Running, job.Placed, job.Evicted, job.Pending,
	job.Failed, job.Unschedulable, job.Cancelled, job.Finished,
}

// state returns the state of the job from those of its tasks.
func (j *Job) state() job.State {
	have := make(map[job.State]bool, len(rank))
	for i := range j.Tasks {
		have[j.Tasks[i].State] = true
	}
	for _, s := range rank {
		if have[s] {
			return s
		}
	}
	return job.Pending
}
