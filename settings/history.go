package settings

import (
	"fmt"
	"slices"

	"github.com/peridotlock/peridotlock/platform"
)

// Bounds of the history.
const (
	maxHistoryChanges  = 256
	maxHistoryBytes    = 2 << 20 // of replaced documents
	maxHistoryFindings = 50
)

// history holds the newest changes, the oldest first. Documents as they were
// can be had back to the revision trimmed.
type history struct {
	changes []Change
	bytes   int
	trimmed platform.Offset
}

func newHistory() *history { return &history{trimmed: noRevision} }

func (c Change) replacedBytes() int {
	n := 0
	for _, d := range c.Replaced {
		n += len(d.Text)
	}
	return n
}

func (h *history) add(c Change) {
	h.changes = append(h.changes, c)
	h.bytes += c.replacedBytes()
	for len(h.changes) > maxHistoryChanges || h.bytes > maxHistoryBytes {
		h.bytes -= h.changes[0].replacedBytes()
		h.trimmed = h.changes[0].Revision
		h.changes[0] = Change{}
		h.changes = h.changes[1:]
	}
}

func (h *history) find(id string) (Change, bool) {
	for _, c := range slices.Backward(h.changes) {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// author returns who made the change with the revision, and the note.
func (h *history) author(revision platform.Offset) (author, note string) {
	for _, c := range slices.Backward(h.changes) {
		if c.Revision == revision {
			return c.Author, c.Note
		}
	}
	return "", ""
}

func (h *history) newest(n int) []Change {
	n = max(0, min(n, len(h.changes)))
	out := slices.Clone(h.changes[len(h.changes)-n:])
	slices.Reverse(out)
	return out
}

// undo returns the contents as of the revision, without the marks of failure
// domains that were not there. The given contents are not changed.
func (h *history) undo(c contents, revision platform.Offset) (contents, error) {
	if revision < h.trimmed {
		return contents{}, fmt.Errorf("revision %d is older than %d, the oldest that is kept", revision, h.trimmed)
	}
	out := c.clone()
	for _, change := range slices.Backward(h.changes) {
		if change.Revision <= revision {
			return out, nil
		}
		if change.Result == Applied && change.replacesDocument() {
			out.take(change.Branch)
			for _, d := range change.Replaced {
				out.put(d)
			}
		}
	}
	return out, nil
}

func (c Change) replacesDocument() bool { return c.Operation == Replace || c.Operation == Revert }
