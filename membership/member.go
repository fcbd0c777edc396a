// Package membership maintains each node's view of which nodes are live. It
// corrects the platform's lagging VM list by probes between the nodes.
package membership

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// State is the state of a member in one node's view.
type State uint8

// Member states. Only live members get new units. A suspect member keeps its
// units until it is declared dead.
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

// Member is a node as seen by this node.
type Member struct {
	ID            string
	FailureDomain fleet.Path
	Control       string // net/rpc address
	State         State
	Incarnation   uint64    // incremented by the member itself to refute a suspicion
	Since         time.Time // start of the state by the local clock
	Probation     time.Time // end of probation: gets no new units until then because others recently failed to reach it
}

// Update is the state of a member, disseminated with probes.
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
