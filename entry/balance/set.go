package balance

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Round-trip times by locality.
const (
	distanceDomain = 2 * time.Millisecond  // to another failure domain
	distanceRegion = 24 * time.Millisecond // to another region
)

// clearly is the ratio of two costs from which on they differ by more than what
// learned latencies vary.
const clearly = 1.1

// member is an endpoint of a set with its distance.
type member struct {
	endpoint *Endpoint
	distance time.Duration
}

// members is an immutable list of the endpoints that may get new work.
type members struct {
	local  []member // same region
	remote []member
	eject  int // endpoints that may be ejected at once
}

// Set is the endpoints of one service. It outlives snapshots.
type Set struct {
	Service fleet.Path
	Latency Latency // over all endpoints
	members atomic.Pointer[members]
	turn    atomic.Uint64
	ejected atomic.Int32 // hint that some endpoint is ejected
	onFree  func()
}

// NewSet returns an empty set. Turns start at random, so that entries don't
// send to the same endpoint at the same time.
func NewSet(service fleet.Path) *Set {
	s := &Set{Service: service, onFree: func() {}}
	s.turn.Store(rand.Uint64())
	s.members.Store(&members{})
	return s
}

// OnFree has f called whenever a slot becomes free. Call it before first use.
func (s *Set) OnFree(f func()) { s.onFree = f }

// Choice says what a request allows.
type Choice struct {
	Now   time.Time
	Avoid *Endpoint // tried before; taken only when nothing else is there
	Probe bool      // may try an endpoint that was ejected
	Toll  *Toll     // allows another region; nil for none
}

// Len returns the number of local and remote endpoints.
func (s *Set) Len() (local, remote int) {
	m := s.members.Load()
	return len(m.local), len(m.remote)
}

// Slots returns the requests that local endpoints may hold at once, or remote
// ones when there are no local ones.
func (s *Set) Slots() int {
	m := s.members.Load()
	list := m.local
	if len(list) == 0 {
		list = m.remote
	}
	total := 0
	for _, m := range list {
		total += int(m.endpoint.Limit.Value())
	}
	return total
}

// Acquire takes a slot at the endpoint that promises the shortest wait, or
// returns nil when none is free.
func (s *Set) Acquire(c Choice) *Slot {
	m := s.members.Load()
	if c.Probe && s.ejected.Load() > 0 {
		if slot := s.probe(m.local, c); slot != nil {
			return slot
		}
	}
	if slot := s.from(m.local, c); slot != nil {
		return slot
	}
	return s.cross(m, c)
}

// cross takes a slot in another region if the link's budget allows it.
func (s *Set) cross(m *members, c Choice) *Slot {
	if c.Toll == nil {
		return nil
	}
	slot := s.from(m.remote, c)
	if slot == nil {
		return nil
	}
	if !c.Toll.pay(c.Now) {
		slot.Endpoint.inFlight.Add(-1)
		return nil
	}
	slot.Remote = true
	return slot
}

// from tries two choices and then all others. One choice is the next in turn,
// so that equal endpoints get requests evenly spaced, the other is random.
func (s *Set) from(list []member, c Choice) *Slot {
	n := len(list)
	if n == 0 {
		return nil
	}
	i := int(s.turn.Add(1) % uint64(n))
	first, second := list[i], list[(i+1+rand.IntN(max(1, n-1)))%n]
	if cheaper(second, first) {
		first, second = second, first
	}
	for _, m := range [...]member{first, second} {
		if m.isOpen(c) && m.endpoint != c.Avoid && m.endpoint.tryAcquire() {
			return &Slot{Endpoint: m.endpoint, set: s}
		}
	}
	return s.scan(list, c)
}

// cheaper reports whether a costs clearly less than b.
func cheaper(a, b member) bool {
	return clearly*float64(a.endpoint.cost(a.distance)) < float64(b.endpoint.cost(b.distance))
}

// scan takes the cheapest of all that have a free slot.
func (s *Set) scan(list []member, c Choice) *Slot {
	for range list {
		best := cheapest(list, c)
		if best == nil {
			return nil
		}
		if best.tryAcquire() {
			return &Slot{Endpoint: best, set: s}
		}
	}
	return nil
}

func cheapest(list []member, c Choice) *Endpoint {
	var best *Endpoint
	var bestCost time.Duration
	for _, m := range list {
		e := m.endpoint
		if !m.isOpen(c) || e.inFlight.Load() >= e.Limit.Value() {
			continue
		}
		cost := e.cost(m.distance)
		if e == c.Avoid {
			cost += time.Hour
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (m member) isOpen(c Choice) bool {
	return !m.endpoint.Health.IsEjected() && !m.endpoint.Health.IsLeaving(c.Now)
}

// probe takes an ejected endpoint whose time is over and that is known to take
// connections. Others are sent a connection, which no request waits for.
func (s *Set) probe(list []member, c Choice) *Slot {
	for _, m := range list {
		h := &m.endpoint.Health
		if !h.IsOver(c.Now) || h.IsLeaving(c.Now) {
			continue
		}
		if !h.TryProbe(c.Now) {
			m.endpoint.reach()
			continue
		}
		m.endpoint.inFlight.Add(1)
		return &Slot{Endpoint: m.endpoint, Probe: true, set: s}
	}
	return nil
}

// Peek returns a slot that is not held, for work that is outside the limits.
func (s *Set) Peek(c Choice) *Slot {
	m := s.members.Load()
	e := anyOpen(m.local, c)
	if e == nil {
		e = anyOpen(m.remote, c)
	}
	if e == nil {
		return nil
	}
	slot := &Slot{Endpoint: e, set: s}
	slot.released.Store(true)
	return slot
}

// anyOpen returns a random open endpoint, that to avoid only without others.
func anyOpen(list []member, c Choice) *Endpoint {
	var last *Endpoint
	start := 0
	if len(list) > 0 {
		start = rand.IntN(len(list))
	}
	for i := range list {
		m := list[(start+i)%len(list)]
		if !m.isOpen(c) {
			continue
		}
		if m.endpoint != c.Avoid {
			return m.endpoint
		}
		last = m.endpoint
	}
	return last
}
