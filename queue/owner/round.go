package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
)

const (
	roundSize = 256             // placements of one round
	logRetry  = 2 * time.Second // between rounds while entries fail
	unfitHold = 30 * time.Second
)

var errNoOwner = errors.New("nobody owns the rack")

// move is a placement on its way from the reservation to the start.
type move struct {
	ref        queue.TaskRef
	task       string
	attempt    int
	checkpoint string
	runTime    time.Duration
	request    rack.Request
	urgent     bool
	rack       fleet.Path
	vm         string          // once reserved
	term       platform.Offset // of the rack
}

func (o *Owner) roundLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-timer.C:
		}
		wait := idleEvery
		if o.round(ctx) {
			wait = roundEvery
			o.nudge()
		}
		if _, down := o.appender.downSince(); down {
			wait = logRetry
			sleep(ctx, logRetry)
		}
		timer.Reset(wait)
	}
}

// round places what may start now: reserve, record, start. It reports whether
// more may be placed at once.
func (o *Owner) round(ctx context.Context) bool {
	team, policy, ok := o.policy()
	if !ok {
		return false
	}
	waiting := o.waiting()
	if waiting == 0 {
		return false
	}
	o.racks.refresh(ctx, min(waiting, roundSize))
	moves := o.choose(team, policy)
	if _, down := o.appender.downSince(); down {
		// One placement tests the log.
		moves = moves[:min(len(moves), 1)]
	}
	if len(moves) == 0 {
		return o.racks.hasUnknown()
	}
	reserved := o.reserve(ctx, moves)
	if len(reserved) == 0 {
		return false
	}
	placed := o.place(ctx, reserved)
	if len(placed) > 0 {
		o.work.Go(func() { o.start(ctx, placed) })
	}
	return len(moves) >= roundSize && len(placed) > 0
}

// waiting counts the tasks that wait.
func (o *Owner) waiting() int {
	n := 0
	o.replica.Read(func() { n = o.machine.Waiting() })
	return n
}

// choose takes the next tasks in order and picks a rack for each.
func (o *Owner) choose(team settings.Team, policy settings.TaskPolicy) []*move {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*move
	o.racks.choose(func(chooser *queue.Chooser) {
		o.replica.Read(func() { out = o.chooseWith(chooser, now, team, policy) })
	})
	return out
}

// chooseWith is called while the machine does not change.
func (o *Owner) chooseWith(chooser *queue.Chooser, now time.Time, team settings.Team, policy settings.TaskPolicy) []*move {
	var out []*move
	order := queue.Order{Now: now, Team: team, Policy: policy, History: o.history, VMs: o.opts.VMs()}
	candidates, waits := order.Next(o.machine)
	for i, c := range candidates {
		if len(out) >= roundSize {
			waits[c.Ref] = queue.Reason{Code: queue.WaitsTurn, Ahead: i}
			continue
		}
		path, reason, ok := chooser.Choose(c)
		if ok && c.Task.Failures > 0 && !o.budget.Take(now, policy.RetryBudget) {
			reason, ok = queue.Reason{Code: queue.WaitsBudget}, false
		}
		if !ok {
			waits[c.Ref] = reason
			continue
		}
		out = append(out, o.moveOf(c, path))
	}
	o.reasons = waits
	return out
}

// moveOf copies what the placement needs from the machine.
func (o *Owner) moveOf(c queue.Candidate, path fleet.Path) *move {
	m := &move{
		ref:        c.Ref,
		task:       queue.TaskID(o.path, c.Ref),
		attempt:    c.Task.Attempt + 1,
		checkpoint: c.Task.Checkpoint,
		runTime:    c.Job.Spec.RunTime,
		urgent:     c.Job.Spec.Urgent,
		rack:       path,
	}
	m.request = rack.Request{
		Task: m.task, Attempt: m.attempt, Kind: c.Job.Spec.Kind, Class: c.Job.Spec.Class, Size: c.Size,
		FailureDomains:  slices.Clone(c.Job.Spec.FailureDomains),
		Avoid:           slices.Clone(c.Avoid),
		FailedElsewhere: c.Job.HasFailed(),
		Evicted:         c.Task.Evictions > 0,
	}
	return m
}

// reserve asks the rack owners for VMs and returns the moves that got one.
func (o *Owner) reserve(ctx context.Context, moves []*move) []*move {
	var calls sync.WaitGroup
	for path, group := range byRack(moves) {
		calls.Go(func() {
			args := rack.ReserveArgs{Rack: path, Queue: o.path, QueueTerm: o.term, Summary: o.racks.wantsSummary(path)}
			for _, m := range group {
				args.Requests = append(args.Requests, m.request)
			}
			var reply rack.ReserveReply
			err := o.racks.call(ctx, path, "Reserve", args, &reply)
			if err != nil || reply.Code != rack.OK || len(reply.Results) != len(group) {
				o.racks.store(rack.Summary{Rack: path})
				o.explain(group, queue.Reason{Code: queue.WaitsRacks, Rack: path, Detail: string(reply.Code)})
				return
			}
			if reply.Summary != nil {
				o.racks.store(*reply.Summary)
			}
			o.reserved(group, reply)
		})
	}
	calls.Wait()
	return slices.DeleteFunc(moves, func(m *move) bool { return m.vm == "" })
}

// reserved notes the reservations of one rack owner.
func (o *Owner) reserved(group []*move, reply rack.ReserveReply) {
	for i, m := range group {
		result := reply.Results[i]
		m.vm = result.VM
		m.term = reply.Term
		if m.vm == "" {
			o.explain(group[i:i+1], queue.Reason{
				Code: queue.WaitsRoom, Rack: m.rack, Refused: result.Reason, Refusals: result.Refusals,
			})
		}
	}
}

// place records the placements and returns those that took effect.
func (o *Owner) place(ctx context.Context, moves []*move) []*move {
	urgency := stream.Normal
	var records []queue.Record
	for _, m := range moves {
		if m.urgent {
			urgency = stream.Urgent
		}
		records = append(records, m.record(queue.Placed, ""))
	}
	if err := o.record(ctx, urgency, records...); err != nil {
		o.opts.Log.Info("placements not recorded", "queue", o.path, "count", len(moves), "error", err.Error())
		o.explain(moves, queue.Reason{Code: queue.WaitsLog, Detail: err.Error()})
		return nil
	}
	var out []*move
	o.replica.Read(func() {
		for _, m := range moves {
			if m.isRecorded(o.machine.Task(m.ref)) {
				out = append(out, m)
			}
		}
	})
	return out
}

// isRecorded reports whether the task's newest attempt is this placement.
func (m *move) isRecorded(t *queue.Task) bool {
	return t != nil && t.State == job.Placed && t.Attempt == m.attempt &&
		t.VM == m.vm && t.Rack == m.rack && t.RackTerm == m.term
}

func (o *Owner) explain(moves []*move, r queue.Reason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range moves {
		o.reasons[m.ref] = r
	}
}

func byRack(moves []*move) map[fleet.Path][]*move {
	out := make(map[fleet.Path][]*move)
	for _, m := range moves {
		out[m.rack] = append(out[m.rack], m)
	}
	return out
}
