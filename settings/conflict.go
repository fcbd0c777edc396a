package settings

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// maxConflicts bounds the conflicts reported for one edit.
const maxConflicts = 20

// staleAt finds what changed since the edit's base in the part that it
// touches: everything at and below the branch, or only the out mark, and
// whether the branch exists at all.
func (r *revisions) staleAt(e Edit) []Conflict {
	var out []Conflict
	for p, own := range r.byBranch {
		for key, at := range own {
			if at > e.Base && e.touches(p, key) {
				out = append(out, Conflict{Branch: p, Key: key, Revision: at})
			}
		}
	}
	if e.Base < r.pruned {
		out = append(out, Conflict{Branch: e.Branch, Key: keyBranches, Revision: r.pruned})
	}
	return sortConflicts(out)
}

func (e Edit) touches(p fleet.Path, key string) bool {
	if p != e.Branch && p.Contains(e.Branch) {
		return key == childKeyPrefix+nextName(p, e.Branch)
	}
	if e.Operation == TakeOut || e.Operation == BringBack {
		return p == e.Branch && key == keyOut
	}
	return e.Branch.Contains(p)
}

// staleAbove finds the inherited fields that the edit changes and that a
// branch above changed since the edit's base.
func (r *revisions) staleAbove(e Edit, changed []string) []Conflict {
	var out []Conflict
	for p := e.Branch; p != ""; {
		p = p.Parent()
		for key, at := range r.byBranch[p] {
			if at > e.Base && overlapsAny(key, changed) {
				out = append(out, Conflict{Branch: p, Key: key, Revision: at})
			}
		}
	}
	return sortConflicts(out)
}

// overlapsAny reports whether key and one of the changed keys concern the same
// inherited field.
func overlapsAny(key string, changed []string) bool {
	a := strings.TrimPrefix(key, keyRemove+" ")
	if !isRemovable(a) {
		return false
	}
	return slices.ContainsFunc(changed, func(c string) bool {
		b := strings.TrimPrefix(c, keyRemove+" ")
		return covers(a, b) || covers(b, a)
	})
}

// changedBelow returns the keys that differ anywhere between two branches.
func changedBelow(before, after *branch) []string {
	seen := map[string]bool{}
	collectChanged(before, after, seen)
	return slices.Sorted(maps.Keys(seen))
}

func collectChanged(before, after *branch, seen map[string]bool) {
	for _, key := range changedKeys(before, after) {
		seen[key] = true
	}
	names := map[string]bool{}
	for _, b := range []*branch{before, after} {
		if b == nil {
			continue
		}
		for name := range b.children {
			names[name] = true
		}
	}
	for name := range names {
		collectChanged(before.child(name), after.child(name), seen)
	}
}

func sortConflicts(list []Conflict) []Conflict {
	slices.SortFunc(list, func(a, b Conflict) int {
		return cmp.Or(
			cmp.Compare(a.Branch, b.Branch),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Revision, b.Revision),
		)
	})
	return list[:min(len(list), maxConflicts)]
}

// explain adds the present values and the authors to the conflicts.
func explain(list []Conflict, root *branch, author func(platform.Offset) (string, string)) []Conflict {
	for i := range list {
		c := &list[i]
		c.Value = root.find(c.Branch).facts()[c.Key]
		c.Author, c.Note = author(c.Revision)
	}
	return list
}
