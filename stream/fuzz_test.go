package stream

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/platform"
)

// FuzzApply feeds arbitrary records to an applier and to the search for
// snapshots: nothing panics, the offset never moves back, an entry is applied
// once, and what is exported can be restored.
func FuzzApply(f *testing.F) {
	m, _ := cbor.Marshal(marker{Records: []string{"a~1"}})
	e, _ := cbor.Marshal(envelope{Covers: 1, State: []byte{0x80}})
	p, _ := cbor.Marshal(part{Snapshot: "s", Count: 1, Data: e})
	f.Add("!v1", m, "a~1", []byte("x"))
	f.Add("!ss.0~1", p, "a~2", []byte("x"))
	f.Add("a", []byte{}, "a~9", []byte{})
	f.Fuzz(func(t *testing.T, id1 string, data1 []byte, id2 string, data2 []byte) {
		a := applier{machine: &listMachine{}}
		var parts assembly
		for i := range 8 {
			r := platform.Record{Offset: platform.Offset(i), ID: id1, Data: data1, Time: time.Unix(int64(i), 0)}
			if i%2 == 1 {
				r.ID, r.Data = id2, data2
			}
			before := a.next
			a.apply(r)
			if a.next <= before {
				t.Fatalf("moved from %d to %d", before, a.next)
			}
			if whole, ok := addPart(&parts, r); ok {
				probe := applier{machine: &listMachine{}}
				probe.restore(whole)
			}
		}
		if n := len(a.machine.(*listMachine).applied); n > 2 {
			t.Fatalf("two ids were applied %d times", n)
		}
		data, err := a.export()
		if err != nil {
			t.Fatal(err)
		}
		newcomer := applier{machine: &listMachine{}}
		if moved, err := newcomer.restore(data); !moved || err != nil {
			t.Fatalf("restore: %v %v", moved, err)
		}
	})
}
