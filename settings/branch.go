package settings

import (
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/fleet"
)

// branch is one branch of the tree with what it sets itself. Documents that
// were read are never changed; a tree is composed of copies.
type branch struct {
	path     fleet.Path
	at       position
	node     *yaml.Node
	own      map[string]value
	children map[string]*branch
}

// value is one value that a branch sets. Its key is that of the schema,
// "routes METHOD PREFIX" for a route or "remove KEY" for a removal.
type value struct {
	parsed any
	text   string // canonical, so that equal values have equal text
	at     position
}

func newBranch(path fleet.Path, n *yaml.Node, at position) *branch {
	return &branch{path: path, at: at, node: n, own: map[string]value{}, children: map[string]*branch{}}
}

func (b *branch) kind() Kind {
	if b.path == "" {
		return kindRoot
	}
	if v, ok := b.own[keyKind]; ok {
		return v.parsed.(Kind)
	}
	return KindNone
}

// has reports whether the branch itself sets key.
func (b *branch) has(key string) bool {
	_, ok := b.own[key]
	return ok
}

// isOut reports whether the branch itself carries the mark.
func (b *branch) isOut() bool {
	v, ok := b.own[keyOut]
	return ok && v.parsed.(bool)
}

// names returns the names of the children in order.
func (b *branch) names() []string { return slices.Sorted(maps.Keys(b.children)) }

// keys returns the keys of what the branch sets, in order.
func (b *branch) keys() []string { return slices.Sorted(maps.Keys(b.own)) }

// find returns the branch at path, or nil.
func (b *branch) find(path fleet.Path) *branch {
	for b != nil && b.path != path {
		b = b.children[nextName(b.path, path)]
	}
	return b
}

// walk calls visit for b and all below it, parents first, in order of name.
func (b *branch) walk(visit func(*branch)) {
	visit(b)
	for _, name := range b.names() {
		b.children[name].walk(visit)
	}
}

// clone copies the branches; the values are shared until one is replaced.
func (b *branch) clone() *branch {
	c := *b
	c.children = make(map[string]*branch, len(b.children))
	for name, child := range b.children {
		c.children[name] = child.clone()
	}
	return &c
}

// set replaces one value without touching the branch that b was copied from.
func (b *branch) set(key string, v value) {
	b.own = maps.Clone(b.own)
	b.own[key] = v
}

// nextName returns the name that follows above on the way down to path; above
// must be a proper ancestor.
func nextName(above, path fleet.Path) string {
	rest := string(path)
	if above != "" {
		if len(rest) <= len(above) {
			return ""
		}
		rest = rest[len(above)+1:]
	}
	for i := range rest {
		if rest[i] == '/' {
			return rest[:i]
		}
	}
	return rest
}
