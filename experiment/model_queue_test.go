package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
)

// step is one action that is possible in a state.
type step struct {
	name string
	run  func(m *model)
}

// steps lists the actions that are possible.
func (m *model) steps() []step {
	var out []step
	add := func(name string, run func(*model)) { out = append(out, step{name, run}) }
	if m.now.Sub(modelStart) < time.Duration(m.bound.ticks)*modelTick {
		if held := m.held(); m.faults+held <= m.bound.faults {
			add("tick", func(m *model) {
				m.faults += m.hold()
				m.tick()
			})
		}
	}
	if m.bound.queueTakeover && len(m.queues) == 1 {
		add("queue taken over", func(m *model) {
			m.queues = append(m.queues, queueOwner{term: 2})
			m.write(2, queue.Record{Kind: queue.Opened})
		})
	}
	if m.bound.rackTakeover && len(m.racks) == m.bound.racks {
		add("rack taken over", func(m *model) { m.addRack(rackPath(0), "") })
		if m.mayFail() {
			add("rack taken over by an owner that is cut off", func(m *model) {
				m.faults++
				m.addRack(rackPath(0), m.workers[0].VM.ID)
			})
		}
	}
	if m.bound.takeOut && m.outAt.IsZero() {
		add("take out d0", func(m *model) { m.outAt = m.now })
	}
	if !m.told && !m.outAt.IsZero() {
		add("the take-out arrives", func(m *model) { m.told = true })
	}
	for q := range m.queues {
		out = append(out, m.queueSteps(q)...)
	}
	for r := range m.racks {
		out = append(out, m.rackSteps(r)...)
	}
	for i, x := range m.net {
		add(x.name+" arrives late", func(m *model) {
			m.net = slices.Delete(m.net, i, i+1)
			x.arrive(m)
		})
	}
	return out
}

func (m *model) mayFail() bool { return m.faults < m.bound.faults }

func (m *model) mayDelay() bool { return m.mayFail() && !m.bound.noDelays }

// send returns the steps in which a message arrives at once or is delayed.
func (m *model) send(name string, prepare func(m *model) (any, func(m *model))) []step {
	out := []step{{name, func(m *model) {
		if _, arrive := prepare(m); arrive != nil {
			arrive(m)
		}
	}}}
	if m.mayDelay() {
		out = append(out, step{name + ", delayed", func(m *model) {
			if body, arrive := prepare(m); arrive != nil {
				m.faults++
				m.net = append(m.net, message{name, body, arrive})
			}
		}})
	}
	return out
}

func (m *model) queueSteps(q int) []step {
	var out []step
	o := m.queues[q]
	switch o.at.step {
	case "":
		for r := range m.racks {
			if m.racks[r].frozen {
				continue
			}
			for _, ref := range m.tasks(true) {
				name := fmt.Sprintf("queue owner %d reserves task %d at rack owner %d", q, ref.Index, r)
				out = append(out, step{name, func(m *model) { m.reserve(q, r, ref) }})
			}
			for _, ref := range m.tasks(false) {
				if m.racks[r].state.Path() != m.machine.Task(ref).Rack {
					continue
				}
				if q == 0 && !time.UnixMilli(m.machine.Task(ref).Changed).Before(m.now) {
					continue
				}
				name := fmt.Sprintf("queue owner %d resolves task %d at rack owner %d", q, ref.Index, r)
				out = append(out, m.send(name, func(m *model) (any, func(*model)) { return m.resolve(q, r, ref) })...)
			}
		}
	case "reserved":
		name := fmt.Sprintf("queue owner %d appends placed for task %d", q, o.at.task.Index)
		out = append(out, m.send(name, func(m *model) (any, func(*model)) {
			m.queues[q].at.step = "appended"
			return o.at.rec, func(m *model) { m.write(o.term, o.at.rec) }
		})...)
	case "appended":
		name := fmt.Sprintf("queue owner %d asks rack owner %d to start task %d", q, o.at.rack, o.at.task.Index)
		if m.isRecorded(q) && !m.racks[o.at.rack].frozen {
			out = append(out, m.send(name, func(m *model) (any, func(*model)) { return m.askStart(q) })...)
		}
		if !m.isRecorded(q) {
			out = append(out, step{fmt.Sprintf("queue owner %d gives up", q), func(m *model) { m.queues[q].at = placing{} }})
		}
	}
	return out
}

// tasks returns the tasks that wait, or those that may run.
func (m *model) tasks(waiting bool) []queue.TaskRef {
	var out []queue.TaskRef
	for i := range m.bound.tasks {
		ref := queue.TaskRef{Job: 1, Index: i}
		t := m.machine.Task(ref)
		if (waiting && t.IsWaiting() && t.Attempt < m.bound.attempts) || (!waiting && t.IsActive()) {
			out = append(out, ref)
		}
	}
	return out
}

func (m *model) reserve(q, r int, ref queue.TaskRef) {
	t := m.machine.Task(ref)
	args := rack.ReserveArgs{Queue: modelTeam, QueueTerm: m.queues[q].term, Requests: []rack.Request{{
		Task: queue.TaskID(modelTeam, ref), Attempt: t.Attempt + 1, Kind: "k", Class: fleet.Batch,
		Size: fleet.Resources{MilliCPU: 600, MemoryMB: 600},
	}}}
	reply := m.racks[r].state.Reserve(m.now, m.conditions(r), args)
	if reply.Code != rack.OK || reply.Results[0].VM == "" {
		return
	}
	m.queues[q].at = placing{step: "reserved", task: ref, rack: r, rec: queue.Record{
		Kind: queue.Placed, Job: ref.Job, Index: ref.Index, Attempt: t.Attempt + 1,
		VM: reply.Results[0].VM, Rack: m.racks[r].state.Path(), RackTerm: reply.Term,
	}}
}

func (m *model) isRecorded(q int) bool {
	o := m.queues[q]
	t := m.machine.Task(o.at.task)
	return m.machine.Term() == o.term && t.State == job.Placed && t.Attempt == o.at.rec.Attempt &&
		t.VM == o.at.rec.VM && t.RackTerm == o.at.rec.RackTerm
}

// askStart returns the arrival of the call at the rack owner, which sends the
// start to the worker; that message may be delayed in turn.
func (m *model) askStart(q int) (any, func(*model)) {
	o := m.queues[q]
	m.queues[q].at = placing{}
	args := rack.StartArgs{Queue: modelTeam, QueueTerm: o.term, Starts: []rack.Start{
		{Task: queue.TaskID(modelTeam, o.at.task), Attempt: o.at.rec.Attempt, Checkpoint: m.machine.Task(o.at.task).Checkpoint},
	}}
	return args, func(m *model) {
		s := m.racks[o.at.rack].state
		vm, request, refused := s.Start(m.now, m.conditions(o.at.rack), args, args.Starts[0])
		if refused == "" {
			m.racks[o.at.rack].starts = append(m.racks[o.at.rack].starts, start{vm.ID, request})
		}
	}
}

// resolve returns the arrival of the entry that follows from the answer.
func (m *model) resolve(q, r int, ref queue.TaskRef) (any, func(*model)) {
	term, t := m.queues[q].term, m.machine.Task(ref)
	if m.machine.Term() != term {
		return nil, nil
	}
	reply := m.racks[r].state.Resolve(m.now, m.conditions(r), rack.ResolveArgs{
		Queue: modelTeam, QueueTerm: term,
		Placements: []rack.Placement{{Task: queue.TaskID(modelTeam, ref), Attempt: t.Attempt, VM: t.VM, RackTerm: t.RackTerm}},
	})
	if reply.Code != rack.OK || reply.Results[0].Status != rack.StatusAbsent {
		return nil, nil
	}
	rec := queue.Record{Kind: queue.Released, Job: ref.Job, Index: ref.Index, Attempt: t.Attempt}
	return rec, func(m *model) { m.write(term, rec) }
}
