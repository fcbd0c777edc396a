package settings

import (
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Tree is a checked settings tree with its effective View. It is immutable.
type Tree struct {
	root *branch
	view *View
}

// Check returns everything that is wrong with a whole tree in one document.
func Check(file string, data []byte) finding.List {
	_, found := parseTree(file, data)
	return found
}

// CheckBranch returns what is wrong with the document of one branch by itself;
// what depends on the branches above is found when the edit is interpreted.
func CheckBranch(path fleet.Path, file string, data []byte) finding.List {
	_, found := readDocument(Document{Branch: path, File: file, Text: string(data), Revision: noRevision})
	return found.Sort()
}

// Build returns the tree that one document describes. The error is a
// finding.List with all that is wrong.
func Build(file string, data []byte) (*Tree, error) {
	root, found := parseTree(file, data)
	if err := found.Err(); err != nil {
		return nil, err
	}
	return &Tree{root: root, view: resolve(root, noRevision)}, nil
}

// noRevision is the revision of a tree that came from no record.
const noRevision platform.Offset = -1

func parseTree(file string, data []byte) (*branch, finding.List) {
	root, found := readDocument(Document{File: file, Text: string(data), Revision: noRevision})
	if root == nil {
		return nil, found
	}
	return root, append(found, checkTree(root)...).Sort()
}

// View returns the effective settings.
func (t *Tree) View() *View { return t.view }

// Effective returns what is in force at path with its provenance; ok is false
// when no branch stands there.
func (t *Tree) Effective(path fleet.Path) (out []Effective, ok bool) {
	return effectiveAt(t.root, path)
}

// Has reports whether a branch stands at path.
func (t *Tree) Has(path fleet.Path) bool { return t.root.find(path) != nil }
