// Package ownership decides, from the records of one stream, which node owns
// each rack and each team's queue. The offset of the winning claim is the term
// of the unit: a fencing token that only grows.
package ownership

import (
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// UnitKind is the kind of a unit of ownership.
type UnitKind string

// The kinds of unit.
const (
	Rack  UnitKind = "rack"
	Queue UnitKind = "queue"
)

// Unit is what one node at a time may own.
type Unit struct {
	Kind UnitKind   `cbor:"1,keyasint"`
	Path fleet.Path `cbor:"2,keyasint"`
}

// String returns a form such as "rack:zavod/kontinent/zagreb-a/rack-1".
func (u Unit) String() string { return string(u.Kind) + ":" + string(u.Path) }

// Claim is the current owner of a unit.
type Claim struct {
	Node string          `cbor:"1,keyasint"` // VM's name
	Term platform.Offset `cbor:"2,keyasint"` // offset of the winning record
}

// Directory finds the owner of a unit.
type Directory interface {
	// Owner returns the current claim and the owner's net/rpc address; ok is
	// false when nobody owns the unit or the owner's address is unknown.
	Owner(u Unit) (c Claim, addr string, ok bool)
}
