package place

import (
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
)

// filter returns a reason when the VM can't take the task, or "".
type filter func(v *VM, r Request) (Reason, fleet.Resources)

// filters run in this order; the first reason is reported.
var filters = []filter{
	filterState,
	filterDomain,
	filterAvoided,
	filterSize,
}

func refuse(v *VM, r Request) (Refusal, bool) {
	for _, f := range filters {
		if reason, lacks := f(v, r); reason != "" {
			return Refusal{VM: v.ID, Reason: reason, Shortfall: lacks}, true
		}
	}
	return Refusal{}, false
}

func filterState(v *VM, _ Request) (Reason, fleet.Resources) {
	switch {
	case v.Out:
		return DomainOut, fleet.Resources{}
	case v.Leaving:
		return VMLeaving, fleet.Resources{}
	case v.Unreachable:
		return VMUnreachable, fleet.Resources{}
	case v.Quarantined:
		return VMQuarantined, fleet.Resources{}
	}
	return "", fleet.Resources{}
}

func filterDomain(v *VM, r Request) (Reason, fleet.Resources) {
	if len(r.FailureDomains) == 0 {
		return "", fleet.Resources{}
	}
	holds := func(p fleet.Path) bool { return p.Contains(v.FailureDomain) }
	if slices.ContainsFunc(r.FailureDomains, holds) {
		return "", fleet.Resources{}
	}
	return DomainExcluded, fleet.Resources{}
}

func filterAvoided(v *VM, r Request) (Reason, fleet.Resources) {
	if slices.Contains(r.Avoid, v.ID) {
		return VMAvoided, fleet.Resources{}
	}
	return "", fleet.Resources{}
}

// filterSize holds the task against what is committed and against what is
// measured, whichever is larger.
func filterSize(v *VM, r Request) (Reason, fleet.Resources) {
	free := v.Size.Sub(v.Committed.Max(v.Measured))
	lacks := r.Size.Sub(free).Max(fleet.Resources{})
	switch {
	case lacks.MilliCPU > 0:
		return NoCPU, lacks
	case lacks.MemoryMB > 0:
		return NoMemory, lacks
	case lacks.Accelerators > 0:
		return NoAccelerator, lacks
	}
	return "", fleet.Resources{}
}
