// Package membership keeps each node's view of which nodes are live: the
// platform's lagging list, corrected by probes between the nodes themselves.
package membership

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// State is the state of a member in one node's view.
type State uint8

// The states. Only a live member gets new units; a suspect one keeps what it
// has until it is dead.
const (
	Live    State = 1
	Leaving State = 2
	Suspect State = 3
	Dead    State = 4
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member is one node as this node knows it.
type Member struct {
	ID            string
	FailureDomain fleet.Path
	Control       string // net/rpc address
	State         State
	Incarnation   uint64    // raised by the member itself to refute a suspicion
	Since         time.Time // start of the state by the local clock
	Probation     time.Time // gets no new units before, since others lately could not reach it
}

// Update is a verdict on a member, passed on with probes.
type Update struct {
	ID            string     `cbor:"1,keyasint"`
	FailureDomain fleet.Path `cbor:"2,keyasint"`
	Control       string     `cbor:"3,keyasint"`
	State         State      `cbor:"4,keyasint"`
	Incarnation   uint64     `cbor:"5,keyasint"`
}

func (m Member) update() Update {
	return Update{
		ID: m.ID, FailureDomain: m.FailureDomain, Control: m.Control,
		State: m.State, Incarnation: m.Incarnation,
	}
}
