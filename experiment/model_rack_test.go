package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

func (m *model) rackSteps(r int) []step {
	var out []step
	o := m.racks[r]
	add := func(name string, run func(*model)) {
		out = append(out, step{fmt.Sprintf("rack owner %d %s", r, name), run})
	}
	if o.frozen && !o.slept {
		return nil
	}
	if o.frozen {
		add("wakes", func(m *model) {
			m.racks[r].frozen, m.racks[r].slept = false, false
			m.round(r)
		})
		return out
	}
	if m.mayFail() {
		add("freezes", func(m *model) {
			m.faults++
			m.racks[r].frozen = true
		})
	}
	if len(m.net) > 0 && o.lost.IsZero() && o.cut == "" {
		add("renews again", func(m *model) { m.round(r) })
	}
	for i, w := range m.workers {
		if w.VM.Rack != o.state.Path() {
			continue
		}
		if m.mayFail() && o.cut != w.VM.ID {
			add("is cut off from "+w.VM.ID, func(m *model) { m.faults++; m.racks[r].cut = w.VM.ID })
		}
		if m.mayDelay() {
			add("sends a renewal to "+w.VM.ID+" that is delayed", func(m *model) { m.floatRenewal(r, i) })
		}
	}
	if m.mayFail() && o.cut != "" {
		add("reaches all workers again", func(m *model) { m.faults++; m.racks[r].cut = "" })
	}
	if len(o.starts) > 0 {
		out = append(out, m.startSteps(r)...)
	}
	events := o.state.Events()[modelTeam]
	for q := range m.queues {
		if len(events) > 0 && m.machine.Term() == m.queues[q].term {
			name := fmt.Sprintf("rack owner %d reports to queue owner %d", r, q)
			out = append(out, m.send(name, func(m *model) (any, func(*model)) { return m.report(q, r, events) })...)
		}
	}
	return out
}

// held counts the steps under way that a tick would interrupt: each is a pause
// of its owner and counts as a fault once.
func (m *model) held() int {
	n := 0
	for _, o := range m.queues {
		if o.at.step != "" && !o.at.held {
			n++
		}
	}
	for _, o := range m.racks {
		if len(o.starts) > 0 && !o.held && !o.frozen {
			n++
		}
	}
	return n
}

// hold marks the steps that held counts.
func (m *model) hold() int {
	n := m.held()
	for i := range m.queues {
		m.queues[i].at.held = m.queues[i].at.step != ""
	}
	for i := range m.racks {
		m.racks[i].held = len(m.racks[i].starts) > 0
	}
	return n
}

// tick passes time; owners that are not frozen renew and plan at once.
func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	for _, w := range m.workers {
		w.Advance(m.now)
	}
	for r := range m.racks {
		m.racks[r].slept = m.racks[r].frozen
		if !m.racks[r].frozen {
			m.round(r)
		}
	}
}

// round renews all workers and carries out what is planned.
func (m *model) round(r int) {
	o := &m.racks[r]
	c := m.conditions(r)
	o.state.Tick(m.now, c)
	for _, w := range m.workers {
		request, ok := o.state.Renewal(w.VM.ID, m.now, c)
		if !ok {
			continue
		}
		if o.cut == w.VM.ID {
			o.state.Unanswered(w.VM.ID)
			continue
		}
		report, err := w.Renew(m.now, request)
		if err != nil {
			o.state.Unanswered(w.VM.ID)
			continue
		}
		o.state.Renewed(w.VM.ID, m.now, m.now, request, report, c)
	}
	m.plan(r, c)
}

// plan carries out the planned calls.
func (m *model) plan(r int, c rack.Conditions) {
	o := m.racks[r]
	for _, a := range o.state.Plan(m.now, c) {
		if a.VM.ID == o.cut {
			continue
		}
		status, err := m.worker(a.VM.ID).Control(m.now, string(a.Kind), a.Request)
		if err == nil {
			o.state.Answered(a.VM.ID, status, m.now, c)
		}
		if a.Kind == rack.DoCheckpoint {
			o.state.Checkpointed(a.VM.ID, platform.AttemptRef{Task: a.Request.Task, Attempt: a.Request.Token.Attempt}, err == nil)
		}
	}
}

func (m *model) worker(vm string) *Worker {
	return m.workers[slices.IndexFunc(m.workers, func(w *Worker) bool { return w.VM.ID == vm })]
}

// floatRenewal sends a renewal that the owner gives up and that may still
// arrive.
func (m *model) floatRenewal(r, i int) {
	s := m.racks[r].state
	vm := m.workers[i].VM.ID
	request, _ := s.Renewal(vm, m.now, m.conditions(r))
	s.Unanswered(vm)
	m.faults++
	m.net = append(m.net, message{"renewal of " + vm, request, func(m *model) { _, _ = m.workers[i].Renew(m.now, request) }})
}

// startSteps sends the oldest start: it arrives and is answered, its reply is
// lost, or it is delayed and its reply lost.
func (m *model) startSteps(r int) []step {
	st := m.racks[r].starts[0]
	name := fmt.Sprintf("start %s %d by rack owner %d at %s", st.request.Task, st.request.Token.Attempt, r, st.vm)
	drop := func(m *model) { m.racks[r].starts = slices.Delete(m.racks[r].starts, 0, 1) }
	if m.racks[r].cut == st.vm {
		return []step{{name + " is lost", drop}}
	}
	out := []step{{name, func(m *model) { drop(m); m.arriveStart(r, st, true) }}}
	if m.mayDelay() {
		out = append(out,
			step{name + ", reply lost", func(m *model) { drop(m); m.faults++; m.arriveStart(r, st, false) }},
			step{name + ", delayed", func(m *model) {
				drop(m)
				m.faults++
				m.net = append(m.net, message{name, st.request, func(m *model) { m.arriveStart(r, st, false) }})
			}})
	}
	return out
}

func (m *model) arriveStart(r int, st start, reply bool) {
	w, s := m.worker(st.vm), m.racks[r].state
	ref := platform.AttemptRef{Task: st.request.Task, Attempt: st.request.Token.Attempt}
	status, err := w.Start(m.now, st.request)
	if err == nil {
		m.accept(ref, w)
	}
	switch {
	case !reply:
	case err == nil:
		s.Answered(st.vm, status, m.now, m.conditions(r))
	default:
		s.StartRefused(st.vm, ref)
	}
}

// accept notes a start and holds it against the take-out.
func (m *model) accept(ref platform.AttemptRef, w *Worker) {
	m.accepted[ref]++
	if m.accepted[ref] > 1 {
		m.fault = "an attempt started twice"
	}
	limit := m.outAt.Add(time.Second + modelWindow)
	if w.VM.FailureDomain == "d0" && !m.outAt.IsZero() && m.now.After(limit) {
		m.fault = "late start in a failure domain that is out"
	}
}

// report returns the arrival of the entry that records events.
func (m *model) report(q, r int, events []rack.Event) (any, func(*model)) {
	term := m.queues[q].term
	var records []queue.Record
	for _, e := range events {
		if rec, ok := m.machine.RecordOf(e, settings.DefaultPolicy().Tasks); ok {
			records = append(records, rec)
		}
	}
	return records, func(m *model) {
		m.write(term, records...)
		if m.machine.Term() != term {
			return
		}
		for _, e := range events {
			m.racks[r].state.Acknowledge(e)
		}
	}
}
