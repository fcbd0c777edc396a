package settings

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// The size of the larger deployment: 620 workers of 10 a rack.
const (
	benchRegions = 3
	benchDomains = 11
	benchRacks   = 62
	benchTeams   = 81
)

// benchTree returns a tree with the given number of teams, each of which
// overrides two values.
func benchTree(teams int) string {
	var b strings.Builder
	b.WriteString("policy: {tasks: {lease: 6s}}\nbranches:\n  org:\n    kind: organisation\n    branches:\n")
	rack, domain := 0, 0
	for r := range benchRegions {
		fmt.Fprintf(&b, "      region-%d:\n        kind: region\n        branches:\n", r)
		for ; domain < benchDomains*(r+1)/benchRegions; domain++ {
			fmt.Fprintf(&b, "          domain-%d:\n            kind: failure-domain\n            branches:\n", domain)
			for ; rack < benchRacks*(domain+1)/benchDomains; rack++ {
				fmt.Fprintf(&b, "              rack-%d: {kind: rack}\n", rack)
			}
		}
	}
	for i := range teams {
		fmt.Fprintf(&b, "      team-%d:\n        kind: team\n        quota: {milli-cpu: 4000, memory-mb: 8000}\n", i)
		fmt.Fprintf(&b, "        weight: 2\n        policy: {tasks: {max-attempts: %d}}\n", i%9+1)
	}
	return b.String()
}

func BenchmarkCheckAndResolve(b *testing.B) {
	data := []byte(benchTree(benchTeams))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Build("tree.yaml", data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "document-bytes")
}

func applyBench(tb testing.TB, m *Machine, at int, e Edit) {
	e.Author = "ana"
	e.Base = m.BranchRevision(e.Branch)
	data, err := e.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	id := fmt.Sprintf("id-%d", at)
	m.Apply(platform.Record{Offset: platform.Offset(at), ID: id, Time: time.Unix(int64(at), 0), Data: data})
	if c, ok := m.Outcome(id); !ok || c.Result != Applied {
		tb.Fatalf("%+v", c)
	}
}

func teamEdit(i int) Edit {
	text := fmt.Sprintf("kind: team\nquota: {milli-cpu: %d, memory-mb: 8000}\n", i+1)
	return Edit{Branch: fleet.Path(fmt.Sprintf("org/team-%d", i%benchTeams)), Operation: Replace, File: "team.yaml", Text: text}
}

func benchMachine(tb testing.TB, teams int) *Machine {
	m := NewMachine()
	applyBench(tb, m, 0, Edit{Operation: Replace, File: "tree.yaml", Text: benchTree(teams)})
	return m
}

func BenchmarkApplyTeamEdit(b *testing.B) {
	m := benchMachine(b, benchTeams)
	b.ReportAllocs()
	at := 1
	for b.Loop() {
		applyBench(b, m, at, teamEdit(at))
		at++
	}
}

func BenchmarkApplyTakeOut(b *testing.B) {
	m := benchMachine(b, benchTeams)
	b.ReportAllocs()
	at := 1
	for b.Loop() {
		operation := TakeOut
		if at%2 == 0 {
			operation = BringBack
		}
		applyBench(b, m, at, Edit{Branch: "org/region-0/domain-0", Operation: operation})
		at++
	}
}

// heapOf returns the bytes that live on after build.
func heapOf(build func() *Machine) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(m)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func snapshotBytes(b *testing.B, m *Machine) float64 {
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

func recordBytes(b *testing.B, e Edit) float64 {
	e.Author = "ana"
	data, err := e.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// BenchmarkState reports the bytes of a machine, in memory and in a snapshot,
// and how they grow with branches and with changes.
func BenchmarkState(b *testing.B) {
	const moreTeams, changes = 10 * benchTeams, 240
	edited := func() *Machine {
		m := benchMachine(b, benchTeams)
		for at := 1; at <= changes; at++ {
			applyBench(b, m, at, teamEdit(at))
		}
		return m
	}
	var small, large, after float64
	for b.Loop() {
		small = heapOf(func() *Machine { return benchMachine(b, benchTeams) })
		large = heapOf(func() *Machine { return benchMachine(b, moreTeams) })
		after = heapOf(edited)
	}
	b.ReportMetric(small, "heap-bytes")
	b.ReportMetric((large-small)/(moreTeams-benchTeams), "heap-bytes/branch")
	b.ReportMetric((after-small)/changes, "heap-bytes/change")
	one := snapshotBytes(b, benchMachine(b, benchTeams))
	b.ReportMetric(one, "snapshot-bytes")
	b.ReportMetric((snapshotBytes(b, benchMachine(b, moreTeams))-one)/(moreTeams-benchTeams), "snapshot-bytes/branch")
	b.ReportMetric((snapshotBytes(b, edited())-one)/changes, "snapshot-bytes/change")
	b.ReportMetric(recordBytes(b, Edit{Text: benchTree(benchTeams)}), "record-bytes/tree")
	b.ReportMetric(recordBytes(b, teamEdit(1)), "record-bytes/team")
	b.ReportMetric(recordBytes(b, Edit{Branch: "org/region-0/domain-0", Operation: TakeOut}), "record-bytes/mark")
}
