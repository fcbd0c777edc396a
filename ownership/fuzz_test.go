package ownership

import (
	"testing"

	"github.com/peridotlock/peridotlock/platform"
)

// FuzzApply feeds arbitrary records: nothing panics, terms only grow, and a
// snapshot of the result can be restored.
func FuzzApply(f *testing.F) {
	claim, _ := Record{Op: OpClaim, Unit: Unit{Rack, "a/r1"}, Node: "n1", Supersedes: None}.Encode()
	release, _ := Record{Op: OpRelease, Unit: Unit{Rack, "a/r1"}, Node: "n1", Supersedes: 0}.Encode()
	f.Add(claim, release)
	f.Add(release, []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		m := NewMachine()
		terms := map[Unit]platform.Offset{}
		for i, data := range [][]byte{first, second, first} {
			m.Apply(platform.Record{Offset: platform.Offset(i), Data: data})
			for _, h := range m.Holdings() {
				if old, ok := terms[h.Unit]; ok && h.Claim.Term < old {
					t.Fatalf("term of %s fell from %d to %d", h.Unit, old, h.Claim.Term)
				}
				terms[h.Unit] = h.Claim.Term
			}
		}
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewMachine().Restore(data); err != nil {
			t.Fatal(err)
		}
	})
}
