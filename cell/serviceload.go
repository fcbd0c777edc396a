package cell

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/submission"
)

// maxLoadAge is the age from which the load of a cell is not used to judge the whole service; owners
// publish several in this time.
const maxLoadAge = 3 * time.Second

// ServiceLoad is the load of a cell's executors of one service.
type ServiceLoad struct {
	Service       string          `cbor:"1,keyasint"`
	Labels        []string        `cbor:"2,keyasint,omitempty"` // of the executors
	Size          fleet.Resources `cbor:"3,keyasint"`           // of those that may get work
	Used          fleet.Resources `cbor:"4,keyasint"`           // reserved by runs there
	Free          fleet.Resources `cbor:"5,keyasint"`           // as in Load
	SpareMilliCPU int64           `cbor:"6,keyasint"`           // as in Load
}

func (l ServiceLoad) isPossible() bool {
	return isCellAmount(l.Size) && isCellAmount(l.Used) && isCellAmount(l.Free) && isCellAmount(fleet.Resources{MilliCPU: l.SpareMilliCPU})
}

// of returns the load of a cell's executors of a service, and false if it has none. A load without
// services is that of an owner of an earlier version or without executors.
func (l Load) of(service string) (ServiceLoad, bool) {
	if len(l.Services) == 0 {
		return ServiceLoad{Service: service, Labels: l.Labels, Free: l.Free, SpareMilliCPU: l.SpareMilliCPU}, true
	}
	i := slices.IndexFunc(l.Services, func(s ServiceLoad) bool { return s.Service == service })
	if i < 0 {
		return ServiceLoad{}, false
	}
	return l.Services[i], true
}

// loadFor returns the load of the cell's executors for a submission, and false if the cell lacks its
// service or a label that it requires.
func (l Load) loadFor(s submission.Submission) (ServiceLoad, bool) {
	load, ok := l.of(s.Service)
	return load, ok && load.hasLabelsFor(s)
}

// hasLabelsFor reports whether there are executors with each label that a submission requires.
func (l ServiceLoad) hasLabelsFor(s submission.Submission) bool {
	for _, step := range s.Steps {
		if step.RequiredLabel != "" && !hasLabel(l.Labels, step.RequiredLabel) {
			return false
		}
	}
	return true
}

// OtherCells returns the size and use of each service in the cells other than one, as far as their
// loads were read recently.
func (r *Replica) OtherCells(cell int, now time.Duration) map[string]ServiceLoad {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := map[string]ServiceLoad{}
	for i := range r.layout.Cells {
		if i == cell || now-r.loadReadAt[i] > maxLoadAge {
			continue
		}
		for _, l := range r.loads[i].Services {
			sum := out[l.Service]
			out[l.Service] = ServiceLoad{Service: l.Service, Size: sum.Size.Add(l.Size), Used: sum.Used.Add(l.Used)}
		}
	}
	return out
}
