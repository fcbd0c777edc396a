package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// naive interprets edits by keeping every state and comparing whole states.
type naive struct {
	states    []flat            // of the revisions below, the newest last
	revisions []platform.Offset // applied
}

func newNaive() *naive {
	empty := flat{facts: map[fact]string{}, text: map[fleet.Path]string{}}
	return &naive{states: []flat{empty}, revisions: []platform.Offset{noRevision}}
}

func (n *naive) now() flat { return n.states[len(n.states)-1] }

// at returns the state as of a revision.
func (n *naive) at(revision platform.Offset) flat {
	i := len(n.revisions) - 1
	for n.revisions[i] > revision {
		i--
	}
	return n.states[i]
}

func differing(a, b flat) map[fact]bool {
	out := map[fact]bool{}
	for k, v := range a.facts {
		if w, ok := b.facts[k]; !ok || w != v {
			out[k] = true
		}
	}
	for k := range b.facts {
		if _, ok := a.facts[k]; !ok {
			out[k] = true
		}
	}
	return out
}

// touchedSince returns all facts that some later revision changed.
func (n *naive) touchedSince(base platform.Offset) map[fact]bool {
	out := map[fact]bool{}
	for i := 1; i < len(n.states); i++ {
		if n.revisions[i] > base {
			maps.Copy(out, differing(n.states[i-1], n.states[i]))
		}
	}
	return out
}

// interpret returns the result of an edit; doc is the document of a replace.
func (n *naive) interpret(e Edit, doc flat, at platform.Offset) Result {
	touched := n.touchedSince(e.Base)
	isMark := e.Operation == TakeOut || e.Operation == BringBack
	for f := range touched {
		onTheWay := f.path != e.Branch && f.path.Contains(e.Branch) && f.key == childKeyPrefix+nextName(f.path, e.Branch)
		within := e.Branch.Contains(f.path) && (!isMark || f == fact{e.Branch, keyOut})
		if onTheWay || within {
			return Lost
		}
	}
	if e.Branch != "" && !n.now().has(e.Branch.Parent()) {
		return Invalid
	}
	next, ok := n.next(e, doc)
	if !ok {
		return Invalid
	}
	changed := map[string]bool{}
	for f := range differing(n.now(), next) {
		if e.Branch.Contains(f.path) {
			changed[strings.TrimPrefix(f.key, keyRemove+" ")] = true
		}
	}
	for f := range touched {
		key := strings.TrimPrefix(f.key, keyRemove+" ")
		if f.path != e.Branch && f.path.Contains(e.Branch) && strings.HasPrefix(key, "policy.") && changed[key] {
			return Lost
		}
	}
	if next.bad || !next.isValid() {
		return Invalid
	}
	n.states = append(n.states, next)
	n.revisions = append(n.revisions, at)
	return Applied
}

// next returns the state after the edit.
func (n *naive) next(e Edit, doc flat) (flat, bool) {
	old := n.now()
	out := flat{facts: maps.Clone(old.facts), text: maps.Clone(old.text)}
	if e.Operation == TakeOut || e.Operation == BringBack {
		if !old.has(e.Branch) || universeKinds[e.Branch] != KindFailureDomain {
			return out, false
		}
		delete(out.facts, fact{e.Branch, keyOut})
		if e.Operation == TakeOut {
			out.facts[fact{e.Branch, keyOut}] = "true"
		}
		return out, true
	}
	if e.Operation == Revert {
		former := n.at(e.Revision)
		if !former.has(e.Branch) {
			return out, false
		}
		doc = former.below(e.Branch)
		for p, kind := range universeKinds {
			if kind == KindFailureDomain && old.has(p) {
				doc.text[p] = old.facts[fact{p, keyOut}]
			}
		}
	}
	out.drop(e.Branch)
	if e.Branch != "" {
		out.facts[fact{e.Branch.Parent(), childKeyPrefix + e.Branch.Name()}] = e.Branch.Name()
	}
	for f, text := range doc.facts {
		if text != "0" && f.key != keyOut {
			out.facts[f] = text
		}
	}
	out.bad = doc.bad
	out.carryOut(old, doc, e.Branch)
	return out, true
}

// below returns the part of the state at and below path.
func (f flat) below(path fleet.Path) flat {
	out := flat{facts: map[fact]string{}, text: map[fleet.Path]string{}}
	for k, v := range f.facts {
		if path.Contains(k.path) {
			out.facts[k] = v
		}
	}
	for p, v := range f.text {
		if path.Contains(p) {
			out.text[p] = v
		}
	}
	return out
}

func (f flat) drop(path fleet.Path) {
	maps.DeleteFunc(f.facts, func(k fact, _ string) bool { return path.Contains(k.path) })
	maps.DeleteFunc(f.text, func(p fleet.Path, _ string) bool { return path.Contains(p) })
}

// carryOut applies the rule that a failure domain stays out unless the new
// document says otherwise.
func (f flat) carryOut(old, doc flat, branch fleet.Path) {
	for p, kind := range universeKinds {
		if kind != KindFailureDomain || !branch.Contains(p) || !f.has(p) {
			continue
		}
		if doc.text[p] != "" {
			f.text[p] = doc.text[p]
		}
		wasOut := old.has(p) && old.facts[fact{p, keyOut}] == "true"
		if doc.text[p] == "true" || (doc.text[p] == "" && wasOut) {
			f.facts[fact{p, keyOut}] = "true"
		}
	}
}

// isValid reports whether every removal finds something to remove.
func (f flat) isValid() bool {
	for k := range f.facts {
		if k.key != removeKey {
			continue
		}
		p := k.path
		for {
			if p == "" {
				return false
			}
			p = p.Parent()
			if _, ok := f.facts[fact{p, attemptsKey}]; ok {
				break
			}
			if _, ok := f.facts[fact{p, removeKey}]; ok {
				return false
			}
		}
	}
	return true
}

// flatten returns the facts of a machine's tree.
func flatten(root *branch) map[fact]string {
	out := map[fact]string{}
	root.walk(func(b *branch) {
		for key, text := range b.facts() {
			out[fact{b.path, key}] = text
		}
	})
	return out
}

// paths returns all paths of the universe in order.
func paths() []fleet.Path {
	return append([]fleet.Path{""}, slices.Sorted(maps.Keys(universeKinds))...)
}
