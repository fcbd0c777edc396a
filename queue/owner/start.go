package owner

import (
	"context"
	"sync"

	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/stream"
)

// start sends the starts of recorded placements and records what is known of
// them. What stays unknown is asked for by the resolve loop.
func (o *Owner) start(ctx context.Context, moves []*move) {
	var calls sync.WaitGroup
	var mu sync.Mutex // protects records
	var records []queue.Record
	for path, group := range byRack(moves) {
		calls.Go(func() {
			args := rack.StartArgs{Rack: path, Term: group[0].term, Queue: o.path, QueueTerm: o.term}
			for _, m := range group {
				args.Starts = append(args.Starts, rack.Start{
					Task: m.task, Attempt: m.attempt, Checkpoint: m.checkpoint, RunTime: m.runTime,
				})
			}
			var reply rack.StartReply
			if err := o.racks.call(ctx, path, "Start", args, &reply); err != nil {
				o.opts.Log.V(1).Info("starts unanswered", "queue", o.path, "rack", path, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			records = append(records, o.started(group, reply)...)
		})
	}
	calls.Wait()
	if err := o.record(ctx, stream.Normal, records...); err != nil {
		o.opts.Log.V(1).Info("starts not recorded", "queue", o.path, "error", err.Error())
	}
	o.nudge()
}

// started returns the records for the answers of one rack owner. A call that
// was refused as a whole leaves the placements to the resolve loop.
func (o *Owner) started(group []*move, reply rack.StartReply) []queue.Record {
	if reply.Code != rack.OK || len(reply.Results) != len(group) {
		return nil
	}
	var out []queue.Record
	for i, m := range group {
		result := reply.Results[i]
		switch {
		case result.Running:
			out = append(out, m.record(queue.Started, ""))
		case result.Refused != "":
			o.explain(group[i:i+1], queue.Reason{
				Code: queue.ReasonStartRefused, Rack: m.rack, RackRefusal: result.Refused, Detail: result.Detail,
			})
			out = append(out, m.record(queue.Released, string(result.Refused)))
		}
	}
	return out
}

func (m *move) record(kind queue.Kind, reason string) queue.Record {
	r := queue.Record{Kind: kind, Job: m.ref.Job, Index: m.ref.Index, Attempt: m.attempt, Reason: reason}
	if kind == queue.Placed {
		r.VM, r.Rack, r.RackTerm = m.vm, m.rack, m.term
	}
	return r
}
