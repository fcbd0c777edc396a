package node

import (
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/policy"
)

// tenantRates meters the submissions of tenants that this VM reads.
type tenantRates struct {
	config func() *policy.Config
	meter  policy.Meter

	mu      sync.Mutex
	loading bool          // all submissions are being read; when they arrived is not known
	readAt  time.Duration // of the newest read; 0 for none
	unread  time.Duration // between the two newest reads
}

// read notes that records of submissions were read.
func (r *tenantRates) read(loading bool, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readAt > 0 && now > r.readAt {
		r.unread = now - r.readAt
	}
	r.loading, r.readAt = loading, now
}

// exceeds is a cell.ExceedsFunc.
func (r *tenantRates) exceeds(tenant string, now time.Duration) bool {
	r.mu.Lock()
	skip, unread := r.loading || r.readAt == 0, r.unread
	r.mu.Unlock()
	config := r.config()
	if skip || config == nil {
		return false
	}
	t := config.Tenant(tenant)
	return t != nil && r.meter.Exceeds(t, now, unread)
}
