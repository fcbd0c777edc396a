package dispatch

import (
	"fmt"
	"time"
)

// LeaseOrigin says where the end of a lease is known from.
type LeaseOrigin byte

// The origins of leases. The names stand in log lines and labels of metrics.
const (
	leaseGranted  LeaseOrigin = iota // granted by this owner
	leaseRecorded                    // in the record of unreachable executors
	leaseOfStart                     // of a start without an answer
	leaseAssumed                     // the longest that an earlier owner may have granted
	LeaseOrigins                     // number of origins
)

var leaseOriginNames = [LeaseOrigins]string{"granted by this owner", "recorded by an earlier owner", "of a start without an answer", "the longest of an earlier owner"}

// String returns the name of the origin for log lines and metrics.
func (o LeaseOrigin) String() string { return leaseOriginNames[o] }

// leaseOrigin returns the origin of the executor's lease that ends last.
func (e *executor) leaseOrigin() LeaseOrigin {
	switch {
	case e.leaseEnd >= e.earlierLeaseEnd:
		return leaseGranted
	case e.earlierLeaseStored:
		return leaseRecorded
	}
	return leaseAssumed
}

// describeLease says for the log whose lease a lost run was waited for, and how long.
func (e *executor) describeLease(r *run, now time.Duration) string {
	origin := e.leaseOrigin()
	if r.leaseEnd > e.executorLeaseEnd() {
		origin = leaseOfStart
	}
	stopping := ""
	if r.stopRequested {
		stopping = ", stop requested"
	}
	return fmt.Sprintf("lease is over: %v, no report for %v%s", origin, (now - e.lastReportAt).Round(time.Millisecond), stopping)
}

// describeWait says for the log for how long the runs of an unreachable executor are waited for.
func (e *executor) describeWait(now time.Duration) string {
	return fmt.Sprintf("%d runs, lease %v for up to %v", len(e.runs), e.leaseOrigin(), max(0, e.lastLeaseEnd()-now).Round(time.Millisecond))
}
