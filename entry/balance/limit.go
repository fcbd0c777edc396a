package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	queueingRatio = 3.0  // of latency to the endpoint's least latency that means queueing
	peerRatio     = 1.5  // of latency to the mean of all endpoints that means queueing here
	decrease      = 0.9  // of the limit on queueing
	leastDecay    = 1e-4 // relative rise of the least latency per sample
)

// Limit bounds the requests in flight at an endpoint. It moves between a half
// and the whole of the share of the endpoint's slots that this entry has: down
// when latency shows queueing at this endpoint, up otherwise. A slowdown of all
// endpoints is no queueing, since fewer requests in flight would then only
// lower throughput.
type Limit struct {
	share atomic.Int32
	bits  atomic.Uint64 // current limit
	least atomic.Uint64 // seconds; least latency seen, slowly rising
	until atomic.Int64  // nanoseconds; no second decrease before
}

// SetShare changes the upper bound.
func (l *Limit) SetShare(share int) {
	old := l.share.Swap(int32(share))
	if int(old) != share {
		store(&l.bits, float64(share))
	}
}

// Value returns the current limit, at least 1.
func (l *Limit) Value() int32 { return max(1, int32(load(&l.bits))) }

// Observe adjusts the limit by one latency at now; mean is that of all
// endpoints.
func (l *Limit) Observe(d, mean time.Duration, now time.Time) {
	s := d.Seconds()
	least := load(&l.least)
	if least == 0 || s < least {
		store(&l.least, s)
		return
	}
	store(&l.least, least*(1+leastDecay))
	limit, share := load(&l.bits), float64(l.share.Load())
	if s < queueingRatio*least || s < peerRatio*mean.Seconds() {
		store(&l.bits, math.Min(share, limit+1/math.Max(limit, 1)))
		return
	}
	until := l.until.Load()
	if now.UnixNano() < until || !l.until.CompareAndSwap(until, now.Add(d).UnixNano()) {
		return
	}
	store(&l.bits, math.Max(share/2, limit*decrease))
}

// Share returns the part of slots that belongs to self, which is one of the live
// entries; it is at least 1. The remainder goes to the entries with the highest hash with the
// endpoint, so that all entries agree without messages and the parts add up to
// slots.
func Share(slots int, endpoint, self string, live []string) int {
	n := len(live)
	share, spare := slots/n, slots%n
	mine := weight(endpoint, self)
	before := 0
	for _, e := range live {
		if w := weight(endpoint, e); w > mine || (w == mine && e < self) {
			before++
		}
	}
	if before < spare {
		share++
	}
	return max(1, share)
}

func weight(endpoint, entry string) uint64 { return xxhash.Sum64String(endpoint + "\x00" + entry) }
