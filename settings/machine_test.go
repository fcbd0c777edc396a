package settings

import (
	"errors"
	"maps"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

func drawEdit(t *rapid.T, m *Machine, next platform.Offset) (Edit, flat) {
	operations := []Operation{Replace, Replace, Replace, TakeOut, BringBack, Revert}
	e := Edit{
		Author:    rapid.SampledFrom([]string{"ana", "iva"}).Draw(t, "author"),
		Branch:    rapid.SampledFrom(paths()).Draw(t, "branch"),
		Operation: rapid.SampledFrom(operations).Draw(t, "operation"),
	}
	e.Base = m.BranchRevision(e.Branch)
	if rapid.IntRange(0, 2).Draw(t, "stale") == 0 {
		e.Base = platform.Offset(rapid.Int64Range(-1, int64(next)-1).Draw(t, "base"))
	}
	var doc flat
	switch e.Operation {
	case Replace:
		doc = genFlat(t, e.Branch)
		e.File = "f"
		e.Text = doc.yaml(e.Branch)
	case Revert:
		e.Revision = platform.Offset(rapid.Int64Range(-1, int64(next)-1).Draw(t, "revision"))
	}
	return e, doc
}

func recordOf(t *rapid.T, e Edit, at platform.Offset) platform.Record {
	data, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return platform.Record{Offset: at, ID: "id-" + time.Duration(at).String(), Time: time.Unix(int64(at), 5), Data: data}
}

func TestRecordsPackLongTexts(t *testing.T) {
	want := Edit{Branch: "a", Author: "ana", Operation: Replace, Text: benchTree(2 * benchTeams)}
	data, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeEdit(data)
	if err != nil || got != want {
		t.Fatalf("%+v, %v", got, err)
	}
	if len(data) > len(want.Text)/4 {
		t.Fatalf("a record of %d bytes for a text of %d", len(data), len(want.Text))
	}
	bomb, err := deflate(make([]byte, MaxDocumentBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	data, err = cbor.Marshal(record{Packed: bomb})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeEdit(data); !errors.Is(err, errTooLarge) {
		t.Fatalf("%v", err)
	}
}

func restored(t *rapid.T, m *Machine) *Machine {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	out := NewMachine()
	if err := out.Restore(data); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestMachineAgainstNaive holds the machine, and one that is restored from a
// snapshot again and again, against an interpreter that compares whole states.
func TestMachineAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, other, n := NewMachine(), NewMachine(), newNaive()
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		for at := platform.Offset(0); at < platform.Offset(steps); at++ {
			e, doc := drawEdit(t, m, at)
			r := recordOf(t, e, at)
			want := n.interpret(e, doc, at)
			trial := m.Trial(e).Result
			m.Apply(r)
			m.Apply(r)
			if rapid.Bool().Draw(t, "restore") {
				other = restored(t, other)
			}
			other.Apply(r)
			c, ok := m.Outcome(r.ID)
			if !ok || c.Result != want || trial != want {
				t.Fatalf("revision %d: %+v: got %s %s %v %v, want %s", at, e, c.Result, c.Detail, c.Conflicts, c.Findings, want)
			}
			if got := flatten(m.root); !maps.Equal(got, n.now().facts) {
				t.Fatalf("revision %d: %+v\ngot  %v\nwant %v", at, e, got, n.now().facts)
			}
			checkDocument(t, m, rapid.SampledFrom(paths()).Draw(t, "document"))
		}
		checkSame(t, m, other)
	})
}

// checkDocument republishes a branch's own document, which must change nothing.
func checkDocument(t *rapid.T, m *Machine, path fleet.Path) {
	if m.root.find(path) == nil {
		return
	}
	d, _, err := m.Current(path)
	if err != nil {
		t.Fatal(err)
	}
	p := m.proposeDocument(d)
	if len(p.found) > 0 || !maps.Equal(flatten(p.root), flatten(m.root)) {
		t.Fatalf("document of %q changes the tree: %v\n%s", path, p.found, d.Text)
	}
}

func checkSame(t *rapid.T, m, other *Machine) {
	a, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b, err := other.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if string(a) != string(b) {
		t.Fatalf("the state differs after restores")
	}
}
