package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

const clashing = `
policy: {tasks: {lease: 8s}}
routes:
  - {prefix: /, method: GET, class: idempotent}
branches:
  zavod:
    kind: organisation
    policy: {tasks: {view-age: 3s}, requests: {deadline: 4s}}
    branches:
      east: {kind: region, branches: {a: {kind: failure-domain, out: true, branches: {rack-1: {kind: rack}}}}}
      desk: {kind: service, routes: [{prefix: /v1/orders, method: POST, class: non-idempotent}]}
      runs: {kind: team, quota: {milli-cpu: 1000, memory-mb: 1024}, policy: {requests: {deadline: 1s}}}
  authority:
    kind: organisation
    remove: [policy.tasks, routes GET /]
    branches:
      east: {kind: region, branches: {a: {kind: failure-domain, branches: {rack-1: {kind: rack}}}}}
      desk: {kind: service}
      runs: {kind: team, quota: {milli-cpu: 2000, memory-mb: 2048}, weight: 2}
`

func TestInheritance(t *testing.T) {
	Convey("Given one tree of two organisations with the same names below", t, func() {
		tree, err := Build("tree.yaml", []byte(clashing))
		So(err, ShouldBeNil)
		v := tree.View()
		Convey("each failure domain, service and team keeps its own path", func() {
			So(v.Domains, ShouldResemble, []FailureDomain{
				{Path: "authority/east/a", Region: "authority/east"},
				{Path: "zavod/east/a", Region: "zavod/east", Out: true},
			})
			So(v.IsOut("zavod/east/a/rack-1"), ShouldBeTrue)
			So(v.IsOut("authority/east/a/rack-1"), ShouldBeFalse)
			So(v.Teams[0], ShouldResemble, Team{Path: "authority/runs", Quota: fleet.Resources{MilliCPU: 2000, MemoryMB: 2048}, Weight: 2})
			So(v.Teams[1].Weight, ShouldEqual, 1)
		})
		Convey("values come from the nearest branch, and removal restores the default", func() {
			So(v.PolicyAt("zavod/east/a").Tasks.Lease.String(), ShouldEqual, "8s")
			So(v.PolicyAt("zavod/runs").Requests.Deadline.String(), ShouldEqual, "1s")
			So(v.PolicyAt("authority/runs").Tasks.Lease, ShouldEqual, DefaultPolicy().Tasks.Lease)
		})
		Convey("routes merge by method and prefix", func() {
			So(v.Services[0].Routes, ShouldBeEmpty)
			So(v.Services[1].Routes, ShouldResemble, []Route{
				{Prefix: "/", Method: "GET", Class: fleet.Idempotent},
				{Prefix: "/v1/orders", Method: "POST", Class: fleet.NonIdempotent},
			})
		})
		Convey("each value names its branch and line", func() {
			lines := effectiveLines(tree, "zavod/runs")
			So(lines, ShouldContain, "policy.tasks.lease = 8s (/, tree.yaml:2)")
			So(lines, ShouldContain, "policy.tasks.view-age = 3s (zavod, tree.yaml:8)")
			So(lines, ShouldContain, "quota.milli-cpu = 1000 (zavod/runs, tree.yaml:12)")
			So(lines, ShouldContain, "weight = 1 (default)")
		})
	})
}

func effectiveLines(tree *Tree, path fleet.Path) []string {
	values, _ := tree.Effective(path)
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = v.String()
	}
	return out
}

func TestCheckReportsAllFindings(t *testing.T) {
	const text = `kind: team
polcy: {}
log: {appends-per-second: -1}
branches:
  zavod:
    kind: organisation
    out: true
    remove: [policy.tasks.lease, nonsense]
    policy:
      tasks: {lease: 10m, view-age: soon, max-attempts: 2, max-attempts: 3}
      weights: {tail-latency: .nan}
    branches:
      a/b: {}
      a: {kind: failure-domain}
      runs: {kind: team, quota: {milli-cpu: 1000}}
      desk: {kind: service, routes: [{prefix: v1, class: often}]}
      desk: {kind: service}
`
	Convey("All faults are reported at once, each with its place", t, func() {
		lines := strings.Split(Check("bad.yaml", []byte(text)).Error(), "\n")
		So(lines, ShouldResemble, []string{
			`bad.yaml:1:7: /: kind: the root has no kind`,
			`bad.yaml:2:1: /: polcy: unknown key`,
			`bad.yaml:3:27: /: log.appends-per-second: -1 is not between 0.1 and 1000`,
			`bad.yaml:7:10: zavod: out: may not be set on a branch of kind organisation`,
			`bad.yaml:8:14: zavod: remove: "policy.tasks.lease" is set by no branch above`,
			`bad.yaml:8:34: zavod: remove: "nonsense" names nothing that is inherited`,
			`bad.yaml:10:22: zavod: policy.tasks.lease: 10m0s is not between 1s and 1m0s`,
			`bad.yaml:10:37: zavod: policy.tasks.view-age: "soon" is not a duration such as 1.5s`,
			`bad.yaml:10:60: zavod: policy.tasks.max-attempts: stands twice`,
			`bad.yaml:11:31: zavod: policy.weights.tail-latency: ".nan" is not a number`,
			`bad.yaml:13:7: zavod: branches: "a/b" is not a name of letters, digits, - and _`,
			`bad.yaml:14:17: zavod/a: kind: failure-domain may not stand below organisation`,
			`bad.yaml:15:45: zavod/runs: quota: a team needs a quota of milli-cpu and memory-mb above 0`,
			`bad.yaml:16:38: zavod/desk: routes: prefix "v1" does not start with / or has a space`,
			`bad.yaml:16:38: zavod/desk: routes: unknown class "often"`,
			`bad.yaml:17:7: zavod: branches: name "desk" stands twice`,
		})
	})
	Convey("Two services with the same route need distinct hosts", t, func() {
		const both = `{routes: [{prefix: /, class: watch}], branches: {a: {kind: service, hosts: [x.example, y.example]}, b: {kind: service, hosts: [%s]}}}`
		So(Check("f", fmt.Appendf(nil, both, "z.example")).Err(), ShouldBeNil)
		So(Check("f", fmt.Appendf(nil, both, "y.example")).Error(), ShouldContainSubstring, `b: routes: * / with host y.example belongs to service "a" already`)
		So(Check("f", fmt.Appendf(nil, both, "Z:80")).Error(), ShouldContainSubstring, `"Z:80" is not a name`)
	})
	Convey("Trees whose check would take long are refused", t, func() {
		var routes, branches strings.Builder
		for i := range maxBranches + 1 {
			fmt.Fprintf(&routes, "{prefix: /%d, class: watch}, ", i)
			fmt.Fprintf(&branches, "b%d: {}, ", i)
		}
		So(Check("f", []byte("routes: ["+routes.String()+"]")).Error(), ShouldEqual, "f:1:1: /: routes: 10001 routes, more than 128")
		So(Check("f", []byte("branches: {"+branches.String()+"}")).Error(), ShouldContainSubstring, "more than 10000 branches")
	})
	Convey("Aliases and several documents are refused", t, func() {
		So(Check("f", []byte("a: &x {}\nb: *x\n")).Error(), ShouldContainSubstring, "aliases are not allowed")
		So(Check("f", []byte("{}\n---\n{}\n")).Error(), ShouldContainSubstring, "more than one YAML document")
		So(Check("f", []byte("branches: {a: "+strings.Repeat("{branches: {a: ", 70)+strings.Repeat("}}", 70)+"}")).Error(), ShouldContainSubstring, "nested deeper")
	})
}

func TestExamplesAreClean(t *testing.T) {
	Convey("Every example tree passes the check", t, func() {
		for _, name := range []string{"demo", "frula-registry", "flooring-order-desk", "merged"} {
			file := "../examples/" + name + ".yaml"
			data, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			So(Check(file, data).Err(), ShouldBeNil)
		}
	})
}

func FuzzApply(f *testing.F) {
	for _, operation := range []Operation{Replace, TakeOut, Revert} {
		data, err := Edit{Author: "a", Base: -1, Operation: operation, Text: clashing}.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewMachine()
		m.Apply(platform.Record{Offset: 0, ID: "a", Data: data})
		m.Apply(platform.Record{Offset: 1, ID: "b", Data: data})
		_ = NewMachine().Restore(data)
		snapshot, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewMachine().Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(clashing))
	f.Add([]byte("a: &x [*x]\n"))
	f.Add([]byte("? {a: b}\n: c\nbranches: [\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Build("f", data)
		if err != nil {
			return
		}
		for _, team := range tree.View().Teams {
			if _, ok := tree.Effective(team.Path); !ok {
				t.Fatalf("team %q has no branch", team.Path)
			}
		}
	})
}
