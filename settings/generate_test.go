package settings

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
)

// The universe of the generated trees: the children of each path.
var universe = map[fleet.Path][]string{"": {"z", "y"}, "z": {"r", "t"}, "z/r": {"a", "b"}}

var universeKinds = map[fleet.Path]Kind{
	"z": KindOrganisation, "y": KindOrganisation, "z/r": KindRegion,
	"z/r/a": KindFailureDomain, "z/r/b": KindFailureDomain, "z/t": KindTeam,
}

const (
	attemptsKey = "policy.requests.max-attempts"
	queueKey    = "policy.requests.queue-limit"
	removeKey   = keyRemove + " " + attemptsKey
)

// fact is one thing that a tree says.
type fact struct {
	path fleet.Path
	key  string
}

// flat is a whole tree, or the part that a document describes, as facts.
type flat struct {
	facts map[fact]string
	text  map[fleet.Path]string // out as the document says it
	bad   bool                  // holds a value out of range
}

// genFlat draws a document of the branch at path.
func genFlat(t *rapid.T, path fleet.Path) flat {
	f := flat{facts: map[fact]string{}, text: map[fleet.Path]string{}}
	genBranch(t, path, &f)
	return f
}

func genBranch(t *rapid.T, path fleet.Path, f *flat) {
	if kind := universeKinds[path]; kind != KindNone {
		f.facts[fact{path, keyKind}] = string(kind)
	}
	for _, key := range []string{attemptsKey, queueKey} {
		switch n := rapid.IntRange(-3, 3).Draw(t, key); {
		case n > 0:
			f.facts[fact{path, key}] = fmt.Sprint(n)
		case n == 0 && rapid.IntRange(0, 9).Draw(t, "bad") == 0:
			f.facts[fact{path, key}] = "0"
			f.bad = true
		}
	}
	if rapid.IntRange(0, 7).Draw(t, "remove") == 0 {
		f.facts[fact{path, removeKey}] = attemptsKey
	}
	if universeKinds[path] == KindFailureDomain {
		if out := rapid.SampledFrom([]string{"", "", "true", "false"}).Draw(t, "out"); out != "" {
			f.text[path] = out
		}
	}
	if universeKinds[path] == KindTeam {
		f.facts[fact{path, "quota.milli-cpu"}] = "1"
		f.facts[fact{path, "quota.memory-mb"}] = "1"
	}
	for _, name := range universe[path] {
		if rapid.IntRange(0, 3).Draw(t, name) > 0 {
			f.facts[fact{path, childKeyPrefix + name}] = name
			genBranch(t, path.Join(name), f)
		}
	}
}

// yaml writes the branch at path as a flow mapping.
func (f flat) yaml(path fleet.Path) string {
	var parts []string
	if kind, ok := f.facts[fact{path, keyKind}]; ok {
		parts = append(parts, "kind: "+kind)
	}
	if _, ok := f.facts[fact{path, removeKey}]; ok {
		parts = append(parts, "remove: ["+attemptsKey+"]")
	}
	if inner := f.group(path, attemptsKey, queueKey); inner != "" {
		parts = append(parts, "policy: {requests: "+inner+"}")
	}
	if inner := f.group(path, "quota.milli-cpu", "quota.memory-mb"); inner != "" {
		parts = append(parts, "quota: "+inner)
	}
	if out := f.text[path]; out != "" {
		parts = append(parts, "out: "+out)
	}
	var children []string
	for _, name := range universe[path] {
		if _, ok := f.facts[fact{path, childKeyPrefix + name}]; ok {
			children = append(children, name+": "+f.yaml(path.Join(name)))
		}
	}
	if len(children) > 0 {
		parts = append(parts, "branches: {"+strings.Join(children, ", ")+"}")
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// group writes the last parts of the keys that the branch sets.
func (f flat) group(path fleet.Path, keys ...string) string {
	var inner []string
	for _, key := range keys {
		if text, ok := f.facts[fact{path, key}]; ok {
			inner = append(inner, key[strings.LastIndex(key, ".")+1:]+": "+text)
		}
	}
	if len(inner) == 0 {
		return ""
	}
	return "{" + strings.Join(inner, ", ") + "}"
}

func (f flat) has(path fleet.Path) bool {
	if path == "" {
		return true
	}
	_, ok := f.facts[fact{path.Parent(), childKeyPrefix + path.Name()}]
	return ok
}
