package experiment

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

const diffTeam = fleet.Path("zavod/certificates")

// drawVMs returns four workers in two racks and failure domains.
func drawVMs() []platform.VM {
	var out []platform.VM
	for i := range 4 {
		domain := fleet.Path(fmt.Sprintf("z/d%d", i/2))
		out = append(out, platform.VM{
			ID: fmt.Sprintf("w%d", i), Kind: platform.KindWorker, State: platform.VMLive, FailureDomain: domain,
			Rack: domain.Join("r"), Size: fleet.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: int64(i % 2)},
		})
	}
	return out
}

func drawSpec(t *rapid.T, i int) job.Spec {
	return job.Spec{
		Name: rapid.SampledFrom([]string{"good", "good", "good", "good", "broken"}).Draw(t, "name"),
		Team: diffTeam, Kind: rapid.SampledFrom([]string{"certificate", "noisy"}).Draw(t, "kind"),
		Class: fleet.Batch, Count: rapid.IntRange(1, 4).Draw(t, "count"), Urgent: rapid.Bool().Draw(t, "urgent"),
		Size: fleet.Resources{
			MilliCPU:     rapid.Int64Range(1, 9).Draw(t, "cpu") * 500,
			MemoryMB:     rapid.Int64Range(1, 9).Draw(t, "memory") * 500,
			Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
		},
		RunTime:        time.Duration(rapid.IntRange(10, 120).Draw(t, "run time")) * time.Second,
		Deadline:       time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Second,
		IdempotencyKey: fmt.Sprint("k", i),
	}
}

// drawFault returns a fault that is over after 20 minutes.
func drawFault(t *rapid.T) Fault {
	from := time.Duration(rapid.IntRange(0, 600).Draw(t, "from")) * time.Second
	f := Fault{From: from, Until: from + time.Duration(rapid.IntRange(5, 600).Draw(t, "length"))*time.Second}
	switch rapid.SampledFrom([]string{"out", "cut", "log", "takeover"}).Draw(t, "fault") {
	case "out":
		f.Domain = rapid.SampledFrom([]fleet.Path{"z/d0", "z/d1"}).Draw(t, "domain")
	case "cut":
		f.VM = rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"}).Draw(t, "VM")
	case "log":
		f.Log = true
	case "takeover":
		f.Takeover = true
	}
	return f
}

func drawConfig(t *rapid.T) Config {
	c := Config{VMs: drawVMs(), Duration: 2 * time.Hour, Step: 5 * time.Second}
	at := time.Duration(0)
	var specs []job.Spec
	for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		at += time.Duration(rapid.IntRange(0, 120).Draw(t, "gap")) * time.Second
		specs = append(specs, drawSpec(t, i))
		c.Arrivals = append(c.Arrivals, Arrival{At: at, Spec: specs[i]})
	}
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		c.Faults = append(c.Faults, drawFault(t))
	}
	for range rapid.IntRange(0, 3).Draw(t, "cancellations") {
		c.Cancels = append(c.Cancels, Cancellation{
			At:  time.Duration(rapid.IntRange(0, 900).Draw(t, "at")) * time.Second,
			Key: fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "job")),
		})
	}
	if rapid.Bool().Draw(t, "bad worker") {
		c.Bad = []string{"w0"}
	}
	c.World = NewWorld(1, func(task string) job.Spec {
		var number, index int
		name := strings.TrimPrefix(task, string(diffTeam)+"/")
		if _, err := fmt.Sscanf(name, "j%d/%d", &number, &index); err != nil {
			t.Fatal(err)
		}
		return specs[number-1]
	})
	return c
}

// isCancelled reports whether the job was cancelled in the step of its
// submission or later.
func isCancelled(c Config, a Arrival) bool {
	return slices.ContainsFunc(c.Cancels, func(x Cancellation) bool { return x.Key == a.Spec.IdempotencyKey && x.At > a.At-c.Step })
}

// wanted is how a job ends whatever the faults, given time.
func wanted(c Config, s job.Spec) job.State {
	fits := false
	for _, vm := range c.VMs {
		fits = fits || s.Size.Fits(vm.Size)
	}
	switch {
	case !fits:
		return job.Unschedulable
	case s.Name == "broken":
		return job.Failed
	}
	return job.Finished
}

func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		policy := settings.DefaultPolicy()
		policy.Tasks.OutageAllowance = time.Minute
		pure, naive := NewPure(diffTeam, policy, c.VMs), NewNaive()
		for _, r := range []Result{Run(c, pure), Run(c, naive)} {
			if len(r.Violations) > 0 {
				t.Fatalf("violations: %v", r.Violations)
			}
		}
		ends := make(map[string]job.State)
		for _, e := range pure.Ended() {
			ends[e.Key] = e.State
		}
		for _, a := range c.Arrivals {
			got := ends[a.Spec.IdempotencyKey]
			if isCancelled(c, a) && got.IsFinal() {
				continue
			}
			if got != wanted(c, a.Spec) {
				t.Fatalf("job %s ended as %q, want %q", a.Spec.IdempotencyKey, got, wanted(c, a.Spec))
			}
		}
		for _, e := range naive.Ended() {
			if e.State == job.Finished && len(c.Cancels) == 0 && ends[e.Key] != job.Finished {
				t.Fatalf("naive finished job %s, the other did not", e.Key)
			}
		}
	})
}
