package ownership

import "github.com/peridotlock/peridotlock/membership"

// Reader runs a function while nothing is applied; *stream.Replica is one.
type Reader interface {
	Read(fn func())
}

// MachineDirectory implements Directory on a machine and the view of members.
type MachineDirectory struct {
	machine *Machine
	reader  Reader
	members func() []membership.Member
}

// NewDirectory returns a directory of the claims in m, which reader guards.
func NewDirectory(m *Machine, reader Reader, members func() []membership.Member) *MachineDirectory {
	return &MachineDirectory{machine: m, reader: reader, members: members}
}

// Owner implements Directory.
func (d *MachineDirectory) Owner(u Unit) (Claim, string, bool) {
	var c Claim
	d.reader.Read(func() { c = d.machine.Holding(u).Claim })
	if c.Node == "" {
		return c, "", false
	}
	for _, m := range d.members() {
		if m.ID == c.Node && m.Control != "" {
			return c, m.Control, true
		}
	}
	return c, "", false
}
