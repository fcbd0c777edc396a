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
	// Room is the part of Free.MilliCPU that is of use to tasks of each of RoomSizes: whole multiples of
	// the size on each executor, minus the demand of waiting tasks. It is empty in loads of earlier versions.
	Room []int64 `cbor:"7,keyasint,omitempty"`
}

// RoomSizes are the sizes of tasks, in millicores, for which cells publish their room.
//
// They answer a cell that long-running tasks fill, so that each executor has a little left: it publishes as much free
// capacity as another cell with whole executors free, and has room for none of the tasks that wait.
var RoomSizes = [...]int64{1000, 1500, 2000, 3000, 4000, 6000, 8000, 12_000, 16_000, 24_000, 32_000, 48_000, 64_000}

// AddRoom adds the room of an executor to that of its service.
func AddRoom(room []int64, freeMilliCPU int64) []int64 {
	if room == nil {
		room = make([]int64, len(RoomSizes))
	}
	for i, size := range RoomSizes {
		room[i] += max(0, freeMilliCPU) / size * size
	}
	return room
}

// roomFor returns the free millicores that are of use to tasks of a size.
func (l ServiceLoad) roomFor(milliCPU int64) int64 {
	if len(l.Room) != len(RoomSizes) || milliCPU <= 0 {
		return l.Free.MilliCPU
	}
	i, _ := slices.BinarySearch(RoomSizes[:], milliCPU)
	return min(l.Free.MilliCPU, l.Room[min(i, len(RoomSizes)-1)])
}

// largestTask returns the millicores of the largest task of a submission that reserves any.
func largestTask(s submission.Submission) int64 {
	largest := int64(0)
	for _, step := range s.Steps {
		if !step.BestEffort {
			largest = max(largest, step.Size.MilliCPU)
		}
	}
	return largest
}

func (l ServiceLoad) isPossible() bool {
	return isCellAmount(l.Size) && isCellAmount(l.Used) && isCellAmount(l.Free) && isCellAmount(fleet.Resources{MilliCPU: l.SpareMilliCPU}) &&
		!slices.ContainsFunc(l.Room, func(room int64) bool { return !isCellAmount(fleet.Resources{MilliCPU: room}) })
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
