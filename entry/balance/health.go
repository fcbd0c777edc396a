package balance

import (
	"sync/atomic"
	"time"
)

const (
	ejectAfter   = 3 // failures in a row
	minEjection  = time.Second
	maxEjection  = 30 * time.Second
	leavingPause = 30 * time.Second // no new work after an endpoint said that it leaves
	maxDoublings = 5
)

// Health tells whether an endpoint may get work. Times are nanoseconds.
type Health struct {
	failures  atomic.Int32 // in a row
	renewals  atomic.Int32 // of the connection pool since the last success
	ejections atomic.Int32 // since the last success
	ejected   atomic.Int64 // until; 0 when not ejected
	leaving   atomic.Int64 // until
	reachable atomic.Bool  // took a connection since the last ejection
	probe     atomic.Bool  // one request tries whether it has recovered
}

// Succeed records a good answer. It reports whether the endpoint was ejected.
func (h *Health) Succeed() bool {
	if h.failures.Load() != 0 {
		h.failures.Store(0)
	}
	if h.renewals.Load() != 0 {
		h.renewals.Store(0)
	}
	if h.ejected.Load() == 0 {
		return false
	}
	h.ejections.Store(0)
	h.probe.Store(false)
	return h.ejected.Swap(0) != 0
}

// Fail records a failure at now. It reports whether the endpoint ought to be
// ejected.
func (h *Health) Fail(now time.Time) bool {
	if h.IsEjected() {
		h.ejectAgain(now)
		return false
	}
	return h.failures.Add(1) >= ejectAfter
}

// ejectAgain prolongs an ejection that was over. Failures of requests that were
// sent before the ejection tell nothing new.
func (h *Health) ejectAgain(now time.Time) {
	if h.IsOver(now) {
		h.Eject(now)
	}
}

// Renew records that the connections were renewed after a silence. It reports
// whether that was the first time since the last success: only then is the
// silence put down to the connections.
func (h *Health) Renew() bool { return h.renewals.Add(1) == 1 }

// Eject takes the endpoint out for a time that doubles with each ejection.
func (h *Health) Eject(now time.Time) {
	n := min(h.ejections.Add(1)-1, maxDoublings)
	h.failures.Store(0)
	h.reachable.Store(false)
	h.ejected.Store(now.Add(min(minEjection<<n, maxEjection)).UnixNano())
	h.probe.Store(false)
}

// IsEjected reports whether the endpoint is ejected or being probed.
func (h *Health) IsEjected() bool { return h.ejected.Load() != 0 }

// Leave records that the endpoint said that it leaves.
func (h *Health) Leave(now time.Time) { h.leaving.Store(now.Add(leavingPause).UnixNano()) }

// IsLeaving reports whether the endpoint gets no new work for now.
func (h *Health) IsLeaving(now time.Time) bool { return now.UnixNano() < h.leaving.Load() }

// IsOver reports whether the time of an ejection is over, so that the endpoint
// may be probed: first with a connection, then with one request.
func (h *Health) IsOver(now time.Time) bool {
	until := h.ejected.Load()
	return until != 0 && now.UnixNano() >= until
}

// Reach records that the endpoint took a connection.
func (h *Health) Reach() { h.reachable.Store(true) }

// TryProbe reports whether this request may try the endpoint; it is true once
// until the next success or failure.
func (h *Health) TryProbe(now time.Time) bool {
	return h.IsOver(now) && h.reachable.Load() && h.probe.CompareAndSwap(false, true)
}

// EndProbe lets another request probe, when one ended without a verdict.
func (h *Health) EndProbe() { h.probe.Store(false) }
