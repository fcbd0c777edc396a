package settings

import (
	"slices"
	"strings"
)

// Key describes one key of a branch for operators.
type Key struct {
	Name    string `json:"name"`
	Kinds      string `json:"on"` // kinds of branch that may set it
	Allowed string `json:"allowed"`
	Default string `json:"default,omitempty"`
}

// Keys lists all keys of a branch in order of name.
func Keys() []Key {
	out := []Key{
		{Name: keyBranches, Kinds: kindNames(onAny), Allowed: "mapping of name to branch"},
		{Name: keyRemove, Kinds: kindNames(onAny), Allowed: "list of inherited keys, groups, routes or routes METHOD PREFIX"},
		{Name: keyRoutes, Kinds: kindNames(onService), Allowed: "list of prefix, method, class; merged by method and prefix"},
		{Name: keyHosts, Kinds: kindNames(onServiceOnly), Allowed: "list of names as in a Host header"},
	}
	for _, f := range schema {
		k := Key{Name: f.key, Kinds: kindNames(f.on), Allowed: f.bound}
		if f.text != nil {
			k.Default = f.text(defaultValues())
		}
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b Key) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func kindNames(kinds []Kind) string {
	if len(kinds) == len(onAny) {
		return "any"
	}
	var names []string
	for _, k := range kinds {
		if k != KindNone {
			names = append(names, string(k))
		}
	}
	return strings.Join(names, ", ")
}
