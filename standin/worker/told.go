package worker

import (
	"math"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

const (
	usageStep  = 0.1         // relative difference that is worth telling
	usageEvery = time.Minute // after which an unchanged measurement is told again
)

// told remembers the measurements that a worker has reported.
type told map[platform.AttemptRef]telling

type telling struct {
	usage platform.Usage
	at    time.Duration
}

// fresh returns the measurements that differ from those told before or were
// told long ago, and remembers them. Attempts without a measurement are
// forgotten.
func (t *told) fresh(now time.Duration, usage []platform.Usage) []platform.Usage {
	var out []platform.Usage
	next := make(told, len(usage))
	for _, u := range usage {
		ref := platform.AttemptRef{Task: u.Task, Attempt: u.Attempt}
		last, known := (*t)[ref]
		if known && now-last.at < usageEvery && !differs(last.usage, u) {
			next[ref] = last
			continue
		}
		next[ref] = telling{usage: u, at: now}
		out = append(out, u)
	}
	*t = next
	return out
}

func differs(a, b platform.Usage) bool {
	return differ(float64(a.Used.MilliCPU), float64(b.Used.MilliCPU)) ||
		differ(float64(a.Used.MemoryMB), float64(b.Used.MemoryMB)) ||
		a.Used.Accelerators != b.Used.Accelerators ||
		differ(a.Slowdown, b.Slowdown)
}

func differ(a, b float64) bool {
	return math.Abs(a-b) > usageStep*max(math.Abs(a), math.Abs(b))
}
