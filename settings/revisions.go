package settings

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// childKeyPrefix starts the key that tells whether a child exists.
const childKeyPrefix = keyBranches + " "

// maxRemovedKeys bounds the removed keys of one branch whose revision is kept.
const maxRemovedKeys = 256

// revisions holds, for each branch and key, the record that last changed it.
// A removed key keeps its revision as long as there is room; pruned is the
// newest revision that was forgotten.
type revisions struct {
	byBranch map[fleet.Path]map[string]platform.Offset
	pruned   platform.Offset
}

func newRevisions() *revisions {
	return &revisions{byBranch: map[fleet.Path]map[string]platform.Offset{}, pruned: noRevision}
}

// facts returns the text of everything that the branch says, and of nothing
// when there is no branch. A failure domain in service says nothing of it.
func (b *branch) facts() map[string]string {
	if b == nil {
		return nil
	}
	out := make(map[string]string, len(b.own)+len(b.children))
	for key, v := range b.own {
		if key != keyOut || b.isOut() {
			out[key] = v.text
		}
	}
	for name := range b.children {
		out[childKeyPrefix+name] = name
	}
	return out
}

// changedKeys returns the keys whose text differs between two branches.
func changedKeys(before, after *branch) []string {
	old, now := before.facts(), after.facts()
	var out []string
	for key, text := range now {
		if was, ok := old[key]; !ok || was != text {
			out = append(out, key)
		}
	}
	for key := range old {
		if _, ok := now[key]; !ok {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// record notes the changes from one tree to the next.
func (r *revisions) record(before, after *branch, at platform.Offset) {
	if after == nil {
		r.forget(before.path)
		return
	}
	keys := changedKeys(before, after)
	if len(keys) > 0 {
		r.note(after, keys, at)
	}
	for name, child := range after.children {
		r.record(before.child(name), child, at)
	}
	if before == nil {
		return
	}
	for name, child := range before.children {
		if after.children[name] == nil {
			r.record(child, nil, at)
		}
	}
}

func (b *branch) child(name string) *branch {
	if b == nil {
		return nil
	}
	return b.children[name]
}

func (r *revisions) note(b *branch, keys []string, at platform.Offset) {
	own := r.byBranch[b.path]
	if own == nil {
		own = map[string]platform.Offset{}
		r.byBranch[b.path] = own
	}
	for _, key := range keys {
		own[key] = at
	}
	r.prune(own, b.facts())
}

// prune forgets the oldest removed keys beyond the bound.
func (r *revisions) prune(own map[string]platform.Offset, facts map[string]string) {
	var removed []string
	for key := range own {
		if _, ok := facts[key]; !ok {
			removed = append(removed, key)
		}
	}
	if len(removed) <= maxRemovedKeys {
		return
	}
	slices.SortFunc(removed, func(a, b string) int {
		return cmp.Or(cmp.Compare(own[a], own[b]), cmp.Compare(a, b))
	})
	for _, key := range removed[:len(removed)-maxRemovedKeys] {
		r.pruned = max(r.pruned, own[key])
		delete(own, key)
	}
}

// forget drops a removed branch and all below it; its parent keeps the
// revision of the removal.
func (r *revisions) forget(path fleet.Path) {
	maps.DeleteFunc(r.byBranch, func(p fleet.Path, _ map[string]platform.Offset) bool { return path.Contains(p) })
}

// newest returns the newest revision of anything at, below or above path,
// apart from the existence of branches beside it.
func (r *revisions) newest(path fleet.Path) platform.Offset {
	out := r.pruned
	for p, own := range r.byBranch {
		if !path.Contains(p) && !p.Contains(path) {
			continue
		}
		for key, at := range own {
			if path.Contains(p) || concerns(p, key, path) {
				out = max(out, at)
			}
		}
	}
	return out
}

// concerns reports whether key of the ancestor above has to do with path.
func concerns(above fleet.Path, key string, path fleet.Path) bool {
	name, isChild := strings.CutPrefix(key, childKeyPrefix)
	return !isChild || name == nextName(above, path)
}
