package queue

import (
	"cmp"
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/rack"
)

// maxRefusals is the maximum number of VMs that a reason names.
const maxRefusals = 3

// RackSelector selects racks for tasks from the racks' summaries. It deducts the
// resources of each task that it assigns, so that one scheduling round does not
// send all tasks to the same rack.
type RackSelector struct {
	racks      []rack.Summary
	noCapacity map[uint64]bool // jobs for which no rack has capacity
}

// NewRackSelector returns a selector over a copy of the summaries.
func NewRackSelector(summaries []rack.Summary) *RackSelector {
	c := &RackSelector{noCapacity: make(map[uint64]bool)}
	for _, s := range summaries {
		s.VMs = slices.Clone(s.VMs)
		c.racks = append(c.racks, s)
	}
	slices.SortFunc(c.racks, func(a, b rack.Summary) int { return cmp.Compare(a.Rack, b.Rack) })
	return c
}

// Summaries returns the summaries less the resources of the assigned tasks.
func (s *RackSelector) Summaries() []rack.Summary { return s.racks }

// Select returns the rack of the fitting VM with the most free CPU, ties broken by
// memory, or the reason why there is none. After a job found no capacity, its
// further tasks are refused without a search, except those that avoid VMs.
func (s *RackSelector) Select(t Candidate) (fleet.Path, Reason, bool) {
	if s.noCapacity[t.Ref.Job] && len(t.Avoid) == 0 {
		return "", Reason{Code: ReasonNoCapacity}, false
	}
	var best *rack.VMSummary
	var path fleet.Path
	for i := range s.racks {
		if s.racks[i].Reason != "" {
			continue
		}
		for j := range s.racks[i].VMs {
			v := &s.racks[i].VMs[j]
			if s.fits(s.racks[i].FailureDomain, v, t) && (best == nil || hasMoreFree(v.Free, best.Free)) {
				best = v
				path = s.racks[i].Rack
			}
		}
	}
	if best == nil {
		s.noCapacity[t.Ref.Job] = true
		return "", s.explain(t), false
	}
	best.Free = best.Free.Sub(t.Size)
	return path, Reason{}, true
}

func (s *RackSelector) fits(domain fleet.Path, v *rack.VMSummary, t Candidate) bool {
	return t.Size.Fits(v.Free) && allows(t.Job.Spec.FailureDomains, domain) &&
		!slices.Contains(t.Avoid, v.ID)
}

func hasMoreFree(a, b fleet.Resources) bool {
	return cmp.Or(cmp.Compare(a.MilliCPU, b.MilliCPU), cmp.Compare(a.MemoryMB, b.MemoryMB)) > 0
}

// explain returns the reason why no rack has capacity for t, with the VMs that
// lack the least CPU.
func (s *RackSelector) explain(t Candidate) Reason {
	reason := Reason{Code: ReasonNoCapacity}
	var refusals []place.Refusal
	knownVMs := 0
	for _, r := range s.racks {
		if r.Reason != "" {
			reason.Rack = r.Rack
			reason.RackRefusal = r.Reason
		}
		knownVMs += len(r.VMs)
		for _, v := range r.VMs {
			if allows(t.Job.Spec.FailureDomains, r.FailureDomain) {
				refusals = append(refusals, refusalOf(v, t))
			}
		}
	}
	if knownVMs == 0 {
		reason.Code = ReasonNoRackOwner
		return reason
	}
	slices.SortStableFunc(refusals, func(a, b place.Refusal) int {
		return cmp.Compare(a.Shortfall.MilliCPU, b.Shortfall.MilliCPU)
	})
	reason.Refusals = refusals[:min(len(refusals), maxRefusals)]
	return reason
}

func refusalOf(v rack.VMSummary, t Candidate) place.Refusal {
	shortfall := t.Size.Sub(v.Free).Max(fleet.Resources{})
	out := place.Refusal{VM: v.ID, Shortfall: shortfall}
	switch {
	case shortfall.MilliCPU > 0:
		out.Reason = place.NoCPU
	case shortfall.MemoryMB > 0:
		out.Reason = place.NoMemory
	case shortfall.Accelerators > 0:
		out.Reason = place.NoAccelerator
	default:
		out.Reason = place.VMAvoided
	}
	return out
}
