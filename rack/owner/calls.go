package owner

import (
	"context"
	"errors"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
)

const (
	callShare    = 4 // worker calls last at most this part of a lease
	stopTimeout  = 10 * time.Second
	eventTimeout = 10 * time.Second
	eventBatch   = 500
)

// renewTries bounds the calls of one renewal: one that fails, one that asks for
// a report only, one that renews again.
const renewTries = 3

// renew renews the leases of one worker and applies its report. It calls again
// at once when a call failed, and when the request carried no leases because
// the worker was new or silent before.
func (o *Owner) renew(ctx context.Context, vm platform.VM) {
	for range renewTries {
		if ctx.Err() != nil || !o.renewOnce(ctx, vm) {
			return
		}
	}
}

// renewOnce reports whether another renewal is due at once.
func (o *Owner) renewOnce(ctx context.Context, vm platform.VM) bool {
	var request platform.RenewRequest
	var sent time.Time
	known := false
	o.with(func(s *rack.State, now time.Time, c rack.Conditions) {
		request, known = s.Renewal(vm.ID, now, c)
		sent = now
	})
	if !known {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, o.policy().Lease/callShare)
	defer cancel()
	report, err := o.opts.Workers(vm.Address).Renew(callCtx, request)
	if err != nil {
		o.opts.Log.V(1).Info("renewal failed", "rack", o.path, "vm", vm.ID, "error", err.Error())
		o.with(func(s *rack.State, _ time.Time, _ rack.Conditions) { s.Unanswered(vm.ID) })
		return true
	}
	o.with(func(s *rack.State, now time.Time, c rack.Conditions) {
		s.Renewed(vm.ID, sent, now, request, report, c)
		for _, seen := range s.Observations(vm.ID, now, report.Usage) {
			o.opts.Model.Observe(seen.Victim, seen.Neighbours, seen.Slowdown)
		}
	})
	return len(request.Attempts) == 0 && len(report.Attempts) > 0
}

// act carries out one action; what failed is planned again.
func (o *Owner) act(ctx context.Context, a rack.Action) {
	callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	worker := o.opts.Workers(a.VM.Address)
	ref := platform.AttemptRef{Task: a.Request.Task, Attempt: a.Request.Token.Attempt}
	status, err := call(callCtx, worker, a)
	o.opts.Log.V(1).Info("task control", "rack", o.path, "vm", a.VM.ID, "task", ref.Task,
		"attempt", ref.Attempt, "action", a.Kind, "share", a.Request.Share, "error", errorText(err))
	o.with(func(s *rack.State, now time.Time, c rack.Conditions) {
		if err == nil {
			s.Answered(a.VM.ID, status, now, c)
		}
		switch {
		case a.Kind == rack.DoCheckpoint:
			s.Checkpointed(a.VM.ID, ref, err == nil)
		case a.Kind == rack.DoThrottle && err == nil:
			s.Throttled(a.VM.ID, ref, a.Request.Share)
		}
	})
}

func call(ctx context.Context, w platform.Worker, a rack.Action) (platform.AttemptStatus, error) {
	switch a.Kind {
	case rack.DoCheckpoint:
		return w.Checkpoint(ctx, a.Request)
	case rack.DoThrottle:
		return w.Throttle(ctx, a.Request)
	}
	return w.Stop(ctx, a.Request)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// deliver sends events to the owner of a queue and notes those that it has
// recorded.
func (o *Owner) deliver(ctx context.Context, path fleet.Path, events []rack.Event) {
	_, addr, ok := o.opts.Directory.Owner(ownership.Unit{Kind: ownership.Queue, Path: path})
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	args := queue.EventsArgs{Queue: path, Rack: o.path, Events: events[:min(len(events), eventBatch)]}
	var reply queue.EventsReply
	err := o.opts.Pool.Client(addr).Call(callCtx, queue.ServiceName+".Events", args, &reply)
	if err != nil || reply.Code != queue.OK {
		o.opts.Log.V(1).Info("events not taken", "rack", o.path, "queue", path, "code", reply.Code, "error", errorText(err))
		return
	}
	countEnds(args.Events)
	o.with(func(s *rack.State, _ time.Time, _ rack.Conditions) {
		for _, e := range args.Events {
			s.Acknowledge(e)
		}
	})
}

// start sends one start and returns its result.
func (o *Owner) start(ctx context.Context, args rack.StartArgs, st rack.Start) rack.StartResult {
	out := rack.StartResult{Task: st.Task, Attempt: st.Attempt}
	defer func() { countStart(out) }()
	var vm platform.VM
	var request platform.StartRequest
	o.with(func(s *rack.State, now time.Time, c rack.Conditions) {
		vm, request, out.Refused = s.Start(now, c, args, st)
	})
	if out.Refused != "" {
		return out
	}
	callCtx, cancel := context.WithTimeout(ctx, o.policy().Lease/callShare)
	defer cancel()
	status, err := o.opts.Workers(vm.Address).Start(callCtx, request)
	ref := platform.AttemptRef{Task: st.Task, Attempt: st.Attempt}
	o.with(func(s *rack.State, now time.Time, c rack.Conditions) {
		out.Running, out.Refused = settleStart(s, vm.ID, ref, status, err, now, c)
	})
	out.Detail = errorText(err)
	o.opts.Log.V(1).Info("task start", "rack", o.path, "vm", vm.ID, "task", st.Task, "attempt", st.Attempt,
		"running", out.Running, "refused", out.Refused, "error", out.Detail)
	return out
}

// settleStart applies the outcome of a start call.
func settleStart(s *rack.State, vm string, ref platform.AttemptRef, status platform.AttemptStatus, err error, now time.Time, c rack.Conditions) (bool, rack.RefusalReason) {
	var refused *platform.RefusedError
	switch {
	case err == nil:
		s.Answered(vm, status, now, c)
		return true, ""
	case errors.As(err, &refused):
		s.StartRefused(vm, ref)
		return false, rack.WorkerRefused
	case errors.Is(err, platform.ErrUnavailable):
		s.StartRefused(vm, ref)
		return false, rack.NotSent
	}
	return false, ""
}
