package experiment

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

// Pure is the scheduler of packages rack and queue, driven as their owners
// drive them but for the network: one queue, one owner of each rack.
type Pure struct {
	Records, Bytes int // written to the log
	Starts         int

	team    fleet.Path
	policy  settings.Policy
	vms     []platform.VM
	model   *interference.Learned
	machine *queue.Machine
	history *queue.History
	budget  queue.Budget
	racks   map[fleet.Path]*rack.State
	paths   []fleet.Path
	term    platform.Offset
	backlog []job.Spec // not recorded yet
	cancels []string   // keys of jobs whose cancellation is not recorded yet
	down    bool
	now     time.Time
	out     []fleet.Path
}

// NewPure returns an empty scheduler for one team.
func NewPure(team fleet.Path, p settings.Policy, vms []platform.VM) *Pure {
	s := &Pure{
		team: team, policy: p, vms: vms, model: interference.NewLearned(interference.Options{}),
		machine: queue.NewMachine(team), racks: make(map[fleet.Path]*rack.State), now: epoch,
	}
	for _, vm := range vms {
		if !slices.Contains(s.paths, vm.Rack) {
			s.paths = append(s.paths, vm.Rack)
		}
	}
	s.takeOver()
	return s
}

// takeOver replaces all owners by new ones that know only the log.
func (s *Pure) takeOver() {
	s.term++
	s.history = queue.NewHistory()
	for _, path := range s.paths {
		s.racks[path] = rack.New(path, s.term, s.now, s.model)
		s.racks[path].SetVMs(s.vms)
	}
	s.write(queue.Record{Kind: queue.Opened})
}

func (s *Pure) write(records ...queue.Record) {
	if len(records) == 0 {
		return
	}
	data, err := queue.Batch{Term: s.term, Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	s.Records += len(records)
	s.Bytes += len(data)
	s.machine.Apply(platform.Record{Time: s.now, Data: data})
}

// Submit implements Scheduler.
func (s *Pure) Submit(now time.Time, spec job.Spec) {
	s.now = now
	s.backlog = append(s.backlog, spec)
}

// Cancel implements Scheduler. A job that was not submitted is unknown.
func (s *Pure) Cancel(_ time.Time, key string) {
	waits := func(spec job.Spec) bool { return spec.IdempotencyKey == key }
	if s.machine.ByKey(key) != nil || slices.ContainsFunc(s.backlog, waits) {
		s.cancels = append(s.cancels, key)
	}
}

// cancelAll records the cancellations and stops what still runs.
func (s *Pure) cancelAll() {
	for _, key := range s.cancels {
		if j := s.machine.ByKey(key); j != nil {
			s.write(queue.Record{Kind: queue.Cancelled, Job: j.Number})
		}
	}
	s.cancels = nil
	for _, j := range s.machine.Open() {
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.Cancelling {
				continue
			}
			ref := platform.AttemptRef{Task: queue.TaskID(s.team, queue.TaskRef{Job: j.Number, Index: i}), Attempt: t.Attempt}
			s.racks[t.Rack].Stop(rack.StopArgs{Queue: s.team, QueueTerm: s.term, Goal: rack.Cancel, Attempts: []platform.AttemptRef{ref}})
		}
	}
}

func (s *Pure) conditions() rack.Conditions {
	v := &settings.View{Policies: map[fleet.Path]settings.Policy{"": s.policy}}
	for _, d := range domainsOf(s.vms) {
		v.Domains = append(v.Domains, settings.FailureDomain{Path: d, Out: slices.Contains(s.out, d)})
	}
	return rack.Conditions{View: v}
}

// Step implements Scheduler.
func (s *Pure) Step(now time.Time, in Input) {
	s.now, s.out, s.down = now, in.Out, in.LogDown
	if in.Takeover && !s.down {
		s.takeOver()
	}
	c := s.conditions()
	for _, path := range s.paths {
		s.stepRack(s.racks[path], in, c)
	}
	if s.down {
		return
	}
	s.submitAll()
	s.cancelAll()
	s.resolve(c)
	s.round(in, c)
}

// stepRack renews the workers, carries out the plan and records the events.
func (s *Pure) stepRack(r *rack.State, in Input, c rack.Conditions) {
	r.Tick(s.now, c)
	for _, vm := range r.VMs() {
		for again := true; again; {
			again = s.renew(r, in, vm, c)
		}
	}
	for _, a := range r.Plan(s.now, c) {
		s.act(r, in, a, c)
	}
	if s.down {
		return
	}
	events := r.Events()[s.team]
	var records []queue.Record
	for _, e := range events {
		if rec, ok := s.machine.RecordOf(e, s.policy.Tasks); ok {
			records = append(records, rec)
			if rec.Kind == queue.Finished {
				s.history.Observe(s.machine.Job(rec.Job).Spec, e.Used, e.RunTime)
			}
		}
	}
	s.write(records...)
	for _, e := range events {
		r.Acknowledge(e)
	}
}

// renew reports whether a second renewal is due at once.
func (s *Pure) renew(r *rack.State, in Input, vm platform.VM, c rack.Conditions) bool {
	request, _ := r.Renewal(vm.ID, s.now, c)
	if in.Cut[vm.ID] {
		r.Unanswered(vm.ID)
		return false
	}
	report, err := in.Workers[vm.ID].Renew(s.now, request)
	if err != nil {
		r.Unanswered(vm.ID)
		return false
	}
	r.Renewed(vm.ID, s.now, s.now, request, report, c)
	for _, seen := range r.Observations(vm.ID, s.now, report.Usage) {
		s.model.Observe(seen.Victim, seen.Neighbours, seen.Slowdown)
	}
	running := slices.ContainsFunc(report.Attempts, func(a platform.AttemptStatus) bool { return a.State == platform.AttemptRunning })
	return running && len(request.Attempts) == 0
}

func (s *Pure) act(r *rack.State, in Input, a rack.Action, c rack.Conditions) {
	if in.Cut[a.VM.ID] {
		return
	}
	ref := platform.AttemptRef{Task: a.Request.Task, Attempt: a.Request.Token.Attempt}
	status, err := in.Workers[a.VM.ID].Control(s.now, string(a.Kind), a.Request)
	if err == nil {
		r.Answered(a.VM.ID, status, s.now, c)
	}
	switch {
	case a.Kind == rack.DoCheckpoint:
		r.Checkpointed(a.VM.ID, ref, err == nil)
	case a.Kind == rack.DoThrottle && err == nil:
		r.Throttled(a.VM.ID, ref, a.Request.Share)
	}
}

// Ended implements Scheduler.
func (s *Pure) Ended() []End {
	var out []End
	for _, j := range s.machine.Jobs() {
		if j.Ended != 0 {
			out = append(out, End{Key: j.Spec.IdempotencyKey, State: s.machine.Status(j, false).State, At: time.UnixMilli(j.Ended)})
		}
	}
	return out
}

// Evictions implements Scheduler.
func (s *Pure) Evictions() int {
	n := 0
	for _, j := range s.machine.Jobs() {
		for i := range j.Tasks {
			n += j.Tasks[i].Evictions
		}
	}
	return n
}
