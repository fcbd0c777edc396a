package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

const (
	snapshotVersion  = 1
	maxSnapshotBytes = 64 << 20 // decompressed
)

// snapshot is the state of a machine.
type snapshot struct {
	Version   int               `cbor:"1,keyasint"`
	Seen      platform.Offset   `cbor:"2,keyasint"`
	Revision  platform.Offset   `cbor:"3,keyasint"`
	Documents []Document        `cbor:"4,keyasint"`
	Marks     []mark            `cbor:"5,keyasint"`
	Revisions []branchRevisions `cbor:"6,keyasint"`
	Pruned    platform.Offset   `cbor:"7,keyasint"`
	Changes   []Change          `cbor:"8,keyasint"`
	Trimmed   platform.Offset   `cbor:"9,keyasint"`
}

// branchRevisions are the revisions of the keys of one branch.
type branchRevisions struct {
	Branch fleet.Path                 `cbor:"1,keyasint"`
	Keys   map[string]platform.Offset `cbor:"2,keyasint"`
}

// snapshotEncoding writes equal states as equal bytes.
var snapshotEncoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, err := snapshotEncoding.Marshal(snapshot{
		Version:   snapshotVersion,
		Seen:      m.seen,
		Revision:  m.revision,
		Documents: m.contents.documents(),
		Marks:     m.contents.markList(),
		Revisions: m.changed.list(),
		Pruned:    m.changed.pruned,
		Changes:   m.history.changes,
		Trimmed:   m.history.trimmed,
	})
	if err != nil {
		return nil, fmt.Errorf("settings snapshot: %w", err)
	}
	return deflate(data)
}

// Restore replaces the state by that of a snapshot; on an error nothing is
// changed.
func (m *Machine) Restore(data []byte) error {
	raw, err := inflate(data, maxSnapshotBytes)
	if err != nil {
		return fmt.Errorf("settings snapshot: %w", err)
	}
	var s snapshot
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("settings snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return fmt.Errorf("settings snapshot: version %d is unknown", s.Version)
	}
	c, err := s.contents()
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen, m.revision, m.contents = s.Seen, s.Revision, c
	m.changed = s.revisions()
	m.history = s.history()
	m.publish(c.compose())
	return nil
}

// contents reads the documents again. What was accepted is not checked anew:
// a release with narrower bounds leaves out the values that it can't read, and
// does not refuse the tree.
func (s snapshot) contents() (contents, error) {
	c := newContents()
	for _, d := range s.Documents {
		found := c.put(d)
		if _, ok := c.docs[d.Branch]; !ok {
			return contents{}, fmt.Errorf("settings snapshot: branch %q: %w", d.Branch, found)
		}
	}
	for _, m := range s.Marks {
		c.marks[m.Branch] = m
	}
	return c, nil
}

func (s snapshot) revisions() *revisions {
	r := newRevisions()
	r.pruned = s.Pruned
	for _, b := range s.Revisions {
		r.byBranch[b.Branch] = b.Keys
	}
	return r
}

func (s snapshot) history() *history {
	h := &history{changes: s.Changes, trimmed: s.Trimmed}
	for _, c := range s.Changes {
		h.bytes += c.replacedBytes()
	}
	return h
}

func (r *revisions) list() []branchRevisions {
	out := make([]branchRevisions, 0, len(r.byBranch))
	for _, p := range slices.Sorted(maps.Keys(r.byBranch)) {
		out = append(out, branchRevisions{Branch: p, Keys: r.byBranch[p]})
	}
	slices.SortFunc(out, func(a, b branchRevisions) int { return cmp.Compare(a.Branch, b.Branch) })
	return out
}
