package queue

import (
	"math"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
)

const (
	riseShare = 0.5  // weight of a measurement above the estimate
	fallShare = 0.05 // weight of one below
	maxRatio  = 8    // bound on what history may make of a declaration
)

// History corrects declared sizes and run times by what was measured of tasks
// of the same kind. A size is never taken to be less than declared, and a rise
// counts at once while a fall counts slowly.
type History struct{ kinds map[string]*ratios }

// ratios are measured by declared.
type ratios struct{ cpu, memory, runTime float64 }

// NewHistory returns an empty history.
func NewHistory() *History { return &History{kinds: make(map[string]*ratios)} }

// Observe adds a finished attempt.
func (h *History) Observe(s job.Spec, used fleet.Resources, ran time.Duration) {
	r, ok := h.kinds[s.Kind]
	if !ok {
		r = &ratios{cpu: 1, memory: 1, runTime: 1}
		h.kinds[s.Kind] = r
	}
	r.cpu = learn(r.cpu, float64(used.MilliCPU), float64(s.Size.MilliCPU))
	r.memory = learn(r.memory, float64(used.MemoryMB), float64(s.Size.MemoryMB))
	r.runTime = learn(r.runTime, ran.Seconds(), s.RunTime.Seconds())
}

func learn(estimate, measured, declared float64) float64 {
	if measured <= 0 || declared <= 0 {
		return estimate
	}
	ratio := min(measured/declared, maxRatio)
	weight := fallShare
	if ratio > estimate {
		weight = riseShare
	}
	return estimate + weight*(ratio-estimate)
}

// Size returns the size to commit for a task of the job.
func (h *History) Size(s job.Spec) fleet.Resources {
	r, ok := h.kinds[s.Kind]
	if !ok {
		return s.Size
	}
	out := s.Size
	out.MilliCPU = int64(math.Ceil(float64(out.MilliCPU) * max(1, r.cpu)))
	out.MemoryMB = int64(math.Ceil(float64(out.MemoryMB) * max(1, r.memory)))
	return out
}

// RunTime returns the expected run time of a task of the job.
func (h *History) RunTime(s job.Spec) time.Duration {
	r, ok := h.kinds[s.Kind]
	if !ok {
		return s.RunTime
	}
	return time.Duration(float64(s.RunTime) * r.runTime)
}
