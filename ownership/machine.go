package ownership

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/platform"
)

// None is the term of a unit that was never claimed.
const None platform.Offset = -1

// Op is the kind of a record.
type Op uint8

// The kinds of record.
const (
	OpClaim   Op = 1
	OpRelease Op = 2
)

// Record is one entry of the ownership stream. It takes effect only if
// Supersedes is the current term of the unit at its place in the stream. A
// release takes effect only if Node owns the unit.
type Record struct {
	Op         Op              `cbor:"1,keyasint"`
	Unit       Unit            `cbor:"2,keyasint"`
	Node       string          `cbor:"3,keyasint"`
	Supersedes platform.Offset `cbor:"4,keyasint"` // current term of the unit; None for none
}

// Encode returns the data of a record.
func (r Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// DecodeRecord returns the record with the given data.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("ownership record: %w", err)
	}
	return r, nil
}

// Holding is the state of one unit. After a release the Node is empty and the
// Term is that of the release, so that terms only grow.
type Holding struct {
	Unit  Unit  `cbor:"1,keyasint"`
	Claim Claim `cbor:"2,keyasint"`
	Since int64 `cbor:"3,keyasint"` // platform's time of the winning record, ns since 1970
}

// Machine interprets the ownership stream. It implements stream.Machine.
type Machine struct {
	units map[Unit]Holding
}

// NewMachine returns a machine in which nothing is claimed.
func NewMachine() *Machine { return &Machine{units: make(map[Unit]Holding)} }

// Apply implements stream.Machine.
func (m *Machine) Apply(r platform.Record) {
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return
	}
	h := m.Holding(rec.Unit)
	if h.Claim.Term != rec.Supersedes {
		return
	}
	switch rec.Op {
	case OpClaim:
		h.Claim = Claim{Node: rec.Node, Term: r.Offset}
	case OpRelease:
		if h.Claim.Node != rec.Node {
			return
		}
		h.Claim = Claim{Term: r.Offset}
	default:
		return
	}
	h.Since = r.Time.UnixNano()
	m.units[rec.Unit] = h
}

// Holding returns the state of a unit.
func (m *Machine) Holding(u Unit) Holding {
	h, ok := m.units[u]
	if !ok {
		return Holding{Unit: u, Claim: Claim{Term: None}}
	}
	return h
}

// Holdings returns the states of all units that were ever claimed, sorted.
func (m *Machine) Holdings() []Holding {
	out := make([]Holding, 0, len(m.units))
	for _, h := range m.units {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Holding) int { return compareUnits(a.Unit, b.Unit) })
	return out
}

func compareUnits(a, b Unit) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(string(a.Path), string(b.Path))
}

// Snapshot implements stream.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return cbor.Marshal(m.Holdings()) }

// Restore implements stream.Machine.
func (m *Machine) Restore(data []byte) error {
	var all []Holding
	if err := cbor.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("ownership snapshot: %w", err)
	}
	units := make(map[Unit]Holding, len(all))
	for _, h := range all {
		units[h.Unit] = h
	}
	m.units = units
	return nil
}
