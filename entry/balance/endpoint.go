// Package balance chooses the endpoint of a request by locality, expected wait
// and health. Choosing takes no lock.
package balance

import (
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/entry/pool"
	"github.com/peridotlock/peridotlock/fleet"
)

// Endpoint is what this entry knows of one endpoint. It outlives snapshots.
type Endpoint struct {
	ID       string
	Address  string
	Domain   fleet.Path
	Pool     *pool.Pool
	Latency  Latency
	Limit    Limit
	Health   Health
	inFlight atomic.Int32
	lost     atomic.Bool // a slot was given back before its attempt ended
}

// InFlight returns the requests that hold a slot.
func (e *Endpoint) InFlight() int { return int(e.inFlight.Load()) }

// tryAcquire takes a slot if one is free.
func (e *Endpoint) tryAcquire() bool {
	limit := e.Limit.Value()
	for {
		n := e.inFlight.Load()
		if n >= limit {
			return false
		}
		if e.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// reach finds out in the background whether the endpoint takes connections.
func (e *Endpoint) reach() {
	if e.Health.reachable.Load() {
		return
	}
	e.Pool.Probe(func(err error) {
		if err == nil {
			e.Health.Reach()
			return
		}
		e.Health.ejectAgain(time.Now())
	})
}

// cost is the expected time to an answer if one more request is sent.
func (e *Endpoint) cost(distance time.Duration) time.Duration {
	share := float64(e.inFlight.Load()+1) / float64(e.Limit.Value())
	return distance + time.Duration(float64(e.Latency.Mean())*max(share, 0.25))
}

// Slot is a held place at an endpoint. Release it once it is not needed.
type Slot struct {
	Endpoint *Endpoint
	Remote   bool // in another region
	Probe    bool // tries an ejected endpoint
	set      *Set
	released atomic.Bool
	early    atomic.Bool
}

// ReleaseEarly gives the slot back while its attempt waits on a connection
// that is taken for silent. At most one slot of an endpoint is so at a time,
// since a slow answer looks the same.
func (s *Slot) ReleaseEarly() {
	if !s.Endpoint.lost.CompareAndSwap(false, true) {
		return
	}
	s.early.Store(true)
	s.giveBack()
}

// Release gives the slot back at the end of its attempt; only the first call
// counts.
func (s *Slot) Release() {
	if s.early.CompareAndSwap(true, false) {
		s.Endpoint.lost.Store(false)
	}
	s.giveBack()
}

func (s *Slot) giveBack() {
	if s.released.CompareAndSwap(false, true) {
		s.Endpoint.inFlight.Add(-1)
		s.set.onFree()
	}
}
