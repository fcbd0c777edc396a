package place

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/settings"
)

var equalWeights = settings.Weights{TailLatency: 1, Throughput: 1, Evictions: 1}

func vm(id string) VM {
	return VM{ID: id, FailureDomain: "zavod/kontinent/zagreb-a", Size: fleet.Resources{MilliCPU: 4000, MemoryMB: 4096}}
}

func TestFilters(t *testing.T) {
	task := Request{Task: "t", Kind: "k", Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 1024}}
	cases := []struct {
		name      string
		change    func(v *VM, r *Request)
		want      Reason
		shortfall fleet.Resources
	}{
		{"fits", func(*VM, *Request) {}, "", fleet.Resources{}},
		{"domain out", func(v *VM, _ *Request) { v.Out = true }, DomainOut, fleet.Resources{}},
		{"leaving", func(v *VM, _ *Request) { v.Leaving = true }, VMLeaving, fleet.Resources{}},
		{"unreachable", func(v *VM, _ *Request) { v.Unreachable = true }, VMUnreachable, fleet.Resources{}},
		{"quarantined", func(v *VM, _ *Request) { v.Quarantined = true }, VMQuarantined, fleet.Resources{}},
		{"avoided", func(v *VM, r *Request) { r.Avoid = []string{v.ID} }, VMAvoided, fleet.Resources{}},
		{"domain not allowed", func(_ *VM, r *Request) { r.FailureDomains = []fleet.Path{"zavod/kontinent/zagreb"} }, DomainExcluded, fleet.Resources{}},
		{"domain allowed by its region", func(_ *VM, r *Request) { r.FailureDomains = []fleet.Path{"zavod/kontinent"} }, "", fleet.Resources{}},
		{"processor", func(v *VM, _ *Request) { v.Committed.MilliCPU = 3500 }, NoCPU, fleet.Resources{MilliCPU: 500}},
		{"measured memory", func(v *VM, _ *Request) { v.Measured.MemoryMB = 4000 }, NoMemory, fleet.Resources{MemoryMB: 928}},
		{"accelerator", func(_ *VM, r *Request) { r.Size.Accelerators = 1 }, NoAccelerator, fleet.Resources{Accelerators: 1}},
	}
	Convey("Each filter returns its reason and the missing resources", t, func() {
		for _, c := range cases {
			v, r := vm("a"), task
			c.change(&v, &r)
			d := Choose([]VM{v}, r, equalWeights, interference.None{})
			if c.want == "" {
				So(d.VM, ShouldEqual, "a")
				continue
			}
			So(d.VM, ShouldBeEmpty)
			So(d.Refusals, ShouldResemble, []Refusal{{VM: "a", Reason: c.want, Shortfall: c.shortfall}})
		}
	})
}

func TestScores(t *testing.T) {
	Convey("Given two VMs", t, func() {
		r := Request{Kind: "appraisal", Class: fleet.Batch, Size: fleet.Resources{MilliCPU: 500, MemoryMB: 512}}
		Convey("a batch task avoids the VM whose latency-critical task it would slow if the weights favour tail latency", func() {
			m := interference.NewLearnedModel(interference.Options{})
			for range 100 {
				m.Observe("registry", []string{"appraisal"}, 3)
			}
			busy, idle := vm("busy"), vm("idle")
			busy.Tasks = []Resident{{Kind: "registry", Class: fleet.LatencyCritical}}
			idle.Committed = fleet.Resources{MilliCPU: 3000, MemoryMB: 3072}
			So(Choose([]VM{busy, idle}, r, settings.Weights{TailLatency: 1}, m).VM, ShouldEqual, "idle")
			So(Choose([]VM{busy, idle}, r, settings.Weights{Evictions: 1}, m).VM, ShouldEqual, "busy")
		})
		Convey("a latency-critical task prefers the VM that already runs one, and a batch task the other", func() {
			latencyCritical := Request{Kind: "registry", Class: fleet.LatencyCritical, Size: r.Size}
			shared, empty := vm("shared"), vm("empty")
			shared.Tasks = []Resident{{Kind: "registry", Class: fleet.LatencyCritical}}
			shared.Committed = r.Size
			So(Choose([]VM{empty, shared}, latencyCritical, equalWeights, interference.None{}).VM, ShouldEqual, "shared")
			So(Choose([]VM{empty, shared}, r, equalWeights, interference.None{}).VM, ShouldEqual, "empty")
		})
		Convey("a task without accelerators prefers the VM without accelerators", func() {
			plain, gpu := vm("plain"), vm("gpu")
			gpu.Size.Accelerators = 2
			So(Choose([]VM{gpu, plain}, r, equalWeights, interference.None{}).VM, ShouldEqual, "plain")
		})
	})
}

func TestChooseNeverOvercommits(t *testing.T) {
	resources := rapid.Custom(func(t *rapid.T) fleet.Resources {
		return fleet.Resources{
			MilliCPU:     rapid.Int64Range(0, 8000).Draw(t, "cpu"),
			MemoryMB:     rapid.Int64Range(0, 8000).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, 4).Draw(t, "accelerators"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		v := VM{ID: "a", Size: resources.Draw(t, "size"), Committed: resources.Draw(t, "committed"), Measured: resources.Draw(t, "measured")}
		r := Request{Size: resources.Draw(t, "task")}
		d := Choose([]VM{v}, r, equalWeights, interference.None{})
		fits := v.Committed.Add(r.Size).Fits(v.Size) && v.Measured.Add(r.Size).Fits(v.Size)
		if (d.VM != "") != fits {
			t.Fatalf("Choose returned VM %q, want a VM: %v", d.VM, fits)
		}
	})
}
