package queue

import (
	"fmt"
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
)

// Shortfall says that no VM could hold a task even when empty: the VM that
// lacks least, and what it lacks.
type Shortfall struct {
	VM    string
	Size  fleet.Resources
	Lacks fleet.Resources
	Where string // set when no VM is in an allowed failure domain
}

// String implements fmt.Stringer.
func (s Shortfall) String() string {
	if s.VM == "" {
		return "no worker in the allowed failure domains " + s.Where
	}
	return fmt.Sprintf("no worker can hold a task: nearest is VM %s with %s, it lacks %s", s.VM, s.Size, s.Lacks)
}

// Unfit returns the shortfall of a job that no worker of the list could hold.
// An empty list judges nothing.
func Unfit(vms []platform.VM, s job.Spec) (Shortfall, bool) {
	workers := 0
	var best Shortfall
	for _, vm := range vms {
		if vm.Kind != platform.KindWorker {
			continue
		}
		workers++
		if !allows(s.FailureDomains, vm.FailureDomain) {
			continue
		}
		lacks := s.Size.Sub(vm.Size).Max(fleet.Resources{})
		if lacks.IsZero() {
			return Shortfall{}, false
		}
		if best.VM == "" || deficit(lacks, vm.Size) < deficit(best.Lacks, best.Size) {
			best = Shortfall{VM: vm.ID, Size: vm.Size, Lacks: lacks}
		}
	}
	if best.VM == "" {
		best.Where = fmt.Sprint(s.FailureDomains)
	}
	return best, workers > 0
}

// Avoid returns the VMs on which a task failed, or nil when no other worker
// could hold it: then it may only be tried there again.
func Avoid(vms []platform.VM, s job.Spec, failedOn []string) []string {
	if len(failedOn) == 0 {
		return nil
	}
	other := func(vm platform.VM) bool {
		return vm.Kind == platform.KindWorker && s.Size.Fits(vm.Size) &&
			allows(s.FailureDomains, vm.FailureDomain) && !slices.Contains(failedOn, vm.ID)
	}
	if slices.ContainsFunc(vms, other) {
		return failedOn
	}
	return nil
}

func allows(domains []fleet.Path, domain fleet.Path) bool {
	holds := func(p fleet.Path) bool { return p.Contains(domain) }
	return len(domains) == 0 || slices.ContainsFunc(domains, holds)
}

// deficit rates what is missing as parts of the VM's size. A missing
// accelerator counts most, since no other VM of the same shape has one.
func deficit(lacks, size fleet.Resources) float64 {
	part := func(lack, have int64) float64 { return float64(lack) / float64(max(have, 1)) }
	return part(lacks.MilliCPU, size.MilliCPU) + part(lacks.MemoryMB, size.MemoryMB) + float64(lacks.Accelerators)
}
