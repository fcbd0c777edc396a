package policy

import (
	"sync"
	"time"
)

// meterWindow is the time whose submissions may arrive at once. Callers of a tenant are many, and
// what they send in a single second varies by more than the tenant's usual distance to its weight.
const meterWindow = 5 * time.Second

// Meter finds the submissions of a tenant that exceed its weight, in submissions a second, with a token
// bucket for each tenant. It is safe for concurrent use.
//
// It answers a tenant that sends many times its usual work: what it sends within its weight must
// not wait behind the rest.
type Meter struct {
	mu      sync.Mutex
	buckets map[string]tokenBucket // by name of the tenant
}

type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// Exceeds meters a submission that was learned of at a time since boot, at most unread after it was
// accepted.
func (m *Meter) Exceeds(t *Tenant, now, unread time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	depth := max(1, t.Weight*max(meterWindow, unread).Seconds())
	b, known := m.buckets[t.Name]
	tokens := depth
	if known {
		tokens = min(depth, b.tokens+t.Weight*max(0, now-b.at).Seconds())
	}
	exceeds := tokens < 1
	if !exceeds {
		tokens--
	}
	if m.buckets == nil {
		m.buckets = map[string]tokenBucket{}
	}
	m.buckets[t.Name] = tokenBucket{tokens: tokens, at: max(now, b.at)}
	return exceeds
}
