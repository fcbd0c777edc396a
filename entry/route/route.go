// Package route finds the service and the class of a request from the routes
// in the settings.
package route

import (
	"net"
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
	prefix, method string // method may be empty for any
	match          Match
}

// Table is an immutable set of routes.
type Table struct{ byHost map[string][]rule } // the most specific first

// NewTable returns the table of the given services.
func NewTable(services []settings.Service) *Table {
	t := &Table{byHost: make(map[string][]rule)}
	for i, s := range services {
		hosts := s.Hosts
		if len(hosts) == 0 {
			hosts = []string{""}
		}
		for _, host := range hosts {
			for _, r := range s.Routes {
				t.byHost[host] = append(t.byHost[host], rule{r.Prefix, r.Method, Match{Service: i, Class: r.Class}})
			}
		}
	}
	for _, rules := range t.byHost {
		sort.SliceStable(rules, func(i, j int) bool { return rules[i].precedes(rules[j]) })
	}
	return t
}

// precedes orders by length of the prefix; a method goes before any method.
func (r rule) precedes(o rule) bool {
	if len(r.prefix) != len(o.prefix) {
		return len(r.prefix) > len(o.prefix)
	}
	return r.method != "" && o.method == ""
}

// Find returns the route with the longest prefix that has the method, among
// the services that name the host, or those without hosts when none does. host
// may carry a port.
func (t *Table) Find(host, method, p string) (Match, bool) {
	rules, found := t.byHost[hostName(host)]
	if !found {
		rules = t.byHost[""]
	}
	for _, r := range rules {
		if (r.method == "" || r.method == method) && hasPrefix(p, r.prefix) {
			return r.match, true
		}
	}
	return Match{}, false
}

// hostName returns host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
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
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "\\\x00") || strings.Contains(p, "//") {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}
