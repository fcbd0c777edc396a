package dispatch

import "time"

const (
	// avoidThreshold is the number of consecutive failed runs after which an executor
	// gets no work for avoidPause. Each failure of a run that was started later doubles the pause.
	avoidThreshold = 2
	avoidPause     = 3 * time.Second
	maxAvoidPause  = 20 * time.Second
)

// breaker is the circuit breaker of one executor. Its load: an executor starts to fail all its
// runs while it has dozens of them, so that many end within one report, and is well again after
// some seconds; meanwhile tasks that fail everywhere make sound executors look the same. The
// failures of runs that were started before a pause add nothing, and after the pause
// one run at a time, a trial, shows whether the executor is well, at the cost of one attempt.
//
// It is closed, which means that the executor gets all work; or open, for the pause and then, half-open,
// until a trial is done. A failed trial begins a pause of twice the length.
type breaker struct {
	open     bool
	failures int           // consecutive failed runs while it is closed
	pauses   int           // since a run was done that was started after a pause had begun
	openedAt time.Duration // start of the newest pause; 0 if there was none
	until    time.Duration // end of that pause
}

// isHalfOpen reports whether the executor may get a trial.
func (b *breaker) isHalfOpen(now time.Duration) bool { return b.open && now >= b.until }

// mayTryLongRunning reports whether the executor may get a long-running task that no other one has room
// for. Such tasks have no limit of attempts, and must run again soon.
func (b *breaker) mayTryLongRunning(now time.Duration) bool {
	return b.open && now >= b.openedAt+avoidPause
}

// pause returns the length of the newest pause.
func (b *breaker) pause() time.Duration {
	return min(maxAvoidPause, avoidPause<<min(max(0, b.pauses-1), 3))
}

// recordFailure counts the failure of a run that was started at a time, and reports whether it begins a
// pause.
func (b *breaker) recordFailure(startedAt, now time.Duration) bool {
	if b.openedAt > 0 && startedAt <= b.openedAt {
		return false
	}
	b.failures++
	if b.pauses == 0 && b.failures < avoidThreshold {
		return false
	}
	b.open, b.failures = true, 0
	b.pauses++
	b.openedAt = now
	b.until = now + b.pause()
	return true
}

// recordSuccess closes the breaker if the run was started since the newest pause began.
func (b *breaker) recordSuccess(startedAt time.Duration) {
	if b.pauses > 0 && startedAt <= b.openedAt {
		return
	}
	*b = breaker{openedAt: b.openedAt}
}

// admit closes the breaker without a trial. The next failure begins a pause of twice the length.
func (b *breaker) admit() { b.open = false }
