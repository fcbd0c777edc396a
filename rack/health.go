package rack

import "time"

const (
	quarantineTime = 5 * time.Minute
	failureMemory  = 30 * time.Minute // failures older than this are forgotten
)

// health judges a worker by the jobs that failed on it. A worker on which
// several different jobs failed without a success in between is quarantined;
// afterwards it is on probation and takes one task at a time until one
// succeeds.
type health struct {
	failures  map[string]time.Time // newest failure of each job
	until     time.Time            // end of the quarantine
	probation bool
}

func newHealth() health { return health{failures: make(map[string]time.Time)} }

func (h *health) succeeded() {
	clear(h.failures)
	h.probation = false
	h.until = time.Time{}
}

func (h *health) failed(job string, now time.Time, limit int) {
	for j, at := range h.failures {
		if now.Sub(at) > failureMemory {
			delete(h.failures, j)
		}
	}
	h.failures[job] = now
	if limit <= 0 || (len(h.failures) < limit && !h.probation) {
		return
	}
	h.until = now.Add(quarantineTime)
	h.probation = true
}

// QuarantinedCount counts the workers in quarantine.
func (s *State) QuarantinedCount(now time.Time) int {
	n := 0
	for _, w := range s.workers {
		if w.health.quarantined(now) {
			n++
		}
	}
	return n
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.until) }

// blocks reports whether the worker takes no further task beside those that it
// has.
func (h *health) blocks(now time.Time, tasks int) bool {
	return h.quarantined(now) || (h.probation && tasks > 0)
}
