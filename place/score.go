package place

import (
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/settings"
)

// acceleratorPenalty applies to a task without accelerators on a VM with free
// ones, since it may keep out tasks that need them.
const acceleratorPenalty = 0.25

// exposurePenalty is the expected added slowdown of the first latency-critical
// task on a VM.
const exposurePenalty = 0.3

// scoreOf scores a VM for a task; higher is better. The weights combine the
// expected slowdown of latency-critical tasks, the expected slowdown of batch
// tasks and the risk of an eviction.
func scoreOf(v *VM, r Request, w settings.Weights, m interference.Model) float64 {
	latencySlowdown, batchSlowdown := slowdowns(v, r, m)
	score := -w.TailLatency*latencySlowdown - w.Throughput*batchSlowdown
	score -= w.Evictions * evictionRisk(v, r)
	score -= w.TailLatency * exposure(v, r)
	if r.Size.Accelerators == 0 && v.Size.Accelerators > v.Committed.Accelerators {
		score -= acceleratorPenalty
	}
	return score
}

// slowdowns returns the added slowdown of latency-critical and of batch tasks,
// summed over the residents and the new task.
func slowdowns(v *VM, r Request, m interference.Model) (latencySlowdown, batchSlowdown float64) {
	add := func(class fleet.TaskClass, slowdown float64) {
		if class == fleet.LatencyCritical {
			latencySlowdown += slowdown - 1
			return
		}
		batchSlowdown += slowdown - 1
	}
	for _, t := range v.Tasks {
		add(t.Class, m.Slowdown(t.Kind, r.Kind))
		add(r.Class, m.Slowdown(r.Kind, t.Kind))
	}
	return latencySlowdown, batchSlowdown
}

// exposure returns the added slowdown that a latency-critical task is expected to
// get from batch tasks that are placed on its VM later. Batch tasks avoid a VM
// that already runs latency-critical tasks, so one more adds nothing.
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

// evictionRisk returns a value that grows with the utilisation of the VM after
// the task is placed: sizes are uncertain, and a full VM has no reserve for an
// underestimate.
func evictionRisk(v *VM, r Request) float64 {
	usedAfter := v.Committed.Max(v.Measured).Add(r.Size)
	utilisation := max(usedShare(usedAfter.MilliCPU, v.Size.MilliCPU), usedShare(usedAfter.MemoryMB, v.Size.MemoryMB))
	return utilisation * utilisation
}

func usedShare(used, size int64) float64 {
	if size <= 0 {
		return 1
	}
	return float64(used) / float64(size)
}
