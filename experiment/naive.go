package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
)

const (
	naiveLease    = 10 * time.Minute
	naiveAttempts = 5
)

// Naive is a scheduler that starts tasks in the order of their submission on
// the first VM with room by declared size. It knows no interference and no
// history, stops tasks without a checkpoint when a failure domain is taken
// out, and waits for a lease to run out before it gives up a worker.
type Naive struct {
	jobs    []*naiveJob
	waiting []*naiveTask
	active  map[string]*naiveTask
	ends    []End
	stopped int
}

type naiveJob struct {
	spec job.Spec
	open int
}

type naiveTask struct {
	id      string
	job     *naiveJob
	attempt int
	vm      string
	renewed time.Time
}

// NewNaive returns an empty naive scheduler.
func NewNaive() *Naive { return &Naive{active: make(map[string]*naiveTask)} }

// Submit implements Scheduler.
func (n *Naive) Submit(_ time.Time, s job.Spec) {
	j := &naiveJob{spec: s, open: s.Count}
	n.jobs = append(n.jobs, j)
	for i := range s.Count {
		n.waiting = append(n.waiting, &naiveTask{id: fmt.Sprintf("%s/j%d/%d", s.Team, len(n.jobs), i), job: j})
	}
}

// Cancel implements Scheduler: the job's tasks are not started any more.
func (n *Naive) Cancel(now time.Time, key string) {
	for _, j := range n.jobs {
		if j.spec.IdempotencyKey == key && j.open > 0 {
			j.open = -1
			n.ends = append(n.ends, End{Key: key, State: job.Cancelled, At: now})
		}
	}
}

// Step implements Scheduler.
func (n *Naive) Step(now time.Time, in Input) {
	order := sortedWorkers(in.Workers)
	for _, w := range order {
		if !in.Cut[w.VM.ID] {
			n.collect(now, w, slices.Contains(in.Out, w.VM.FailureDomain))
		}
	}
	for id, t := range n.active {
		if now.Sub(t.renewed) > naiveLease {
			delete(n.active, id)
			n.waiting = append(n.waiting, t)
			n.stopped++
		}
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(t *naiveTask) bool { return n.start(now, in, order, t) })
}

// collect renews the tasks of a worker and takes in those that ended.
func (n *Naive) collect(now time.Time, w *Worker, out bool) {
	request := platform.RenewRequest{Lease: naiveLease}
	for _, ref := range w.Running() {
		if out {
			_, _ = w.Control(now, "stop", platform.ControlRequest{Task: ref.Task, Token: platform.Token{Attempt: ref.Attempt}})
		}
		request.Attempts = append(request.Attempts, ref)
	}
	for _, a := range w.Report(now).Attempts {
		t := n.active[a.Task]
		ref := platform.AttemptRef{Task: a.Task, Attempt: a.Token.Attempt}
		switch {
		case a.State != platform.AttemptRunning:
			request.Settled = append(request.Settled, ref)
			if t != nil && t.attempt == ref.Attempt {
				n.ended(now, t, a.State)
			}
		case t != nil && t.attempt == ref.Attempt:
			t.renewed = now
		}
	}
	_, _ = w.Renew(now, request)
}

func (n *Naive) ended(now time.Time, t *naiveTask, state platform.AttemptState) {
	delete(n.active, t.id)
	switch {
	case state == platform.AttemptFinished:
		if t.job.open--; t.job.open == 0 {
			n.ends = append(n.ends, End{Key: t.job.spec.IdempotencyKey, State: job.Finished, At: now})
		}
	case state == platform.AttemptFailed && t.attempt >= naiveAttempts:
		if t.job.open > 0 {
			t.job.open = -1
			n.ends = append(n.ends, End{Key: t.job.spec.IdempotencyKey, State: job.Failed, At: now})
		}
	case state == platform.AttemptFailed:
		n.waiting = append(n.waiting, t)
	default:
		n.stopped++
		n.waiting = append(n.waiting, t)
	}
}

func (n *Naive) start(now time.Time, in Input, order []*Worker, t *naiveTask) bool {
	if t.job.open < 0 {
		return true
	}
	for _, w := range order {
		if in.Cut[w.VM.ID] || slices.Contains(in.Out, w.VM.FailureDomain) || !w.Declared().Add(t.job.spec.Size).Fits(w.VM.Size) {
			continue
		}
		s := t.job.spec
		_, err := w.Start(now, platform.StartRequest{
			Task: t.id, Token: platform.Token{Attempt: t.attempt + 1}, Class: s.Class, Kind: s.Kind, Size: s.Size,
			Lease: naiveLease, NotAfter: w.clock(now), RunTime: s.RunTime,
		})
		if err != nil {
			continue
		}
		t.attempt++
		t.vm = w.VM.ID
		t.renewed = now
		n.active[t.id] = t
		return true
	}
	return false
}

// Ended implements Scheduler.
func (n *Naive) Ended() []End { return n.ends }

// Evictions implements Scheduler.
func (n *Naive) Evictions() int { return n.stopped }

func sortedWorkers(all map[string]*Worker) []*Worker {
	var out []*Worker
	for _, w := range all {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *Worker) int {
		if a.VM.ID < b.VM.ID {
			return -1
		}
		return 1
	})
	return out
}

// domainsOf returns the failure domains of the VMs.
func domainsOf(vms []platform.VM) []fleet.Path {
	var out []fleet.Path
	for _, vm := range vms {
		if !slices.Contains(out, vm.FailureDomain) {
			out = append(out, vm.FailureDomain)
		}
	}
	return out
}
