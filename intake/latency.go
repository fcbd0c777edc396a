package intake

import (
	"sync"
	"time"
)

// appendLatency estimates how long an append takes now, and decides by that which records are still
// sent and when an append is repeated. It has no clock.
//
// Load pattern: a partition that takes 50 to 200 times as long for an append, with all VMs of a
// deployment waiting. A repeat takes as much of its time as the append itself. Repeated as if their answers
// were lost, the appends fill the queue that the log allows: it refuses the others, and those that
// it takes are answered after their callers' time. Records that wait behind such an append can't be
// stored in time either; their callers learn so at once, as nothing was sent, and not at their deadline.
type appendLatency struct {
	mu      sync.Mutex
	average time.Duration
}

const (
	fallWeight = 0.2 // of a sample below the average; one above it counts alone
	// overloadWait is the wait from which the log refuses appends.
	overloadWait = 2 * time.Second
	// repeatFactor is the delay of a repeat as a multiple of the average.
	repeatFactor = 2
	// maxCallTimeout replaces callTimeout while appends are known to take long: the log carries them
	// out whether or not the VM waits for the answer.
	maxCallTimeout = 3200 * time.Millisecond
	// leastShare is the share of the expected time that a record takes at least. One that may still be
	// stored in time is sent: its caller has no better chance elsewhere.
	leastShare = 0.5
)

// observe adds the time of an append that was answered.
func (l *appendLatency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d > l.average {
		l.average = d
		return
	}
	l.average -= time.Duration(fallWeight * float64(l.average-d))
}

// expected returns the time that an append is expected to take.
func (l *appendLatency) expected() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.average
}

// repeatDelay returns the time from one attempt to the next: hedge, unless the log is so slow that
// the first attempt is likely to be answered later than that.
func (l *appendLatency) repeatDelay(hedge time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(hedge, repeatFactor*l.average)
}

// callTimeout returns the maximum time for an append.
func (l *appendLatency) callTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(maxCallTimeout, max(callTimeout, repeatFactor*l.average))
}

// isInTime reports whether a record whose caller waits for left may be stored in time. It waits for
// an append that has an age, 0 if none is under way, and takes another one.
func (l *appendLatency) isInTime(left, age time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := l.average
	if age > 0 {
		expected += max(0, l.average-age)
	}
	return time.Duration(leastShare*float64(expected)) <= left
}
