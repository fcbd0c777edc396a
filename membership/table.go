package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

const (
	defaultSuspectFor = 3 * time.Second
	deadKept          = 10 * time.Minute // before a dead member is forgotten
	updateRounds      = 12               // messages that carry an update
	maxDeadShare      = 0.5              // of the members that probes alone may declare dead
	othersFactor      = 3                // by which this node waits longer before it probes another's suspect
	deadAfter         = 3                // confirmed silences in a row
	probationBase     = 10 * time.Second // after the first return from the dead
	probationMax      = 5 * time.Minute
	returnsKept       = 15 * time.Minute // without a return, earlier ones are forgotten
)

// Options adjusts a Table; zero values stand for defaults.
type Options struct {
	// SuspectFor is how long a suspicion may be refuted.
	SuspectFor time.Duration
	// Region returns the region of a failure domain; its parent by default.
	Region func(fleet.Path) fleet.Path
}

// Table is one node's view of all members. It has no clock and no goroutines;
// the local time is passed in.
type Table struct {
	self    string
	o       Options
	members map[string]*entry
	rumors  map[string]int // member's id to messages left that carry its update
	asOf    time.Time      // of the newest list applied
	sorted  []Member       // answer of Members, nil when not computed
	ring    []string       // ids of the members that are probed, by failure domain
	turn    int
	cursor  int    // of Sync
	digest  uint64 // 0 when not computed
	changes uint64
}

type entry struct {
	Member
	listed  bool // in the newest list
	leaving bool // so said by the list
	doubted bool // this node probes the suspect until it is live or dead
	silent  int  // confirmed silences in a row seen by this node
	returns int  // from the dead
}

// NewTable returns a table that knows self alone. Self's Incarnation must be
// above that of its earlier processes, such as the start time.
func NewTable(self Update, o Options, now time.Time) *Table {
	if o.SuspectFor <= 0 {
		o.SuspectFor = defaultSuspectFor
	}
	if o.Region == nil {
		o.Region = fleet.Path.Parent
	}
	self.State = Live
	t := &Table{
		self:    self.ID,
		o:       o,
		members: make(map[string]*entry),
		rumors:  make(map[string]int),
	}
	t.members[self.ID] = &entry{Member: member(self, now)}
	t.changed(self.ID)
	return t
}

func member(u Update, now time.Time) Member {
	return Member{
		ID: u.ID, FailureDomain: u.FailureDomain, Control: u.Control,
		State: u.State, Incarnation: u.Incarnation, Since: now,
	}
}

// Self returns this node.
func (t *Table) Self() Member { return t.members[t.self].view() }

// Members returns all known members, sorted by id; dead ones stay for a while.
// The slice is shared and must not be changed.
func (t *Table) Members() []Member {
	if t.sorted != nil {
		return t.sorted
	}
	out := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, e.view())
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	t.sorted = out
	return out
}

// Changes returns a count that grows with each change of any member.
func (t *Table) Changes() uint64 { return t.changes }

// view returns the member with what the list says of it.
func (e *entry) view() Member {
	m := e.Member
	if m.State == Live && e.leaving {
		m.State = Leaving
	}
	return m
}

// comeBack starts a probation that doubles with each return, so that a node
// that keeps vanishing moves no units each time.
func (e *entry) comeBack(now time.Time) {
	if now.Sub(e.Probation) > returnsKept {
		e.returns = 0
	}
	wait := probationMax
	if e.returns < 5 {
		wait = min(wait, probationBase<<e.returns)
	}
	e.returns++
	e.Probation = now.Add(wait)
}

// Leave marks this node as leaving.
func (t *Table) Leave(now time.Time) {
	e := t.members[t.self]
	if e.State == Leaving {
		return
	}
	e.Incarnation++
	t.set(e, Leaving, now)
}

// ApplyList takes over a list of the platform. A list older than the newest one
// is ignored. A member that is no longer listed becomes suspect, so that it may
// show that it lives.
func (t *Table) ApplyList(list platform.VMSnapshot, now time.Time) {
	if list.AsOf.Before(t.asOf) {
		return
	}
	t.asOf = list.AsOf
	listed := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		if vm.Kind == platform.KindEntry && vm.Control != "" {
			listed[vm.ID] = true
			t.applyVM(vm, now)
		}
	}
	for id, e := range t.members {
		if e.listed && !listed[id] {
			e.listed = false
			t.suspect(e, now)
		}
	}
}

func (t *Table) applyVM(vm platform.VM, now time.Time) {
	e, ok := t.members[vm.ID]
	if !ok {
		u := Update{ID: vm.ID, FailureDomain: vm.FailureDomain, Control: vm.Control, State: Live}
		e = &entry{Member: member(u, now)}
		t.members[vm.ID] = e
		t.noteChange()
	}
	e.listed = true
	leaving := vm.State == platform.VMLeaving
	if e.leaving != leaving {
		e.leaving = leaving
		t.noteChange()
	}
}

// Apply takes over the updates of a peer.
func (t *Table) Apply(updates []Update, now time.Time) {
	for _, u := range updates {
		t.applyUpdate(u, now)
	}
}

func (t *Table) applyUpdate(u Update, now time.Time) {
	if u.ID == "" || u.State < Live || u.State > Dead {
		return
	}
	e, ok := t.members[u.ID]
	if !ok {
		if u.State == Dead {
			return
		}
		t.members[u.ID] = &entry{Member: member(u, now)}
		t.changed(u.ID)
		return
	}
	if u.ID == t.self {
		t.refute(e, u, now)
		return
	}
	if u.Incarnation < e.Incarnation || u.Incarnation == e.Incarnation && u.State <= e.State {
		return
	}
	e.Incarnation = u.Incarnation
	if u.Control != "" {
		e.Control, e.FailureDomain = u.Control, u.FailureDomain
	}
	t.set(e, u.State, now)
}

// refute answers a verdict on this node with a higher incarnation, and tells
// the present one again when the verdict was refuted before.
func (t *Table) refute(e *entry, u Update, now time.Time) {
	if u.State < Suspect {
		return
	}
	e.Incarnation = max(e.Incarnation, u.Incarnation+1)
	t.set(e, e.State, now)
}

// Suspect notes that a member did not answer, as confirmed by another one.
func (t *Table) Suspect(id string, now time.Time) {
	e, ok := t.members[id]
	if !ok || id == t.self || e.State == Dead {
		return
	}
	t.suspect(e, now)
	e.doubted = true
	e.silent++
}

func (t *Table) suspect(e *entry, now time.Time) {
	if e.ID == t.self || e.State >= Suspect {
		return
	}
	t.set(e, Suspect, now)
}

// Tick declares suspects dead whose silence this node confirmed itself, and
// forgets old dead ones. A suspect of another node is probed when that node
// leaves the suspicion open.
func (t *Table) Tick(now time.Time) {
	var due []*entry
	for _, e := range t.members {
		if e.State >= Suspect {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range due {
		t.tick(e, now)
	}
}

func (t *Table) tick(e *entry, now time.Time) {
	age := now.Sub(e.Since)
	switch {
	case e.State == Suspect && e.silent >= deadAfter && age >= t.o.SuspectFor && t.mayDie(e):
		t.set(e, Dead, now)
	case e.State == Suspect && age >= othersFactor*t.o.SuspectFor:
		e.doubted = true
	case e.State == Dead && !e.listed && age >= deadKept:
		delete(t.members, e.ID)
		delete(t.rumors, e.ID)
		t.noteChange()
	}
}

// mayDie bounds how many members die without the list saying so: if most seem
// gone, it is more likely that this node is cut off.
func (t *Table) mayDie(e *entry) bool {
	if !e.listed {
		return true
	}
	dead := 0
	for _, o := range t.members {
		if o.State == Dead && o.listed {
			dead++
		}
	}
	return float64(dead+1) <= maxDeadShare*float64(len(t.members))
}

func (t *Table) set(e *entry, s State, now time.Time) {
	if e.State == Dead && s < Suspect {
		e.comeBack(now)
	}
	e.State = s
	e.Since = now
	e.doubted, e.silent = false, 0
	t.changed(e.ID)
}

// changed notes a change that peers should hear of.
func (t *Table) changed(id string) {
	t.rumors[id] = updateRounds
	t.noteChange()
}

func (t *Table) noteChange() {
	t.changes++
	t.sorted = nil
	t.ring = nil
	t.digest = 0
}
