package ownership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/platform"
)

const (
	tick      = time.Second
	domains   = 11
	nodes     = 70
	racks     = 78
	teams     = 81
	detection = 8 * time.Second // from the death of a node to the verdict
)

// cluster is a set of planners over one log, stepped in rounds. Records of a
// round are written in the order of the nodes, and read in the next round.
type cluster struct {
	now     time.Time
	machine *Machine
	offset  platform.Offset
	units   []PlacedUnit
	members map[string]membership.Member
	order   []string
	nodes   map[string]*simNode
	moves   map[Unit]int
	gap     map[Unit]time.Duration // time without an owner that lives
	longest time.Duration
}

type simNode struct {
	planner *Planner
	own     map[Unit]platform.Offset
}

func newCluster() *cluster {
	c := &cluster{
		now:     time.Unix(1000, 0),
		machine: NewMachine(),
		members: make(map[string]membership.Member),
		nodes:   make(map[string]*simNode),
		moves:   make(map[Unit]int),
		gap:     make(map[Unit]time.Duration),
	}
	for i := range racks {
		u := Unit{Rack, domain(i).Join(fmt.Sprintf("rack-%d", i))}
		c.units = append(c.units, PlacedUnit{u, domain(i)})
	}
	for i := range teams {
		c.units = append(c.units, PlacedUnit{Unit: Unit{Queue, fleet.Path(fmt.Sprintf("org/team-%d", i))}})
	}
	for i := range nodes {
		c.join(fmt.Sprintf("n%02d", i), domain(i))
	}
	return c
}

func domain(i int) fleet.Path {
	return fleet.Path(fmt.Sprintf("org/region-%d/domain-%d", i%domains%3, i%domains))
}

func (c *cluster) join(id string, d fleet.Path) {
	c.members[id] = membership.Member{ID: id, FailureDomain: d, State: membership.Live, Since: c.now}
	c.nodes[id] = &simNode{planner: NewPlanner(), own: make(map[Unit]platform.Offset)}
	c.order = append(c.order, id)
}

func (c *cluster) set(id string, s membership.State) {
	m := c.members[id]
	m.State, m.Since = s, c.now
	c.members[id] = m
}

// kill stops a node; the others learn of it later.
func (c *cluster) kill(id string) { delete(c.nodes, id) }

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		c.round()
	}
}

func (c *cluster) round() {
	held := make(map[Unit]Holding)
	for _, h := range c.machine.Holdings() {
		held[h.Unit] = h
	}
	members := make([]membership.Member, 0, len(c.members))
	for _, m := range c.members {
		members = append(members, m)
	}
	for _, id := range c.order {
		n, ok := c.nodes[id]
		if !ok {
			continue
		}
		s := Situation{Self: id, Members: members, Units: c.units, Holdings: held, Own: n.own, Region: fleet.Path.Parent}
		for _, rec := range n.planner.Plan(s, c.now) {
			c.write(n, rec)
		}
	}
	c.measureGaps()
}

func (c *cluster) write(n *simNode, rec Record) {
	data, _ := rec.Encode()
	at := c.offset
	c.offset++
	before := c.machine.Holding(rec.Unit).Claim
	c.machine.Apply(platform.Record{Offset: at, Data: data, Time: c.now})
	after := c.machine.Holding(rec.Unit).Claim
	delete(n.own, rec.Unit)
	if rec.Op == OpClaim && after.Term == at {
		n.own[rec.Unit] = at
		if before.Node != rec.Node {
			c.moves[rec.Unit]++
		}
	}
}

func (c *cluster) measureGaps() {
	for _, u := range c.units {
		if _, ok := c.nodes[c.machine.Holding(u.Unit).Claim.Node]; ok {
			c.gap[u.Unit] = 0
			continue
		}
		c.gap[u.Unit] += tick
		c.longest = max(c.longest, c.gap[u.Unit])
	}
}

func (c *cluster) mostMoves() (most, total int) {
	for _, n := range c.moves {
		most, total = max(most, n), total+n
	}
	return most, total
}

func (c *cluster) mostLoad() int {
	load, most := make(map[string]int), 0
	for _, u := range c.units {
		node := c.machine.Holding(u.Unit).Claim.Node
		load[node]++
		most = max(most, load[node])
	}
	return most
}

func (c *cluster) racksAbroad() int {
	abroad := 0
	for _, u := range c.units {
		m := c.members[c.machine.Holding(u.Unit).Claim.Node]
		if u.FailureDomain != "" && m.FailureDomain != u.FailureDomain {
			abroad++
		}
	}
	return abroad
}

func TestRollingReplacement(t *testing.T) {
	Convey("Given 70 nodes that own 159 units", t, func() {
		c := newCluster()
		c.run(20 * time.Second)
		most, total := c.mostMoves()
		So(total, ShouldEqual, racks+teams)
		So(most, ShouldEqual, 1)
		So(c.racksAbroad(), ShouldEqual, 0)
		So(c.mostLoad(), ShouldBeLessThanOrEqualTo, 4)

		Convey("without changes no unit moves", func() {
			c.run(2 * time.Minute)
			_, after := c.mostMoves()
			So(after, ShouldEqual, total)
		})
		Convey("replacing all nodes one after another moves each unit a few times and leaves no gap", func() {
			c.moves, c.longest = make(map[Unit]int), 0
			for i := range nodes {
				old := fmt.Sprintf("n%02d", i)
				c.join(old+"b", domain(i))
				c.run(8 * time.Second)
				c.set(old, membership.Leaving)
				c.run(4 * time.Second)
				c.kill(old)
				delete(c.members, old)
			}
			c.run(2 * time.Minute)
			most, total := c.mostMoves()
			t.Logf("rolling replacement: %d moves of %d units, at most %d of one, longest without owner %s, most units on one node %d",
				total, len(c.units), most, c.longest, c.mostLoad())
			So(most, ShouldBeLessThanOrEqualTo, 6)
			So(total, ShouldBeLessThanOrEqualTo, 3*len(c.units))
			So(c.longest, ShouldBeLessThanOrEqualTo, 3*time.Second)
			So(c.mostLoad(), ShouldBeLessThanOrEqualTo, 4)
			So(c.racksAbroad(), ShouldEqual, 0)
			c.run(2 * time.Minute)
			_, after := c.mostMoves()
			So(after, ShouldEqual, total)
		})
		Convey("killing a tenth of the nodes at once moves only their units", func() {
			c.moves, c.longest = make(map[Unit]int), 0
			lost := 0
			for i := range nodes / 10 {
				id := fmt.Sprintf("n%02d", i*10)
				lost += len(c.nodes[id].own)
				c.kill(id)
			}
			c.run(detection)
			for i := range nodes / 10 {
				c.set(fmt.Sprintf("n%02d", i*10), membership.Dead)
			}
			c.run(time.Minute)
			most, total := c.mostMoves()
			So(total, ShouldEqual, lost)
			So(most, ShouldEqual, 1)
			So(c.longest, ShouldBeLessThanOrEqualTo, detection+3*time.Second)
		})
		Convey("a node on probation gets nothing and a suspect keeps what it has", func() {
			c.join("p", domain(0))
			p := c.members["p"]
			p.Probation = c.now.Add(time.Hour)
			c.members["p"] = p
			c.kill("n00")
			c.set("n00", membership.Dead)
			c.run(time.Minute)
			So(c.nodes["p"].own, ShouldBeEmpty)
			c.moves = make(map[Unit]int)
			held := len(c.nodes["n07"].own)
			m := c.members["n07"]
			m.State, m.Probation = membership.Suspect, c.now.Add(time.Hour)
			c.members["n07"] = m
			c.run(2 * time.Minute)
			_, total := c.mostMoves()
			So(total, ShouldEqual, 0)
			So(len(c.nodes["n07"].own), ShouldEqual, held)
		})
	})
}

func TestRestartClaimsAnew(t *testing.T) {
	Convey("A process that finds units of an earlier process of its node claims them with a new term", t, func() {
		c := newCluster()
		c.run(time.Minute)
		before := c.nodes["n03"].own
		c.nodes["n03"] = &simNode{planner: NewPlanner(), own: make(map[Unit]platform.Offset)}
		c.run(5 * time.Second)
		So(len(before), ShouldBeGreaterThan, 0)
		for u, term := range before {
			So(c.nodes["n03"].own[u], ShouldBeGreaterThan, term)
		}
	})
}
