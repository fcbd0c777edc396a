package settings

import (
	"fmt"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// proposal is what the settings would be after an edit.
type proposal struct {
	contents contents
	root     *branch // nil when the document can't be read
	found    finding.List
	replaced []Document
}

// propose returns the result of an edit without changing the machine.
func (m *Machine) propose(e Edit, at platform.Offset) (proposal, error) {
	if e.Branch != "" && m.root.find(e.Branch.Parent()) == nil {
		return proposal{}, fmt.Errorf("no branch %q", e.Branch.Parent())
	}
	switch e.Operation {
	case TakeOut, BringBack:
		return m.proposeMark(e, at)
	case Revert:
		doc, err := m.documentAt(e.Branch, e.Revision)
		if err != nil {
			return proposal{}, err
		}
		doc.File = fmt.Sprintf("%s@%d", doc.File, e.Revision)
		doc.Revision = at
		return m.proposeDocument(doc), nil
	}
	return m.proposeDocument(Document{Branch: e.Branch, File: e.File, Text: e.Text, Revision: at}), nil
}

func (m *Machine) proposeMark(e Edit, at platform.Offset) (proposal, error) {
	if m.root.find(e.Branch) == nil {
		return proposal{}, fmt.Errorf("no branch %q", e.Branch)
	}
	p := proposal{contents: m.contents.clone()}
	p.contents.marks[e.Branch] = mark{Branch: e.Branch, Out: e.Operation == TakeOut, Revision: at}
	p.check(nil)
	return p, nil
}

func (m *Machine) proposeDocument(d Document) proposal {
	p := proposal{contents: m.contents.clone()}
	p.replaced = p.contents.take(d.Branch)
	found := p.contents.put(d)
	if _, ok := p.contents.docs[d.Branch]; !ok {
		p.found = found
		return p
	}
	p.contents.carryMarks(d.Branch, m.root)
	p.check(found)
	return p
}

// check composes the tree and adds what is wrong with it as a whole.
func (p *proposal) check(found finding.List) {
	if size := p.contents.size(); size > maxTreeBytes {
		found.Addf("/", "all documents together have %d bytes, more than %d", size, maxTreeBytes)
	}
	p.root = p.contents.compose()
	p.found = append(found, checkTree(p.root)...).Sort()
}

// Document returns the text of the branch at path as of the revision; use the
// newest one seen for the present. The text is that of the operator's file
// when nothing below was edited separately. Failure domains that exist now are
// out in it when they are out now. The base belongs to the same moment: an edit
// made from the text names it.
func (m *Machine) Document(path fleet.Path, revision platform.Offset) (d Document, base platform.Offset, err error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	d, err = m.documentAt(path, revision)
	return d, m.changed.newest(path), err
}

// Current returns the present text of the branch at path and its base.
func (m *Machine) Current(path fleet.Path) (d Document, base platform.Offset, err error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	d, err = m.documentAt(path, m.seen)
	return d, m.changed.newest(path), err
}

func (m *Machine) documentAt(path fleet.Path, revision platform.Offset) (Document, error) {
	if revision > m.seen {
		return Document{}, fmt.Errorf("revision %d is not known yet", revision)
	}
	c, err := m.history.undo(m.contents, revision)
	if err != nil {
		return Document{}, err
	}
	c.keepMarks(m.root)
	return c.render(path)
}
