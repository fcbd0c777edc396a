package ownership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/platform"
)

const (
	rankDelay      = time.Second      // by which each further candidate waits for those before it
	unknownDelay   = 30 * time.Second // for an owner that no list and no peer named yet
	minHold        = time.Minute      // before a unit of a live owner may move
	rebalanceEvery = 10 * time.Second // between units that one node gives up for balance
	settleTime     = 5 * time.Second  // without a change of members before any such move
	loadSlack      = 1.25             // share of the mean load that one node may hold
	maxActions     = 8                // records of one node in one round
)

// PlacedUnit is a unit and where its work is. The failure domain is empty for a
// unit that is not bound to any.
type PlacedUnit struct {
	Unit          Unit
	FailureDomain fleet.Path
}

// Situation is what a plan rests on.
type Situation struct {
	Self     string
	Members  []membership.Member
	Units    []PlacedUnit
	Holdings map[Unit]Holding
	Own      map[Unit]platform.Offset // terms that this process won
	Pending  map[Unit]bool            // units with a record of this node under way
	Region   func(fleet.Path) fleet.Path
}

// Planner decides which units its node should claim or release. It has no clock
// and no goroutines; it remembers since when units lack a live owner.
type Planner struct {
	orphans  map[Unit]time.Time
	released time.Time // last release for balance
	states   map[string]membership.State
	settled  time.Time // last change of a member
}

// NewPlanner returns a planner.
func NewPlanner() *Planner {
	return &Planner{orphans: make(map[Unit]time.Time), states: make(map[string]membership.State)}
}

// Plan returns the records that the node should append now.
func (p *Planner) Plan(s Situation, now time.Time) []Record {
	p.noteMembers(s.Members, now)
	r := newRound(s, now)
	var out []Record
	stable := true
	for i, u := range s.Units {
		if s.Pending[u.Unit] {
			stable = false
			continue
		}
		if len(out) >= maxActions {
			break
		}
		rec, orphan := p.planUnit(r, u, r.held[i], now)
		stable = stable && !orphan
		if rec.Op != 0 {
			out = append(out, rec)
		}
	}
	if stable && len(out) == 0 && r.canHold {
		out = p.rebalance(r, now)
	}
	return out
}

// noteMembers remembers when the set of members last changed.
func (p *Planner) noteMembers(members []membership.Member, now time.Time) {
	changed := len(members) != len(p.states)
	for _, m := range members {
		if p.states[m.ID] != m.State {
			changed = true
		}
	}
	if !changed {
		return
	}
	p.settled = now
	clear(p.states)
	for _, m := range members {
		p.states[m.ID] = m.State
	}
}

// planUnit decides on one unit and reports whether it lacks a live owner.
func (p *Planner) planUnit(r *round, u PlacedUnit, h Holding, now time.Time) (rec Record, orphan bool) {
	if h.Claim.Node == r.s.Self {
		delete(p.orphans, u.Unit)
		return r.planOwn(h), false
	}
	delay, orphan := r.orphanDelay(h)
	if !orphan {
		delete(p.orphans, u.Unit)
		return Record{}, false
	}
	since, ok := p.orphans[u.Unit]
	if !ok {
		since = now
		p.orphans[u.Unit] = now
	}
	if !r.canHold {
		return Record{}, true
	}
	rank := r.rank(u)
	if now.Sub(since) < delay+time.Duration(rank)*rankDelay {
		return Record{}, true
	}
	r.load[r.s.Self]++
	return Record{Op: OpClaim, Unit: u.Unit, Node: r.s.Self, Supersedes: h.Claim.Term}, true
}

// rebalance releases one unit that another node should hold: when this node
// holds more than its share, or the unit's failure domain has a node with room.
func (p *Planner) rebalance(r *round, now time.Time) []Record {
	if now.Sub(p.released) < rebalanceEvery || now.Sub(p.settled) < settleTime {
		return nil
	}
	for i, u := range r.s.Units {
		h := r.held[i]
		if h.Claim.Node != r.s.Self || now.UnixNano()-h.Since < int64(minHold) {
			continue
		}
		if !r.shouldMove(u) {
			continue
		}
		p.released = now
		return []Record{{Op: OpRelease, Unit: u.Unit, Node: r.s.Self, Supersedes: h.Claim.Term}}
	}
	return nil
}

// round holds what one plan computes once.
type round struct {
	s       Situation
	members map[string]membership.Member
	live    []membership.Member
	held    []Holding      // of each unit
	load    map[string]int // units held by member
	limit   int            // load above which others are preferred
	canHold bool           // this node may get units
}

func newRound(s Situation, now time.Time) *round {
	n := len(s.Members)
	r := &round{
		s:       s,
		members: make(map[string]membership.Member, n),
		load:    make(map[string]int, n),
		live:    make([]membership.Member, 0, n),
	}
	for _, m := range s.Members {
		r.members[m.ID] = m
		if m.State == membership.Live && !now.Before(m.Probation) {
			r.live = append(r.live, m)
		}
	}
	r.held = make([]Holding, len(s.Units))
	for i, u := range s.Units {
		r.held[i] = holding(s.Holdings, u.Unit)
		r.load[r.held[i].Claim.Node]++
	}
	r.canHold = r.members[s.Self].State == membership.Live
	mean := float64(len(s.Units)) / float64(max(1, len(r.live)))
	r.limit = int(math.Ceil(mean * loadSlack))
	return r
}

func holding(held map[Unit]Holding, u Unit) Holding {
	h, ok := held[u]
	if !ok {
		return Holding{Unit: u, Claim: Claim{Term: None}}
	}
	return h
}

// planOwn releases a unit if this node is leaving, and claims it anew if an
// earlier process of this node won it, so that no two processes share a term.
func (r *round) planOwn(h Holding) Record {
	if r.members[r.s.Self].State == membership.Leaving {
		return Record{Op: OpRelease, Unit: h.Unit, Node: r.s.Self, Supersedes: h.Claim.Term}
	}
	if term, ok := r.s.Own[h.Unit]; !ok || term != h.Claim.Term {
		return Record{Op: OpClaim, Unit: h.Unit, Node: r.s.Self, Supersedes: h.Claim.Term}
	}
	return Record{}
}

// orphanDelay reports whether a unit lacks an owner, and how long the best
// candidate waits before it claims it.
func (r *round) orphanDelay(h Holding) (time.Duration, bool) {
	if h.Claim.Node == "" {
		return 0, true
	}
	m, ok := r.members[h.Claim.Node]
	if !ok {
		return unknownDelay, true
	}
	return 0, m.State == membership.Dead
}

// candidate is a member that may hold a unit, by preference.
type candidate struct {
	id       string
	full     bool
	distance int // 0 same failure domain, 1 same region, 2 elsewhere
	weight   uint64
}

func compareCandidates(a, b candidate) int {
	if a.full != b.full {
		if a.full {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(b.weight, a.weight),
		strings.Compare(a.id, b.id),
	)
}

func (r *round) candidate(m membership.Member, u PlacedUnit) candidate {
	return candidate{
		id:       m.ID,
		full:     r.load[m.ID] >= r.limit,
		distance: r.distance(m.FailureDomain, u.FailureDomain),
		weight:   xxhash.Sum64String(m.ID + "|" + u.Unit.String()),
	}
}

func (r *round) distance(node, unit fleet.Path) int {
	switch {
	case unit == "" || node == unit:
		return 0
	case r.s.Region(node) == r.s.Region(unit):
		return 1
	}
	return 2
}

// rank returns how many live members come before this node for the unit.
func (r *round) rank(u PlacedUnit) int {
	self := r.candidate(r.members[r.s.Self], u)
	before := 0
	for _, m := range r.live {
		if m.ID != r.s.Self && compareCandidates(r.candidate(m, u), self) < 0 {
			before++
		}
	}
	return before
}

// shouldMove reports whether a unit of this node has a better place with room:
// one that is nearer, or one with clearly less load when this node is over its
// share.
func (r *round) shouldMove(u PlacedUnit) bool {
	self := r.candidate(r.members[r.s.Self], u)
	over := r.load[r.s.Self] > r.limit
	if self.distance == 0 && !over {
		return false
	}
	return slices.ContainsFunc(r.live, func(m membership.Member) bool {
		if m.ID == r.s.Self {
			return false
		}
		c := r.candidate(m, u)
		return !c.full && (c.distance < self.distance || over)
	})
}
