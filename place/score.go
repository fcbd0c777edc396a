package place

import (
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/settings"
)

// accelerator penalty: a task without accelerators on a VM with free ones
// keeps them from tasks that need them.
const acceleratorPenalty = 0.25

// exposurePenalty is the added slowdown expected of a VM's first
// latency-critical task.
const exposurePenalty = 0.3

// scoreOf rates a VM for a task; larger is better. Weights turn the expected
// slowdown of latency-critical tasks, the expected slowdown of batch tasks and
// the risk of an eviction into one figure.
func scoreOf(v *VM, r Request, w settings.Weights, m interference.Model) float64 {
	latency, pace := slowdowns(v, r, m)
	score := -w.TailLatency*latency - w.Throughput*pace
	score -= w.Evictions * evictionRisk(v, r)
	score -= w.TailLatency * exposure(v, r)
	if r.Size.Accelerators == 0 && v.Size.Accelerators > v.Committed.Accelerators {
		score -= acceleratorPenalty
	}
	return score
}

// slowdowns returns the added slowdown of latency-critical and of batch tasks,
// summed over the residents and the new task.
func slowdowns(v *VM, r Request, m interference.Model) (latency, pace float64) {
	add := func(class fleet.TaskClass, slowdown float64) {
		if class == fleet.LatencyCritical {
			latency += slowdown - 1
			return
		}
		pace += slowdown - 1
	}
	for _, t := range v.Tasks {
		add(t.Class, m.Slowdown(t.Kind, r.Kind))
		add(r.Class, m.Slowdown(r.Kind, t.Kind))
	}
	return latency, pace
}

// exposure is what a latency-critical task is expected to suffer from batch
// tasks that will be placed beside it later. A VM that holds such tasks already
// is avoided by batch tasks, so one more adds nothing.
func exposure(v *VM, r Request) float64 {
	if r.Class != fleet.LatencyCritical {
		return 0
	}
	for _, t := range v.Tasks {
		if t.Class == fleet.LatencyCritical {
			return 0
		}
	}
	return exposurePenalty
}

// evictionRisk grows with the share of the VM that is in use after the task
// was placed: sizes are uncertain, and a full VM has no room for an error.
func evictionRisk(v *VM, r Request) float64 {
	after := v.Committed.Max(v.Measured).Add(r.Size)
	used := max(share(after.MilliCPU, v.Size.MilliCPU), share(after.MemoryMB, v.Size.MemoryMB))
	return used * used
}

func share(used, size int64) float64 {
	if size <= 0 {
		return 1
	}
	return float64(used) / float64(size)
}
