package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/cell"
)

// Room is the room of a cell's executors for tasks of each of cell.RoomSizes, without waiting tasks.
type Room [len(cell.RoomSizes)]int64

// ServiceLoads returns the load of this cell for each service, sorted by name. Free and spare are those
// of FreeCapacity, labels those of all listed executors.
func (c *Core) ServiceLoads(now time.Duration) []cell.ServiceLoad {
	loads := map[string]cell.ServiceLoad{}
	for _, e := range c.executors {
		if !e.listed || !e.isSeen() || e.info.Draining {
			continue
		}
		l := loads[e.info.Service]
		for _, label := range e.info.Labels {
			if !slices.Contains(l.Labels, label) {
				l.Labels = append(l.Labels, label)
			}
		}
		if c.isAvailable(e, now) {
			h, _ := e.host(len(forecastLeads))
			l.Size, l.Used = l.Size.Add(h.Size), l.Used.Add(h.Reserved)
			if c.acceptsWork(e, now) {
				l.Free = l.Free.Add(h.Free())
				l.Room = cell.AddRoom(l.Room, h.Free().MilliCPU)
				l.SpareMilliCPU += max(0, h.SpareMilliCPU())
			}
		}
		loads[e.info.Service] = l
	}
	c.room = Room{}
	for _, l := range loads {
		for i, room := range l.Room {
			c.room[i] += room
		}
	}
	for _, st := range c.waiting {
		l, ok := loads[st.job.sub.Service]
		if !ok {
			continue
		}
		n := int64(len(st.uncapped()))
		if st.spec.BestEffort {
			l.SpareMilliCPU -= n * st.spec.Size.MilliCPU
		} else {
			l.Free.MilliCPU -= n * st.spec.Size.MilliCPU
			l.Free.MemoryMB -= n * st.spec.Size.MemoryMB
			for i := range l.Room {
				l.Room[i] -= n * st.spec.Size.MilliCPU
			}
		}
		loads[st.job.sub.Service] = l
	}
	var out []cell.ServiceLoad
	for _, service := range slices.Sorted(maps.Keys(loads)) {
		l := loads[service]
		l.Service = service
		slices.SortFunc(l.Labels, strings.Compare)
		out = append(out, l)
	}
	return out
}

// SetOtherCells sets the size and use of each service in the other cells, as far as they are known.
func (c *Core) SetOtherCells(loads map[string]cell.ServiceLoad) { c.otherCells = loads }
