// Package route finds the service and the class of a request from the routes
// in the settings.
package route

import (
	"path"
	"sort"
	"strings"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/settings"
)

// Match is the service and the class of a request. The class comes from the
// route alone: an Idempotency-Key is passed on but changes nothing here, since
// only the service knows whether it deduplicates by key. A service that does
// declares its route idempotent.
type Match struct {
	Service int // index in the view's services
	Class   fleet.RequestClass
}

type rule struct {
	prefix, method string
	match          Match
}

// Table is an immutable set of routes, the most specific first.
type Table struct{ rules []rule }

// NewTable returns the table of the given services.
func NewTable(services []settings.Service) *Table {
	t := &Table{}
	for i, s := range services {
		for _, r := range s.Routes {
			t.rules = append(t.rules, rule{r.Prefix, r.Method, Match{Service: i, Class: r.Class}})
		}
	}
	sort.SliceStable(t.rules, func(i, j int) bool { return t.rules[i].precedes(t.rules[j]) })
	return t
}

// precedes orders by length of the prefix; a method goes before any method.
func (r rule) precedes(o rule) bool {
	if len(r.prefix) != len(o.prefix) {
		return len(r.prefix) > len(o.prefix)
	}
	return r.method != "" && o.method == ""
}

// Find returns the route with the longest prefix that has the method.
func (t *Table) Find(method, p string) (Match, bool) {
	for _, r := range t.rules {
		if (r.method == "" || r.method == method) && hasPrefix(p, r.prefix) {
			return r.match, true
		}
	}
	return Match{}, false
}

// hasPrefix compares whole path segments.
func hasPrefix(p, prefix string) bool {
	if !strings.HasPrefix(p, prefix) {
		return false
	}
	return len(p) == len(prefix) || strings.HasSuffix(prefix, "/") || p[len(prefix)] == '/'
}

// IsCanonical reports whether p has no empty, "." or ".." segments, which an
// endpoint could resolve to a path of another class.
func IsCanonical(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "\\\x00") {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}
