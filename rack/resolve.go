package rack

import (
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// Resolve tells the owner of a queue what became of recorded attempts.
func (s *State) Resolve(now time.Time, c Conditions, args ResolveArgs) ResolveReply {
	reply := ResolveReply{Term: s.term}
	if !s.fenceQueue(args.Queue, args.QueueTerm) {
		reply.Code = OldQueueTerm
		return reply
	}
	for _, p := range args.Placements {
		reply.Results = append(reply.Results, Resolution{Task: p.Task, Attempt: p.Attempt, Fate: s.fate(now, c, p)})
	}
	return reply
}

func (s *State) fate(now time.Time, c Conditions, p Placement) Fate {
	if p.RackTerm > s.term {
		return Waits
	}
	ref := platform.AttemptRef{Task: p.Task, Attempt: p.Attempt}
	delete(s.reservations, ref)
	if _, ok := s.events[ref]; ok {
		return Reports
	}
	for _, w := range s.workers {
		a, ok := w.attempts[ref]
		if !ok {
			continue
		}
		switch a.phase {
		case running:
			return Runs
		case starting:
			return Waits
		}
		return Absent
	}
	if w, ok := s.workers[p.VM]; ok && w.fenced {
		return Absent
	}
	if now.Add(-c.ClaimAge).After(s.lapseBound(c)) {
		return Absent
	}
	return Waits
}

// Stop sets the goal of attempts; a cancellation outranks an eviction.
func (s *State) Stop(args StopArgs) StopReply {
	if !s.fenceQueue(args.Queue, args.QueueTerm) {
		return StopReply{Code: OldQueueTerm}
	}
	for _, ref := range args.Attempts {
		delete(s.reservations, ref)
		for _, w := range s.workers {
			if a, ok := w.attempts[ref]; ok && a.goal != Cancel {
				a.goal = args.Goal
				a.why = args.Reason
			}
		}
	}
	return StopReply{}
}

// Summary returns what the rack has free.
func (s *State) Summary(now time.Time, c Conditions) Summary {
	out := Summary{Rack: s.path, Term: s.term, Reason: s.startsAllowed(c)}
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		out.Running += len(w.residents())
		v := s.candidate(w, now, c.View)
		if v.Out || v.Leaving || v.Quarantined || v.Unreachable {
			continue
		}
		free := v.Size.Sub(v.Committed.Max(v.Measured))
		out.FailureDomain = v.FailureDomain
		out.VMs = append(out.VMs, VMSummary{ID: id, Free: free})
	}
	return out
}
