package owner

import (
	"context"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/stream"
)

const (
	placedLimit = 5 * time.Second  // after which a placement that is not confirmed is asked for
	askEvery    = 5 * time.Second  // between questions about one attempt
	sweepEvery  = 10 * time.Minute // between questions about all that runs
	unfitEvery  = 10 * time.Second // between looks for jobs that no worker could hold
)

// active is a recorded attempt that may run.
type active struct {
	ref        queue.TaskRef
	attempt    int
	vm         string
	rackTerm   platform.Offset
	state      job.State
	cancelling bool
}

// resolveLoop asks the rack owners about attempts that they should have
// reported and stops those that are to be cancelled.
func (o *Owner) resolveLoop(ctx context.Context) {
	ticker := time.NewTicker(resolveEvery)
	defer ticker.Stop()
	swept, checked := time.Now(), time.Now()
	for {
		all := time.Since(swept) >= sweepEvery
		if all {
			swept = time.Now()
		}
		unknown, cancelling := o.unresolved(all)
		for path, group := range cancelling {
			o.stop(ctx, path, group)
		}
		for path, group := range unknown {
			o.resolve(ctx, path, group)
		}
		if time.Since(checked) >= unfitEvery {
			checked = time.Now()
			o.rejectUnfit(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// unresolved returns the attempts to ask for and those to cancel, by rack.
func (o *Owner) unresolved(all bool) (unknown, cancelling map[fleet.Path][]active) {
	unknown = make(map[fleet.Path][]active)
	cancelling = make(map[fleet.Path][]active)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	running := 0
	o.replica.Read(func() {
		o.forget(now)
		for _, j := range o.machine.Open() {
			for i := range j.Tasks {
				t := &j.Tasks[i]
				if !t.IsActive() {
					continue
				}
				running++
				a := active{
					ref: queue.TaskRef{Job: j.Number, Index: i}, attempt: t.Attempt, vm: t.VM, rackTerm: t.RackTerm,
					state: t.State, cancelling: t.Cancelling,
				}
				if t.Cancelling {
					cancelling[t.Rack] = append(cancelling[t.Rack], a)
				}
				if all || (now.Sub(o.asked[a.ref]) >= askEvery && o.isUnknown(a, t, now)) {
					o.asked[a.ref] = now
					unknown[t.Rack] = append(unknown[t.Rack], a)
				}
			}
		}
		showTasks(o.path, o.machine.Waiting(), running)
	})
	return unknown, cancelling
}

// forget drops what is remembered of attempts that are over.
func (o *Owner) forget(now time.Time) {
	for ref, at := range o.asked {
		if t := o.machine.Task(ref); now.Sub(at) > sweepEvery && (t == nil || !t.IsActive()) {
			delete(o.asked, ref)
		}
	}
	for ref := range o.confirmed {
		if t := o.machine.Task(ref); t == nil || !t.IsActive() {
			delete(o.confirmed, ref)
		}
	}
}

// isUnknown reports whether the attempt was placed long ago without a word, or
// whether its rack has an owner that has not been asked for it.
func (o *Owner) isUnknown(a active, t *queue.Task, now time.Time) bool {
	if t.State == job.Placed && now.Sub(time.UnixMilli(t.Changed)) > placedLimit {
		return true
	}
	term, ok := o.racks.term(t.Rack)
	return ok && term != t.RackTerm && o.confirmed[a.ref] != term
}

// resolve asks the owner of one rack and records what it knows.
func (o *Owner) resolve(ctx context.Context, path fleet.Path, group []active) {
	args := rack.ResolveArgs{Rack: path, Queue: o.path, QueueTerm: o.term}
	for _, a := range group {
		args.Placements = append(args.Placements, rack.Placement{
			Task: queue.TaskID(o.path, a.ref), Attempt: a.attempt, VM: a.vm, RackTerm: a.rackTerm,
		})
	}
	var reply rack.ResolveReply
	err := o.racks.call(ctx, path, "Resolve", args, &reply)
	if err != nil || reply.Code != rack.OK || len(reply.Results) != len(group) {
		return
	}
	var records []queue.Record
	for i, a := range group {
		if r, ok := o.resolved(a, reply.Results[i].Fate, reply.Term); ok {
			records = append(records, r)
		}
	}
	if err := o.record(ctx, stream.Normal, records...); err != nil {
		o.opts.Log.V(1).Info("resolutions not recorded", "queue", o.path, "error", err.Error())
	}
	if len(records) > 0 {
		o.nudge()
	}
}

// resolved returns the record for the fate of an attempt, if any.
func (o *Owner) resolved(a active, fate rack.Fate, term platform.Offset) (queue.Record, bool) {
	r := queue.Record{Job: a.ref.Job, Index: a.ref.Index, Attempt: a.attempt}
	switch fate {
	case rack.Runs:
		o.mu.Lock()
		o.confirmed[a.ref] = term
		o.mu.Unlock()
		r.Kind = queue.Started
		return r, a.state == job.Placed
	case rack.Absent:
		r.Kind = queue.Released
		r.Reason = "start never took effect"
		if a.state == job.Running {
			r.Kind = queue.Evicted
			r.Reason = "rack owner no longer knows the attempt"
		}
		return r, true
	}
	return r, false
}

// stop asks the owner of one rack to end cancelled attempts; their ends are
// reported as events.
func (o *Owner) stop(ctx context.Context, path fleet.Path, group []active) {
	args := rack.StopArgs{Rack: path, Queue: o.path, QueueTerm: o.term, Goal: rack.Cancel, Reason: rack.CancelReason}
	for _, a := range group {
		args.Attempts = append(args.Attempts, platform.AttemptRef{Task: queue.TaskID(o.path, a.ref), Attempt: a.attempt})
	}
	var reply rack.StopReply
	if err := o.racks.call(ctx, path, "Stop", args, &reply); err != nil {
		o.opts.Log.V(1).Info("cancellations unanswered", "queue", o.path, "rack", path, "error", err.Error())
	}
}

// rejectUnfit records jobs that no worker could hold for some time. A job that
// never fitted is rejected when it is submitted.
func (o *Owner) rejectUnfit(ctx context.Context) {
	vms := o.opts.VMs()
	now := time.Now()
	var records []queue.Record
	o.mu.Lock()
	o.replica.Read(func() {
		since := make(map[uint64]time.Time)
		for _, j := range o.machine.Open() {
			short, unfit := queue.Unfit(vms, j.Spec)
			if !unfit {
				continue
			}
			first, ok := o.unfit[j.Number]
			if !ok {
				first = now
			}
			since[j.Number] = first
			if now.Sub(first) >= unfitHold {
				records = append(records, queue.Record{Kind: queue.Unschedulable, Job: j.Number, Reason: short.String()})
			}
		}
		o.unfit = since
	})
	o.mu.Unlock()
	if err := o.record(ctx, stream.Normal, records...); err != nil {
		o.opts.Log.V(1).Info("unschedulable jobs not recorded", "queue", o.path, "error", err.Error())
	}
}
