package queue

import (
	"cmp"
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/rack"
)

// nearestRefusals is how many VMs a reason names.
const nearestRefusals = 3

// RackSelector picks racks for tasks by the summaries of the racks. It deducts what
// it has given out, so that one round does not send everything to one rack.
type RackSelector struct {
	racks  []rack.Summary
	noRoom map[uint64]bool // jobs for which no rack has room
}

// NewRackSelector returns a chooser over a copy of the summaries.
func NewRackSelector(summaries []rack.Summary) *RackSelector {
	c := &RackSelector{noRoom: make(map[uint64]bool)}
	for _, s := range summaries {
		s.VMs = slices.Clone(s.VMs)
		c.racks = append(c.racks, s)
	}
	slices.SortFunc(c.racks, func(a, b rack.Summary) int { return cmp.Compare(a.Rack, b.Rack) })
	return c
}

// Summaries returns the summaries less what was given out.
func (c *RackSelector) Summaries() []rack.Summary { return c.racks }

// Select returns the rack whose emptiest fitting VM has most left, or why there
// is none. It does not look again for a job that found no room.
func (c *RackSelector) Select(t Candidate) (fleet.Path, Reason, bool) {
	if c.noRoom[t.Ref.Job] && len(t.Avoid) == 0 {
		return "", Reason{Code: WaitsRoom}, false
	}
	var best *rack.VMSummary
	var path fleet.Path
	for i := range c.racks {
		if c.racks[i].Reason != "" {
			continue
		}
		for j := range c.racks[i].VMs {
			v := &c.racks[i].VMs[j]
			if c.fits(c.racks[i].FailureDomain, v, t) && (best == nil || roomier(v.Free, best.Free)) {
				best = v
				path = c.racks[i].Rack
			}
		}
	}
	if best == nil {
		c.noRoom[t.Ref.Job] = true
		return "", c.why(t), false
	}
	best.Free = best.Free.Sub(t.Size)
	return path, Reason{}, true
}

func (c *RackSelector) fits(domain fleet.Path, v *rack.VMSummary, t Candidate) bool {
	return t.Size.Fits(v.Free) && allows(t.Job.Spec.FailureDomains, domain) &&
		!slices.Contains(t.Avoid, v.ID)
}

func roomier(a, b fleet.Resources) bool {
	return cmp.Or(cmp.Compare(a.MilliCPU, b.MilliCPU), cmp.Compare(a.MemoryMB, b.MemoryMB)) > 0
}

// why explains that no rack has room by the VMs that lack least.
func (c *RackSelector) why(t Candidate) Reason {
	reason := Reason{Code: WaitsRoom}
	var lacking []place.Refusal
	answering := 0
	for _, r := range c.racks {
		if r.Reason != "" {
			reason.Rack = r.Rack
			reason.Refused = r.Reason
		}
		answering += len(r.VMs)
		for _, v := range r.VMs {
			if allows(t.Job.Spec.FailureDomains, r.FailureDomain) {
				lacking = append(lacking, refusalOf(v, t))
			}
		}
	}
	if answering == 0 {
		reason.Code = WaitsRacks
		return reason
	}
	slices.SortStableFunc(lacking, func(a, b place.Refusal) int {
		return cmp.Compare(a.Shortfall.MilliCPU, b.Shortfall.MilliCPU)
	})
	reason.Refusals = lacking[:min(len(lacking), nearestRefusals)]
	return reason
}

func refusalOf(v rack.VMSummary, t Candidate) place.Refusal {
	lacks := t.Size.Sub(v.Free).Max(fleet.Resources{})
	out := place.Refusal{VM: v.ID, Shortfall: lacks}
	switch {
	case lacks.MilliCPU > 0:
		out.Reason = place.NoCPU
	case lacks.MemoryMB > 0:
		out.Reason = place.NoMemory
	case lacks.Accelerators > 0:
		out.Reason = place.NoAccelerator
	default:
		out.Reason = place.VMAvoided
	}
	return out
}
