package settings

import (
	"cmp"
	"maps"
	"slices"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// mark overrides the out value in the document of a failure domain.
type mark struct {
	Branch   fleet.Path      `cbor:"1,keyasint"`
	Out      bool            `cbor:"2,keyasint"`
	Revision platform.Offset `cbor:"3,keyasint"`
}

// loaded is a document and the branch that it describes.
type loaded struct {
	doc  Document
	tree *branch
}

// contents is what edits change: the documents in force and the marks. The
// document nearest above a branch describes it; one further down hides the
// part of those above.
type contents struct {
	docs  map[fleet.Path]loaded
	marks map[fleet.Path]mark
}

func newContents() contents {
	return contents{docs: map[fleet.Path]loaded{}, marks: map[fleet.Path]mark{}}
}

func (c contents) clone() contents {
	return contents{docs: maps.Clone(c.docs), marks: maps.Clone(c.marks)}
}

// take removes and returns the documents at and below path, in order.
func (c contents) take(path fleet.Path) []Document {
	var out []Document
	for _, p := range slices.Sorted(maps.Keys(c.docs)) {
		if path.Contains(p) {
			out = append(out, c.docs[p].doc)
			delete(c.docs, p)
		}
	}
	return out
}

// put adds a document; the findings are those of its text.
func (c contents) put(d Document) finding.List {
	tree, found := readDocument(d)
	if tree != nil {
		c.docs[d.Branch] = loaded{doc: d, tree: tree}
	}
	return found
}

// compose returns the tree that the contents describe. Documents and marks
// whose place is missing are left out.
func (c contents) compose() *branch {
	root := newBranch("", nil, position{})
	for _, p := range slices.Sorted(maps.Keys(c.docs)) {
		tree := c.docs[p].tree.clone()
		if p == "" {
			root = tree
			continue
		}
		if parent := root.find(p.Parent()); parent != nil {
			parent.children[p.Name()] = tree
		}
	}
	for _, m := range c.marks {
		if b := root.find(m.Branch); b != nil {
			b.set(keyOut, value{parsed: m.Out, text: boolText(m.Out), at: position{revision: m.Revision}})
		}
	}
	return root
}

func boolText(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// carryMarks adapts the marks at and below path to a new document there: a
// failure domain stays out unless the document says otherwise.
func (c contents) carryMarks(path fleet.Path, before *branch) {
	old := map[fleet.Path]mark{}
	if b := before.find(path); b != nil {
		b.walk(func(b *branch) {
			if b.isOut() {
				old[b.path] = mark{Branch: b.path, Out: true, Revision: b.own[keyOut].at.revision}
			}
		})
	}
	maps.DeleteFunc(c.marks, func(p fleet.Path, _ mark) bool { return path.Contains(p) })
	c.docs[path].tree.walk(func(b *branch) {
		m, wasOut := old[b.path]
		if wasOut && b.kind() == KindFailureDomain && !b.has(keyOut) {
			c.marks[b.path] = m
		}
	})
}

// keepMarks gives the failure domains of former contents the marks that they
// have in the present tree.
func (c contents) keepMarks(present *branch) {
	c.compose().walk(func(b *branch) {
		now := present.find(b.path)
		if b.kind() != KindFailureDomain || now == nil || now.kind() != KindFailureDomain {
			return
		}
		if now.isOut() != b.isOut() {
			c.marks[b.path] = mark{Branch: b.path, Out: now.isOut(), Revision: now.place(keyOut).revision}
		}
	})
}

// size returns the bytes of all documents.
func (c contents) size() int {
	n := 0
	for _, l := range c.docs {
		n += len(l.doc.Text)
	}
	return n
}

// documents returns all documents in order of branch.
func (c contents) documents() []Document {
	out := make([]Document, 0, len(c.docs))
	for _, l := range c.docs {
		out = append(out, l.doc)
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Compare(a.Branch, b.Branch) })
	return out
}

func (c contents) markList() []mark {
	out := slices.Collect(maps.Values(c.marks))
	slices.SortFunc(out, func(a, b mark) int { return cmp.Compare(a.Branch, b.Branch) })
	return out
}
