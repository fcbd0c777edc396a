package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	queueingLatencyRatio = 3.0  // latency from this multiple of the endpoint's minimum on shows queueing
	peerLatencyRatio     = 1.5  // queueing is local if latency is also this multiple of the mean of all endpoints
	decreaseFactor       = 0.9  // multiplies the limit on local queueing
	minLatencyRise       = 1e-4 // relative rise of the minimum latency per sample
)

// Limit is an adaptive concurrency limit for one endpoint. It ranges from half to
// all of this entry's share of the endpoint's slots. It decreases when latency
// shows queueing at this endpoint and increases otherwise. A slowdown of all
// endpoints does not count as queueing, since fewer requests in flight would then
// only lower throughput.
type Limit struct {
	share        atomic.Int32
	current      atomic.Uint64 // float64 bits
	minLatency   atomic.Uint64 // float64 bits of seconds; rises slowly so that an outdated minimum expires
	nextDecrease atomic.Int64  // Unix nanoseconds; earliest time of the next decrease
}

// SetShare changes the upper bound.
func (l *Limit) SetShare(share int) {
	old := l.share.Swap(int32(share))
	if int(old) != share {
		store(&l.current, float64(share))
	}
}

// Value returns the current limit, at least 1.
func (l *Limit) Value() int32 { return max(1, int32(load(&l.current))) }

// Observe adjusts the limit to a sample d taken at now; mean is the mean latency of
// all endpoints.
func (l *Limit) Observe(d, mean time.Duration, now time.Time) {
	s := d.Seconds()
	minLatency := load(&l.minLatency)
	if minLatency == 0 || s < minLatency {
		store(&l.minLatency, s)
		return
	}
	store(&l.minLatency, minLatency*(1+minLatencyRise))
	limit, share := load(&l.current), float64(l.share.Load())
	if s < queueingLatencyRatio*minLatency || s < peerLatencyRatio*mean.Seconds() {
		store(&l.current, math.Min(share, limit+1/math.Max(limit, 1)))
		return
	}
	nextDecrease := l.nextDecrease.Load()
	if now.UnixNano() < nextDecrease || !l.nextDecrease.CompareAndSwap(nextDecrease, now.Add(d).UnixNano()) {
		return
	}
	store(&l.current, math.Max(share/2, limit*decreaseFactor))
}

// Share returns the number of an endpoint's slots that the entry self may use, at
// least 1; live holds all live entries, self included. The remainder of the
// division goes to the entries that rank highest by a hash of endpoint and entry.
// All entries thus agree without communication, and the shares add up to slots
// when there are at least as many slots as entries.
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
