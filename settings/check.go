package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
)

// checker holds a composed tree against the rules that span branches.
type checker struct {
	branches int
	found    finding.List
	routed   map[hostRoute]fleet.Path // service that has the route
}

// checkTree returns what is wrong with the tree as a whole.
func checkTree(root *branch) finding.List {
	c := &checker{routed: map[hostRoute]fleet.Path{}}
	c.branch(root, kindRoot, scope{})
	return c.found
}

func (c *checker) addf(at position, b *branch, key, format string, args ...any) {
	if len(c.found) < finding.MaxFindings {
		c.found = append(c.found, findingAt(at, b.path, key, format, args...))
	}
}

// Bounds of a tree. They keep the work of a check in proportion to its text.
const (
	maxBranches = 10_000
	maxRoutes   = 128 // in force at one branch
)

// branch checks b below the nearest ancestor with a kind.
func (c *checker) branch(b *branch, above Kind, inherited scope) {
	if c.branches++; c.branches > maxBranches {
		if c.branches == maxBranches+1 {
			c.addf(b.at, b, keyBranches, "more than %d branches", maxBranches)
		}
		return
	}
	kind := b.kind()
	c.kind(b, above)
	c.allowed(b, kind)
	c.removals(b, inherited)
	s := inherited.below(b)
	if n := s.countRoutes(); n > maxRoutes {
		c.addf(b.at, b, keyRoutes, "%d routes, more than %d", n, maxRoutes)
		return
	}
	c.combined(b, s)
	if kind == KindService {
		c.service(b, s)
	}
	if kind == KindNone {
		kind = above
	}
	for _, name := range b.names() {
		c.branch(b.children[name], kind, s)
	}
}

func (c *checker) kind(b *branch, above Kind) {
	v, ok := b.own[keyKind]
	if !ok {
		return
	}
	if b.path == "" {
		c.addf(v.at, b, keyKind, "the root has no kind")
		return
	}
	kind := v.parsed.(Kind)
	if !kind.mayStandBelow(above) {
		c.addf(v.at, b, keyKind, "%s may not stand below %s", kind, above)
	}
}

func (c *checker) allowed(b *branch, kind Kind) {
	for _, key := range b.keys() {
		if !slices.Contains(kindsOf(key), kind) {
			c.addf(b.own[key].at, b, key, "may not be set on %s", kindLabel(kind))
		}
	}
}

// kindsOf returns the kinds of branch that may set key.
func kindsOf(key string) []Kind {
	if f, ok := fields[key]; ok {
		return f.on
	}
	if key == keyHosts {
		return onServiceOnly
	}
	if strings.HasPrefix(key, routeKeyPrefix) {
		return onService
	}
	return onAny
}

func kindLabel(k Kind) string {
	if k == KindNone {
		return "a branch without a kind"
	}
	return "a branch of kind " + string(k)
}

func (c *checker) removals(b *branch, inherited scope) {
	for _, key := range b.keys() {
		removed, ok := strings.CutPrefix(key, keyRemove+" ")
		if ok && !inherited.holds(removed) {
			c.addf(b.own[key].at, b, keyRemove, "%q is set by no branch above", removed)
		}
	}
}

func (s scope) holds(removed string) bool {
	for key := range maps.Keys(s) {
		if covers(removed, key) {
			return true
		}
	}
	return false
}

// combined checks the values of a branch against each other. A fault is
// reported where one of the values is set, not again at every heir.
func (c *checker) combined(b *branch, s scope) {
	if !b.setsAny("policy.", "quota.", keyRemove) && b.kind() != KindTeam && b.path != "" {
		return
	}
	v := s.values()
	t := v.policy.Tasks
	if t.ViewAge >= t.Lease {
		c.addf(b.place("policy.tasks."), b, "policy.tasks.view-age", "%v is not below the lease of %v", t.ViewAge, t.Lease)
	}
	if t.OutageAllowance < t.Lease {
		c.addf(b.place("policy.tasks."), b, "policy.tasks.outage-allowance", "%v is below the lease of %v", t.OutageAllowance, t.Lease)
	}
	if v.policy.Weights == (Weights{}) {
		c.addf(b.place("policy.weights."), b, "policy.weights", "at least one weight must be above 0")
	}
	if b.kind() == KindTeam && (v.quota.MilliCPU == 0 || v.quota.MemoryMB == 0) {
		c.addf(b.place("quota."), b, "quota", "a team needs a quota of milli-cpu and memory-mb above 0")
	}
}

func (b *branch) setsAny(prefixes ...string) bool {
	for key := range b.own {
		for _, p := range prefixes {
			if strings.HasPrefix(key, p) {
				return true
			}
		}
	}
	return false
}

// place returns where the first of the branch's values with the prefix stands,
// or where the branch itself does.
func (b *branch) place(prefix string) position {
	for _, key := range b.keys() {
		if strings.HasPrefix(key, prefix) {
			return b.own[key].at
		}
	}
	return b.at
}
