package settings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Effective is one value in force at a branch and where it comes from.
type Effective struct {
	Key      string          `json:"key"`
	Value    string          `json:"value"`
	Default  bool            `json:"default"` // no branch sets it
	Branch   fleet.Path      `json:"branch"`
	File     string          `json:"file,omitempty"`
	Line     int             `json:"line,omitempty"`
	Column   int             `json:"column,omitempty"`
	Revision platform.Offset `json:"revision"` // record that set it; -1 for none
}

// String returns a line such as "weight = 2 (zavod/runs, tree.yaml:12)".
func (e Effective) String() string {
	if e.Default {
		return fmt.Sprintf("%s = %s (default)", e.Key, e.Value)
	}
	place := string(e.Branch)
	if place == "" {
		place = "/"
	}
	if e.Line > 0 {
		return fmt.Sprintf("%s = %s (%s, %s:%d)", e.Key, e.Value, place, e.File, e.Line)
	}
	return fmt.Sprintf("%s = %s (%s, revision %d)", e.Key, e.Value, place, e.Revision)
}

// effectiveAt lists the branch's own unshared values, the inherited ones and
// the defaults, in order of key.
func effectiveAt(root *branch, path fleet.Path) ([]Effective, bool) {
	s := scope{}.below(root)
	b := root
	for b.path != path {
		b = b.children[nextName(b.path, path)]
		if b == nil {
			return nil, false
		}
		s = s.below(b)
	}
	all := maps.Clone(s)
	for _, key := range []string{keyKind, keyOut, keyHosts} {
		if v, ok := b.own[key]; ok {
			all[key] = source{value: v, branch: b.path}
		}
	}
	out := defaultsFor(b.kind(), all)
	for key, src := range all {
		out = append(out, src.effective(key))
	}
	slices.SortFunc(out, func(a, b Effective) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out, true
}

func (s source) effective(key string) Effective {
	return Effective{
		Key:      key,
		Value:    s.text,
		Branch:   s.branch,
		File:     s.at.file,
		Line:     s.at.line,
		Column:   s.at.column,
		Revision: s.at.revision,
	}
}

// defaultsFor lists the defaults of the fields that may be set on the kind
// and that no branch sets.
func defaultsFor(kind Kind, set scope) []Effective {
	var out []Effective
	for _, f := range schema {
		if _, ok := set[f.key]; ok || f.text == nil || !slices.Contains(f.on, kind) {
			continue
		}
		out = append(out, Effective{Key: f.key, Value: f.text(defaultValues()), Default: true, Revision: noRevision})
	}
	return out
}
