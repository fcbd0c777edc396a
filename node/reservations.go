package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/dispatch"
	"github.com/peridotlock/peridotlock/fleet"
)

// resourceGauges are the gauges of an amount of processors and memory.
type resourceGauges struct{ milliCPU, memoryMB *metrics.Gauge }

// newResourceGauges returns gauges with a name and labels, which may be empty.
func newResourceGauges(set *metrics.Set, name, labels string) resourceGauges {
	return resourceGauges{
		milliCPU: set.NewGauge(name+"_millicpu"+labels, nil),
		memoryMB: set.NewGauge(name+"_mb"+labels, nil),
	}
}

// replace replaces one owner's previous amount by its new one.
func (g resourceGauges) replace(before, after fleet.Resources) {
	change := after.Sub(before)
	g.milliCPU.Add(float64(change.MilliCPU))
	g.memoryMB.Add(float64(change.MemoryMB))
}

// reservationGauges hold the reservations of all cells that this VM owns.
type reservationGauges struct {
	capacity, free, unexpected resourceGauges
	reserved                   [dispatch.ReservedKinds]resourceGauges
	unreported                 [dispatch.UnreportedStates]resourceGauges
	unknownRuns                *metrics.Gauge
}

func newReservationGauges(set *metrics.Set) *reservationGauges {
	g := &reservationGauges{
		capacity:    newResourceGauges(set, "peridotlock_accepting_capacity", ""),
		free:        newResourceGauges(set, "peridotlock_accepting_free", ""),
		unexpected:  newResourceGauges(set, "peridotlock_reported_unreserved", ""),
		unknownRuns: set.NewGauge("peridotlock_executors_with_unknown_runs", nil),
	}
	for kind := range g.reserved {
		g.reserved[kind] = newResourceGauges(set, "peridotlock_reserved", fmt.Sprintf("{kind=%q}", dispatch.ReservedKindName(kind)))
	}
	for state := range g.unreported {
		g.unreported[state] = newResourceGauges(set, "peridotlock_reserved_unreported", fmt.Sprintf("{state=%q}", dispatch.UnreportedStateName(state)))
	}
	return g
}

// replace replaces one owner's previous comparison by its new one.
func (g *reservationGauges) replace(before, after *dispatch.Reservations) {
	if *before == *after {
		return
	}
	g.capacity.replace(before.Capacity, after.Capacity)
	g.free.replace(before.Free, after.Free)
	g.unexpected.replace(before.Unexpected, after.Unexpected)
	g.unknownRuns.Add(float64(after.UnknownRuns - before.UnknownRuns))
	for kind := range g.reserved {
		g.reserved[kind].replace(before.Reserved[kind], after.Reserved[kind])
	}
	for state := range g.unreported {
		g.unreported[state].replace(before.Unreported[state], after.Unreported[state])
	}
}
