package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// maxBackoff bounds the wait after repeated failures.
const maxBackoff = time.Minute

// Candidate is a waiting task in its order.
type Candidate struct {
	Ref   TaskRef
	Job   *Job
	Task  *Task
	Size  fleet.Resources // corrected by history
	Avoid []string        // VMs on which the task failed
	key   orderKey
}

// orderKey decides the order: urgent jobs, then those whose deadline can still
// be met by the latest start, then those that missed it, then those without;
// within these, jobs with the least share of their tasks done or running.
type orderKey struct {
	urgent bool
	rank   int
	latest time.Time
	share  float64
	resume bool
}

// Order is what the order of a queue depends on besides its records.
type Order struct {
	Now     time.Time // platform's clock
	Team    settings.Team
	Policy  settings.TaskPolicy
	History *History
	VMs     []platform.VM
}

// Next returns the waiting tasks that may start now in their order, and for
// the others why they wait.
func (o Order) Next(m *Machine) ([]Candidate, map[TaskRef]Reason) {
	var all []Candidate
	var used fleet.Resources
	for _, j := range m.Open() {
		size := o.History.Size(j.Spec)
		active := 0
		for i := range j.Tasks {
			if j.Tasks[i].IsActive() {
				active++
				used = used.Add(size)
			}
		}
		all = append(all, o.candidates(j, size, active)...)
	}
	slices.SortStableFunc(all, compareCandidates)
	return o.admit(all, used)
}

func (o Order) candidates(j *Job, size fleet.Resources, active int) []Candidate {
	key := o.key(j, active)
	var out []Candidate
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if !t.IsWaiting() {
			continue
		}
		key.resume = t.State == job.Evicted
		out = append(out, Candidate{Ref: TaskRef{Job: j.Number, Index: i}, Job: j, Task: t, Size: size, Avoid: Avoid(o.VMs, j.Spec, t.FailedOn), key: key})
	}
	return out
}

func (o Order) key(j *Job, active int) orderKey {
	ended := len(j.Tasks) - j.open
	key := orderKey{urgent: j.Spec.Urgent, share: float64(active+ended) / float64(len(j.Tasks))}
	if j.Spec.Deadline == 0 {
		key.rank = 2
		return key
	}
	key.latest = time.UnixMilli(j.Submitted).Add(j.Spec.Deadline - o.History.RunTime(j.Spec))
	if key.latest.Before(o.Now) {
		key.rank = 1
	}
	return key
}

func compareCandidates(a, b Candidate) int {
	first := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	}
	return cmp.Or(
		first(a.key.urgent, b.key.urgent),
		cmp.Compare(a.key.rank, b.key.rank),
		first(a.key.resume, b.key.resume),
		a.key.latest.Compare(b.key.latest),
		cmp.Compare(a.key.share, b.key.share),
	)
}

// admit drops tasks that wait for their backoff or do not fit in the quota. A
// smaller task may pass one that the quota holds back.
func (o Order) admit(all []Candidate, used fleet.Resources) ([]Candidate, map[TaskRef]Reason) {
	waits := make(map[TaskRef]Reason)
	out := all[:0]
	for _, c := range all {
		if until := o.notBefore(c.Task); until.After(o.Now) {
			waits[c.Ref] = Reason{Code: WaitsBackoff, Until: until}
			continue
		}
		after := used.Add(c.Size)
		if !o.Team.Quota.IsZero() && !after.Fits(unlimitedWhereZero(o.Team.Quota)) {
			waits[c.Ref] = Reason{Code: WaitsQuota, Used: used, Limit: o.Team.Quota}
			continue
		}
		used = after
		out = append(out, c)
	}
	return out, waits
}

// unlimitedWhereZero treats members of a quota that are not set as unlimited.
// A quota of processors says nothing of accelerators.
func unlimitedWhereZero(q fleet.Resources) fleet.Resources {
	unlimited := func(v int64) int64 {
		if v == 0 {
			return math.MaxInt64
		}
		return v
	}
	return fleet.Resources{MilliCPU: unlimited(q.MilliCPU), MemoryMB: unlimited(q.MemoryMB), Accelerators: unlimited(q.Accelerators)}
}

// notBefore returns when the task may be tried again after failures.
func (o Order) notBefore(t *Task) time.Time {
	if t.Failures == 0 {
		return time.Time{}
	}
	wait := o.Policy.RetryBackoff
	for range t.Failures - 1 {
		wait = min(2*wait, maxBackoff)
	}
	return time.UnixMilli(t.Changed).Add(wait)
}
