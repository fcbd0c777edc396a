package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

const oneWay = 5 * time.Millisecond

var errLost = errors.New("call lost")

// network carries calls between the probers of a bubble, and holds the list.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node            // by address
	cut   func(from, to *node) bool   // calls that get no answer
	list  map[string]platform.VMState // what the platform says
	down  bool                        // the list can't be read
	calls int
}

type node struct {
	id     string
	domain fleet.Path
	prober *Prober
	frozen bool
	stop   context.CancelFunc
}

// port is the transport of one node.
type port struct {
	net  *network
	from *node
}

func (p port) Call(ctx context.Context, addr, method string, args, reply any) error {
	to, open := p.net.route(p.from, addr)
	if !open {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(2 * oneWay)
	service := to.prober.Service()
	switch method {
	case ServiceName + ".Probe":
		return service.Probe(args.(ProbeArgs), reply.(*ProbeReply))
	case ServiceName + ".Confirm":
		return service.Confirm(args.(ConfirmArgs), reply.(*ConfirmReply))
	}
	return fmt.Errorf("no method %s", method)
}

func (n *network) route(from *node, addr string) (*node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	to, ok := n.nodes[addr]
	if !ok || to.frozen || from.frozen || n.cut != nil && n.cut(from, to) {
		return nil, false
	}
	return to, true
}

func (n *network) read(context.Context) (platform.VMSnapshot, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return platform.VMSnapshot{}, platform.ErrUnavailable
	}
	s := platform.VMSnapshot{AsOf: time.Now()}
	for id, state := range n.list {
		s.VMs = append(s.VMs, platform.VM{
			ID: id, Kind: platform.KindEntry, State: state, FailureDomain: n.nodes[id].domain, Control: id,
		})
	}
	return s, nil
}

func (n *network) set(fn func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn()
}

func (n *network) start(ctx context.Context, id string, domain fleet.Path) *node {
	ctx, stop := context.WithCancel(ctx)
	nd := &node{id: id, domain: domain, stop: stop}
	self := Update{ID: id, FailureDomain: domain, Control: id}
	nd.prober = NewProber(self, n.read, port{n, nd}, ProberOptions{})
	n.set(func() {
		n.nodes[id] = nd
		n.list[id] = platform.VMLive
	})
	go nd.prober.Run(ctx)
	return nd
}

// states counts how the other nodes see the one called id.
func (n *network) states(id string) map[State]int {
	out := make(map[State]int)
	for addr, nd := range n.nodes {
		if addr == id || nd.frozen {
			continue
		}
		for _, m := range nd.prober.Members() {
			if m.ID == id {
				out[m.State]++
			}
		}
	}
	return out
}

// count returns how many verdicts of the given state there are in all views.
func (n *network) count(s State) int {
	found := 0
	for _, nd := range n.nodes {
		for _, m := range nd.prober.Members() {
			if m.State == s {
				found++
			}
		}
	}
	return found
}

const fleetSize = 70

// inFleet runs fn in virtual time with 70 nodes in 11 failure domains.
func inFleet(t *testing.T, title string, fn func(ctx context.Context, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(title, t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			n := &network{nodes: make(map[string]*node), list: make(map[string]platform.VMState)}
			for i := range fleetSize {
				domain := fleet.Path(fmt.Sprintf("org/region-%d/domain-%d", i%11%3, i%11))
				n.start(ctx, fmt.Sprintf("n%02d", i), domain)
			}
			Reset(func() {
				cancel()
				time.Sleep(10 * time.Second)
			})
			time.Sleep(10 * time.Second)
			fn(ctx, n)
		})
	})
}

func TestDeadMember(t *testing.T) {
	inFleet(t, "A frozen node is dead in all views before the list says so, and live after it wakes", func(_ context.Context, n *network) {
		n.set(func() { n.nodes["n05"].frozen = true })
		time.Sleep(25 * time.Second)
		So(n.states("n05"), ShouldResemble, map[State]int{Dead: fleetSize - 1})
		n.set(func() { n.nodes["n05"].frozen = false })
		time.Sleep(25 * time.Second)
		So(n.states("n05"), ShouldResemble, map[State]int{Live: fleetSize - 1})
	})
}

func TestPartedRegion(t *testing.T) {
	inFleet(t, "Nobody dies while a region is cut off, though the list is out too", func(_ context.Context, n *network) {
		n.set(func() {
			n.down = true
			n.cut = func(a, b *node) bool {
				return (a.domain.Parent() == "org/region-2") != (b.domain.Parent() == "org/region-2")
			}
		})
		for range 24 {
			time.Sleep(5 * time.Second)
			So(n.count(Dead), ShouldEqual, 0)
		}
		n.set(func() { n.cut = nil })
		time.Sleep(20 * time.Second)
		So(n.count(Live), ShouldEqual, fleetSize*fleetSize)
	})
}

func TestLossyLinks(t *testing.T) {
	inFleet(t, "Nobody dies while a tenth of the calls gets no answer", func(_ context.Context, n *network) {
		lost := 0
		n.set(func() {
			n.cut = func(_, _ *node) bool {
				lost++
				return lost%10 == 0
			}
		})
		for range 60 {
			time.Sleep(2 * time.Second)
			So(n.count(Dead), ShouldEqual, 0)
		}
	})
}

func TestListedChanges(t *testing.T) {
	inFleet(t, "The list and the nodes themselves tell who leaves, is gone or new", func(ctx context.Context, n *network) {
		n.set(func() { n.list["n10"] = platform.VMLeaving })
		n.nodes["n11"].prober.Leave()
		n.nodes["n12"].stop()
		n.set(func() {
			n.nodes["n12"].frozen = true
			delete(n.list, "n12")
		})
		n.set(func() { delete(n.list, "n13") }) // gone by mistake: it still answers
		n.start(ctx, "x", "org/region-0/domain-0")
		time.Sleep(20 * time.Second)
		So(n.states("n10"), ShouldResemble, map[State]int{Leaving: fleetSize - 1})
		So(n.states("n11"), ShouldResemble, map[State]int{Leaving: fleetSize - 1})
		So(n.states("n12"), ShouldResemble, map[State]int{Dead: fleetSize})
		So(n.states("n13"), ShouldResemble, map[State]int{Live: fleetSize - 1})
		So(n.states("x"), ShouldResemble, map[State]int{Live: fleetSize - 1})
	})
}

func TestFlappingMember(t *testing.T) {
	inFleet(t, "A node that calls out but can't be reached takes no units for ever longer times", func(_ context.Context, n *network) {
		n.set(func() { n.cut = func(_, to *node) bool { return to.id == "n05" } })
		time.Sleep(3 * time.Minute)
		n.set(func() { n.cut = nil })
		time.Sleep(20 * time.Second)
		So(n.states("n05"), ShouldResemble, map[State]int{Live: fleetSize - 1})
		now := time.Now()
		for _, m := range n.nodes["n05"].prober.Members() {
			if m.ID == "n05" {
				So(m.Probation.Sub(now), ShouldBeGreaterThan, time.Minute)
			}
		}
	})
}

func TestProbeLoad(t *testing.T) {
	inFleet(t, "An idle node makes about one call a second, whatever the number of nodes", func(_ context.Context, n *network) {
		var before, after int
		n.set(func() { before = n.calls })
		time.Sleep(time.Minute)
		n.set(func() { after = n.calls })
		So(float64(after-before)/fleetSize/60, ShouldBeBetween, 0.8, 1.2)
	})
}
