package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// source is a value and the branch that sets it.
type source struct {
	value
	branch fleet.Path
}

// scope is what is in force at a branch: its own values over the inherited.
type scope map[string]source

// below returns the scope of b, whose parent has the scope s. Removals apply
// to what is inherited, so a branch may remove a group and set a part of it.
func (s scope) below(b *branch) scope {
	if len(b.own) == 0 {
		return s
	}
	out := maps.Clone(s)
	for key, v := range b.own {
		if removed, ok := strings.CutPrefix(key, keyRemove+" "); ok {
			maps.DeleteFunc(out, func(k string, _ source) bool { return covers(removed, k) && !b.has(k) })
			continue
		}
		if isInherited(key) {
			out[key] = source{value: v, branch: b.path}
		}
	}
	return out
}

func isInherited(key string) bool {
	if strings.HasPrefix(key, routeKeyPrefix) {
		return true
	}
	f, ok := fields[key]
	return ok && f.apply != nil
}

func (s scope) values() values {
	v := defaultValues()
	for key, src := range s {
		if f, ok := fields[key]; ok {
			f.apply(&v, src.parsed)
		}
	}
	return v
}

func (s scope) countRoutes() int {
	n := 0
	for key := range s {
		if strings.HasPrefix(key, routeKeyPrefix) {
			n++
		}
	}
	return n
}

// routes returns the routes in order of prefix and method.
func (s scope) routes() []Route {
	var out []Route
	for _, key := range slices.Sorted(maps.Keys(s)) {
		if strings.HasPrefix(key, routeKeyPrefix) {
			out = append(out, s[key].parsed.(Route))
		}
	}
	return out
}

// resolver collects a View from the tree.
type resolver struct {
	view   *View
	region fleet.Path
}

// resolve returns the View of a checked tree.
func resolve(root *branch, revision platform.Offset) *View {
	r := &resolver{view: &View{Revision: revision, Policies: map[fleet.Path]Policy{}}}
	s := scope{}.below(root)
	v := s.values()
	r.view.Log = v.log
	r.view.Nodes = v.nodes
	r.view.Policies[""] = v.policy
	r.children(root, s, v.policy)
	slices.SortFunc(r.view.Domains, func(a, b FailureDomain) int { return strings.Compare(string(a.Path), string(b.Path)) })
	slices.SortFunc(r.view.Services, func(a, b Service) int { return strings.Compare(string(a.Path), string(b.Path)) })
	slices.SortFunc(r.view.Teams, func(a, b Team) int { return strings.Compare(string(a.Path), string(b.Path)) })
	return r.view
}

func (r *resolver) children(b *branch, s scope, inherited Policy) {
	region := r.region
	for _, name := range b.names() {
		r.branch(b.children[name], s, inherited)
		r.region = region
	}
}

func (r *resolver) branch(b *branch, inherited scope, above Policy) {
	s := inherited.below(b)
	v := s.values()
	if v.policy != above {
		r.view.Policies[b.path] = v.policy
	}
	switch b.kind() {
	case KindRegion:
		r.region = b.path
	case KindFailureDomain:
		r.view.Domains = append(r.view.Domains, FailureDomain{Path: b.path, Region: r.region, Out: b.isOut()})
	case KindService:
		r.view.Services = append(r.view.Services, Service{Path: b.path, Hosts: b.hosts(), Routes: s.routes()})
	case KindTeam:
		r.view.Teams = append(r.view.Teams, Team{Path: b.path, Quota: v.quota, Weight: v.weight})
	}
	r.children(b, s, v.policy)
}
