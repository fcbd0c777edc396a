package dispatch

import "time"

const (
	// avoidThreshold is the number of consecutive failed runs after which an executor
	// gets no work for avoidPause, except as in Core.pausedCandidates.
	avoidThreshold = 2
	avoidPause     = 3 * time.Second
	maxAvoidPause  = 20 * time.Second
)

// breaker is the circuit breaker of one executor. Its load: an executor starts to fail all its
// runs while it has dozens of them, so that many end within one report, and is well again after
// some seconds; meanwhile tasks that fail everywhere make sound executors look the same. The
// failures of runs that were started before a pause tell nothing new, and the pause is doubled
// only when a run fails that was started since.
type breaker struct {
	failures int           // consecutive failed runs that count
	openedAt time.Duration // start of the newest pause; 0 if there was none
	until    time.Duration // end of that pause
}

// isPaused reports whether the executor gets no work.
func (b *breaker) isPaused(now time.Duration) bool { return now < b.until }

// pause returns the length of the pause after the newest failure.
func (b *breaker) pause() time.Duration {
	return min(maxAvoidPause, avoidPause<<min(max(0, b.failures-avoidThreshold), 3))
}

// recordFailure counts the failure of a run that was started at a time, and reports whether it begins a
// pause.
func (b *breaker) recordFailure(startedAt, now time.Duration) bool {
	if b.openedAt > 0 && startedAt <= b.openedAt {
		return false
	}
	b.failures++
	if b.failures < avoidThreshold {
		return false
	}
	b.openedAt, b.until = now, max(b.until, now+b.pause())
	return true
}

// recordSuccess ends a series of failures, but not a pause.
func (b *breaker) recordSuccess() { b.failures = 0 }
