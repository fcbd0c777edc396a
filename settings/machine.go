package settings

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/stream"
)

var _ stream.Machine = (*Machine)(nil)

// Machine interprets the settings stream. Of edits that touch the same, the
// first in the order of the log wins and the later ones are lost; an edit
// whose result would not pass the check is invalid; neither changes anything.
// Its methods may be called from several goroutines.
type Machine struct {
	view atomic.Pointer[View]

	mu       sync.RWMutex
	seen     platform.Offset // newest record interpreted
	revision platform.Offset // newest record applied
	contents contents
	root     *branch
	changed  *revisions
	history  *history
}

// NewMachine returns a machine that has seen no record.
func NewMachine() *Machine {
	m := &Machine{
		seen:     noRevision,
		revision: noRevision,
		contents: newContents(),
		changed:  newRevisions(),
		history:  newHistory(),
	}
	m.publish(m.contents.compose())
	return m
}

// publish makes root the tree in force.
func (m *Machine) publish(root *branch) {
	m.root = root
	m.view.Store(resolve(root, m.revision))
}

// View returns the settings in force.
func (m *Machine) View() *View { return m.view.Load() }

// Apply interprets one record. A record at or before the newest one seen is
// ignored.
func (m *Machine) Apply(r platform.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Offset <= m.seen {
		return
	}
	m.seen = r.Offset
	c := Change{Revision: r.Offset, ID: r.ID, Time: r.Time.UTC()}
	e, err := DecodeEdit(r.Data)
	if err != nil {
		m.history.add(c.invalid(err.Error(), nil))
		return
	}
	c, p := m.interpret(c.of(e), e)
	if c.Result == Applied {
		c.Replaced = p.replaced
		m.apply(p, c.Revision)
	}
	m.history.add(c)
}

// Trial returns what would become of an edit if it were the next record, and
// changes nothing. An edit that is lost now stays lost.
func (m *Machine) Trial(e Edit) Change {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c, _ := m.interpret(Change{Revision: m.seen + 1}.of(e), e)
	c.Revision = noRevision
	return c
}

func (c Change) of(e Edit) Change {
	c.Branch, c.Base, c.Operation = e.Branch, e.Base, e.Operation
	c.Author, c.Note = e.Author, e.Note
	return c
}

func (c Change) invalid(detail string, found finding.List) Change {
	c.Result = Invalid
	c.Detail = detail
	c.Findings = found[:min(len(found), maxHistoryFindings)]
	return c
}

func (c Change) lost(conflicts []Conflict) Change {
	c.Result = Lost
	c.Detail = "what it touches was changed since its base"
	c.Conflicts = conflicts
	return c
}

// interpret decides on one edit; the proposal is what to apply.
func (m *Machine) interpret(c Change, e Edit) (Change, proposal) {
	if err := e.Validate(); err != nil {
		return c.invalid(err.Error(), nil), proposal{}
	}
	if e.Base >= c.Revision {
		return c.invalid(fmt.Sprintf("base %d is not older than the edit", e.Base), nil), proposal{}
	}
	if stale := m.changed.staleAt(e); len(stale) > 0 {
		return c.lost(m.explain(stale)), proposal{}
	}
	p, err := m.propose(e, c.Revision)
	if err != nil {
		return c.invalid(err.Error(), nil), proposal{}
	}
	if stale := m.staleAbove(e, p); len(stale) > 0 {
		return c.lost(m.explain(stale)), proposal{}
	}
	if len(p.found) > 0 {
		return c.invalid("the tree would not pass the check", p.found), proposal{}
	}
	c.Result = Applied
	return c, p
}

func (m *Machine) staleAbove(e Edit, p proposal) []Conflict {
	if p.root == nil {
		return nil
	}
	changed := changedBelow(m.root.find(e.Branch), p.root.find(e.Branch))
	return m.changed.staleAbove(e, changed)
}

func (m *Machine) explain(list []Conflict) []Conflict {
	return explain(list, m.root, m.history.author)
}

func (m *Machine) apply(p proposal, at platform.Offset) {
	m.changed.record(m.root, p.root, at)
	m.contents = p.contents
	m.revision = at
	m.publish(p.root)
}

// Outcome returns what became of the record with the id; ok is false when it
// was not seen or is no longer kept.
func (m *Machine) Outcome(id string) (c Change, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.find(id)
}

// BranchRevision returns the revision to name as the base of an edit of path.
func (m *Machine) BranchRevision(path fleet.Path) platform.Offset {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed.newest(path)
}

// History returns the newest n changes, the newest first.
func (m *Machine) History(n int) []Change {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.newest(n)
}

// Effective returns what is in force at path with its provenance.
func (m *Machine) Effective(path fleet.Path) ([]Effective, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return effectiveAt(m.root, path)
}
