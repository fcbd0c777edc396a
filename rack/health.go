package rack

import "time"

const (
	quarantineDuration = 5 * time.Minute
	failureRetention   = 30 * time.Minute // older failures are ignored
)

// health tracks the jobs that failed on a worker. A worker on which several
// different jobs failed without a success in between is quarantined; afterwards
// it is on probation and takes one task at a time until one succeeds.
type health struct {
	failures         map[string]time.Time // time of the newest failure of each job
	quarantinedUntil time.Time
	probation        bool
}

func newHealth() health { return health{failures: make(map[string]time.Time)} }

func (h *health) recordSuccess() {
	clear(h.failures)
	h.probation = false
	h.quarantinedUntil = time.Time{}
}

func (h *health) recordFailure(job string, now time.Time, limit int) {
	for j, at := range h.failures {
		if now.Sub(at) > failureRetention {
			delete(h.failures, j)
		}
	}
	h.failures[job] = now
	if limit <= 0 || (len(h.failures) < limit && !h.probation) {
		return
	}
	h.quarantinedUntil = now.Add(quarantineDuration)
	h.probation = true
}

// QuarantinedCount returns the number of workers in quarantine.
func (s *State) QuarantinedCount(now time.Time) int {
	n := 0
	for _, w := range s.workers {
		if w.health.isQuarantined(now) {
			n++
		}
	}
	return n
}

func (h *health) isQuarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// blocksPlacement reports whether a worker with the given number of tasks takes
// no further one.
func (h *health) blocksPlacement(now time.Time, tasks int) bool {
	return h.isQuarantined(now) || (h.probation && tasks > 0)
}
