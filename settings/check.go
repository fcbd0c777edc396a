package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
)

// checker validates a composed tree against the rules that span branches.
type checker struct {
	branches    int
	findings    finding.List
	routeOwners map[hostRoute]fleet.Path // service that defines the route
}

// checkTree validates the tree as a whole and returns all findings.
func checkTree(root *branch) finding.List {
	c := &checker{routeOwners: map[hostRoute]fleet.Path{}}
	c.checkBranch(root, kindRoot, scope{})
	return c.findings
}

func (c *checker) addf(pos position, b *branch, key, format string, args ...any) {
	if len(c.findings) < finding.MaxFindings {
		c.findings = append(c.findings, findingAt(pos, b.path, key, format, args...))
	}
}

// Limits of a tree. They keep the cost of validation proportional to its text.
const (
	maxBranches = 10_000
	maxRoutes   = 128 // in force at one branch
)

// checkBranch checks b and its descendants; above is the kind of the nearest
// ancestor that has one.
func (c *checker) checkBranch(b *branch, above Kind, inherited scope) {
	if c.branches++; c.branches > maxBranches {
		if c.branches == maxBranches+1 {
			c.addf(b.pos, b, keyBranches, "more than %d branches", maxBranches)
		}
		return
	}
	kind := b.kind()
	c.checkKind(b, above)
	c.checkAllowedKeys(b, kind)
	c.checkRemovals(b, inherited)
	s := inherited.below(b)
	if n := s.countRoutes(); n > maxRoutes {
		c.addf(b.pos, b, keyRoutes, "%d routes, more than %d", n, maxRoutes)
		return
	}
	c.checkCombinations(b, s)
	if kind == KindService {
		c.checkService(b, s)
	}
	if kind == KindNone {
		kind = above
	}
	for _, name := range b.names() {
		c.checkBranch(b.children[name], kind, s)
	}
}

func (c *checker) checkKind(b *branch, above Kind) {
	v, ok := b.own[keyKind]
	if !ok {
		return
	}
	if b.path == "" {
		c.addf(v.pos, b, keyKind, "may not be set on the root")
		return
	}
	kind := v.parsed.(Kind)
	if !kind.isAllowedBelow(above) {
		c.addf(v.pos, b, keyKind, "%s is not allowed below %s", kind, above)
	}
}

func (c *checker) checkAllowedKeys(b *branch, kind Kind) {
	for _, key := range b.keys() {
		if !slices.Contains(kindsOf(key), kind) {
			c.addf(b.own[key].pos, b, key, "may not be set on %s", kindLabel(kind))
		}
	}
}

// kindsOf returns the kinds of branch on which key may be set.
func kindsOf(key string) []Kind {
	if f, ok := fields[key]; ok {
		return f.kinds
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

func (c *checker) checkRemovals(b *branch, inherited scope) {
	for _, key := range b.keys() {
		removed, ok := strings.CutPrefix(key, keyRemove+" ")
		if ok && !inherited.containsAny(removed) {
			c.addf(b.own[key].pos, b, keyRemove, "%q is not set by any ancestor", removed)
		}
	}
}

func (s scope) containsAny(removed string) bool {
	for key := range maps.Keys(s) {
		if covers(removed, key) {
			return true
		}
	}
	return false
}

// checkCombinations checks the values of a branch against each other. A finding
// is reported where one of the values is set, not again at each descendant that
// inherits it.
func (c *checker) checkCombinations(b *branch, s scope) {
	if !b.setsAny("policy.", "quota.", keyRemove) && b.kind() != KindTeam && b.path != "" {
		return
	}
	v := s.values()
	t := v.policy.Tasks
	if t.ViewAge >= t.Lease {
		c.addf(b.positionOf("policy.tasks."), b, "policy.tasks.view-age", "%v must be less than the lease of %v", t.ViewAge, t.Lease)
	}
	if t.OutageAllowance < t.Lease {
		c.addf(b.positionOf("policy.tasks."), b, "policy.tasks.outage-allowance", "%v is below the lease of %v", t.OutageAllowance, t.Lease)
	}
	if v.policy.Weights == (Weights{}) {
		c.addf(b.positionOf("policy.weights."), b, "policy.weights", "at least one weight must be above 0")
	}
	if b.kind() == KindTeam && (v.quota.MilliCPU == 0 || v.quota.MemoryMB == 0) {
		c.addf(b.positionOf("quota."), b, "quota", "a team needs a quota of milli-cpu and memory-mb above 0")
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

// positionOf returns the position of the first key of the branch that starts with
// prefix, or the position of the branch itself.
func (b *branch) positionOf(prefix string) position {
	for _, key := range b.keys() {
		if strings.HasPrefix(key, prefix) {
			return b.own[key].pos
		}
	}
	return b.pos
}
