package owner

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/stream"
)

// submit records a job. A job whose tasks no worker could hold is rejected at once.
func (o *Owner) submit(ctx context.Context, s job.Spec) queue.SubmitReply {
	if faults := s.Check(); len(faults) > 0 {
		return queue.SubmitReply{Code: queue.Invalid, Detail: formatFaults(faults)}
	}
	if s.IdempotencyKey == "" {
		s.IdempotencyKey = rand.Text()
	} else if st, ok := o.statusByKey(s.IdempotencyKey); ok {
		return queue.SubmitReply{Job: st, Repeated: true}
	}
	priority := stream.Normal
	if s.Urgent {
		priority = stream.Urgent
	}
	if err := o.record(ctx, priority, queue.Record{Kind: queue.Submitted, Spec: &s}); err != nil {
		return queue.SubmitReply{Code: codeOf(err), Detail: err.Error()}
	}
	st, _ := o.statusByKey(s.IdempotencyKey)
	o.opts.Log.V(1).Info("job submitted", "queue", o.path, "job", st.ID, "count", s.Count)
	if shortfall, unfit := queue.FindShortfall(o.opts.VMs(), s); unfit {
		st = o.reject(ctx, st, shortfall)
	}
	o.wakeRound()
	return queue.SubmitReply{Job: st}
}

func formatFaults(faults []job.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.Key + " " + f.Message
	}
	return strings.Join(lines, "; ")
}

func (o *Owner) reject(ctx context.Context, st job.Status, shortfall queue.Shortfall) job.Status {
	_, number, _ := queue.ParseJobID(st.ID)
	r := queue.Record{Kind: queue.Unschedulable, Job: number, Reason: shortfall.String()}
	if err := o.record(ctx, stream.Normal, r); err != nil {
		o.opts.Log.Info("rejection of unschedulable job not recorded", "job", st.ID, "error", err.Error())
	}
	return o.show(number, "").Job
}

func (o *Owner) statusByKey(key string) (job.Status, bool) {
	var out job.Status
	found := false
	o.replica.Read(func() {
		if j := o.machine.JobByKey(key); j != nil {
			out = o.machine.Status(j, true)
			found = true
		}
	})
	return out, found
}

func (o *Owner) cancel(number uint64, reason string) queue.JobReply {
	reply := o.show(number, "")
	if reply.Code != queue.OK || reply.Job.State.IsFinal() {
		return reply
	}
	err := o.record(context.Background(), stream.Normal, queue.Record{Kind: queue.Cancelled, Job: number, Reason: reason})
	if err != nil {
		return queue.JobReply{Code: codeOf(err), Detail: err.Error()}
	}
	o.wakeRound()
	return o.show(number, "")
}

func (o *Owner) show(number uint64, _ string) queue.JobReply {
	reply := queue.JobReply{Code: queue.UnknownJob}
	o.replica.Read(func() {
		if j := o.machine.Job(number); j != nil {
			reply = queue.JobReply{Job: o.machine.Status(j, true)}
		}
	})
	return reply
}

// explainJob returns the job with, for each task, the reason why it is waiting or
// the VM on which it was placed.
func (o *Owner) explainJob(number uint64, _ string) queue.JobReply {
	reply := o.show(number, "")
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range reply.Job.Tasks {
		t := &reply.Job.Tasks[i]
		t.Explain = o.explainTask(queue.TaskRef{Job: number, Index: i}, t)
	}
	return reply
}

func (o *Owner) explainTask(ref queue.TaskRef, t *job.TaskStatus) []string {
	switch {
	case t.State.IsFinal() && t.Reason != "":
		return []string{t.Reason}
	case t.State.IsFinal():
		return []string{fmt.Sprintf("%s on VM %s, attempt %d", t.State, t.VM, t.Attempt)}
	case t.State == job.Running:
		return []string{fmt.Sprintf("runs on VM %s, attempt %d", t.VM, t.Attempt)}
	case t.State == job.Placed:
		return []string{fmt.Sprintf("placed on VM %s, attempt %d, start not confirmed", t.VM, t.Attempt)}
	}
	var out []string
	if since, failing := o.appender.failingSince(); failing {
		out = append(out, queue.Reason{Code: queue.ReasonLogUnavailable, Detail: "since " + since.UTC().Format(time.RFC3339)}.Lines()...)
	}
	if _, _, ok := o.policy(); !ok {
		out = append(out, queue.Reason{Code: queue.ReasonNoSettings}.Lines()...)
	}
	if r, ok := o.reasons[ref]; ok {
		out = append(out, r.Lines()...)
	}
	if t.Reason != "" {
		out = append(out, "last attempt: "+t.Reason)
	}
	return out
}

func (o *Owner) list(limit int) []job.Status {
	var out []job.Status
	o.replica.Read(func() {
		for _, j := range slices.Backward(o.machine.Jobs()) {
			if limit > 0 && len(out) >= limit {
				return
			}
			out = append(out, o.machine.Status(j, false))
		}
	})
	return out
}

// events records events reported by rack owners. It returns OK only once all
// resulting records are durable.
func (o *Owner) events(ctx context.Context, events []rack.Event) queue.Code {
	_, policy, _ := o.policy()
	var records []queue.Record
	current := false
	o.mu.Lock()
	o.replica.Read(func() {
		current = o.machine.Term() == o.term
		for _, e := range events {
			r, ok := o.machine.RecordOf(e, policy)
			if !ok {
				continue
			}
			records = append(records, r)
			if j := o.machine.Job(r.Job); r.Kind == queue.Finished && j != nil {
				o.history.Observe(j.Spec, e.Used, e.RunTime)
			}
		}
	})
	o.mu.Unlock()
	if !current {
		return queue.NotOwner
	}
	code := codeOf(o.record(ctx, stream.Normal, records...))
	if code == queue.OK && len(records) > 0 {
		o.wakeRound()
	}
	return code
}
