package experiment

import (
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

// submitAll records the jobs that arrived, and those that no worker could hold.
func (s *Pure) submitAll() {
	for _, spec := range s.backlog {
		s.write(queue.Record{Kind: queue.Submitted, Spec: &spec})
		if short, unfit := queue.Unfit(s.vms, spec); unfit {
			number := s.machine.ByKey(spec.IdempotencyKey).Number
			s.write(queue.Record{Kind: queue.Unschedulable, Job: number, Reason: short.String()})
		}
	}
	s.backlog = nil
}

// resolve asks the rack owners about attempts that were placed under older
// terms.
func (s *Pure) resolve(c rack.Conditions) {
	var records []queue.Record
	for _, j := range s.machine.Open() {
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.IsActive() || t.RackTerm == s.term {
				continue
			}
			ref := queue.TaskRef{Job: j.Number, Index: i}
			reply := s.racks[t.Rack].Resolve(s.now, c, rack.ResolveArgs{Queue: s.team, QueueTerm: s.term, Placements: []rack.Placement{
				{Task: queue.TaskID(s.team, ref), Attempt: t.Attempt, VM: t.VM, RackTerm: t.RackTerm},
			}})
			if reply.Results[0].Fate == rack.Absent {
				records = append(records, queue.Record{Kind: queue.Evicted, Job: j.Number, Index: i, Attempt: t.Attempt})
			}
		}
	}
	s.write(records...)
}

// round places what may start now.
func (s *Pure) round(in Input, c rack.Conditions) {
	if s.machine.Waiting() == 0 {
		return
	}
	var summaries []rack.Summary
	for _, path := range s.paths {
		summaries = append(summaries, s.racks[path].Summary(s.now, c))
	}
	chooser := queue.NewChooser(summaries)
	order := queue.Order{Now: s.now, Team: settings.Team{Path: s.team}, Policy: s.policy.Tasks, History: s.history, VMs: s.vms}
	candidates, _ := order.Next(s.machine)
	var placed []queue.Record
	for _, k := range candidates {
		path, _, ok := chooser.Choose(k)
		if !ok || (k.Task.Failures > 0 && !s.budget.Take(s.now, s.policy.Tasks.RetryBudget)) {
			continue
		}
		if rec, ok := s.reserve(path, k, c); ok {
			placed = append(placed, rec)
		}
	}
	s.write(placed...)
	s.startAll(in, placed, c)
}

func (s *Pure) reserve(path fleet.Path, k queue.Candidate, c rack.Conditions) (queue.Record, bool) {
	reply := s.racks[path].Reserve(s.now, c, rack.ReserveArgs{Queue: s.team, QueueTerm: s.term, Requests: []rack.Request{{
		Task: queue.TaskID(s.team, k.Ref), Attempt: k.Task.Attempt + 1, Kind: k.Job.Spec.Kind, Class: k.Job.Spec.Class,
		Size: k.Size, FailureDomains: k.Job.Spec.FailureDomains, Avoid: k.Avoid, FailedElsewhere: k.Job.HasFailed(), Evicted: k.Task.Evictions > 0,
	}}})
	return queue.Record{
		Kind: queue.Placed, Job: k.Ref.Job, Index: k.Ref.Index, Attempt: k.Task.Attempt + 1,
		VM: reply.Results[0].VM, Rack: path, RackTerm: s.term,
	}, reply.Results[0].VM != ""
}

func (s *Pure) startAll(in Input, placed []queue.Record, c rack.Conditions) {
	var records []queue.Record
	for _, p := range placed {
		rec := queue.Record{Kind: queue.Released, Job: p.Job, Index: p.Index, Attempt: p.Attempt}
		if s.start(in, p, c) {
			rec.Kind = queue.Started
			s.Starts++
		}
		records = append(records, rec)
	}
	s.write(records...)
}

func (s *Pure) start(in Input, p queue.Record, c rack.Conditions) bool {
	ref := queue.TaskRef{Job: p.Job, Index: p.Index}
	st := rack.Start{
		Task: queue.TaskID(s.team, ref), Attempt: p.Attempt,
		Checkpoint: s.machine.Task(ref).Checkpoint, RunTime: s.machine.Job(p.Job).Spec.RunTime,
	}
	r := s.racks[p.Rack]
	vm, request, refused := r.Start(s.now, c, rack.StartArgs{Queue: s.team, QueueTerm: s.term}, st)
	if refused != "" {
		return false
	}
	attempt := platform.AttemptRef{Task: st.Task, Attempt: st.Attempt}
	if in.Cut[vm.ID] {
		r.StartRefused(vm.ID, attempt)
		return false
	}
	status, err := in.Workers[vm.ID].Start(s.now, request)
	if err != nil {
		r.StartRefused(vm.ID, attempt)
		return false
	}
	r.Answered(vm.ID, status, s.now, c)
	return true
}
