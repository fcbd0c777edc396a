package balance

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	sampleWeight = 0.1  // of a new sample in the mean
	tailQuantile = 0.99 // quantile that Latency.Tail estimates
	tailStep     = 0.02 // relative step of the estimate
	minTail      = 100 * time.Microsecond
	defaultMean  = 20 * time.Millisecond
)

// Latency estimates the mean and a high quantile of a latency. It is safe for
// concurrent use without locks; a lost update only delays the estimate.
type Latency struct {
	mean atomic.Uint64 // float64 bits of seconds; 0 before the first sample
	tail atomic.Uint64 // float64 bits of seconds; 0 before the first sample
}

// Observe adds a sample.
func (l *Latency) Observe(d time.Duration) {
	s := d.Seconds()
	mean, tail := load(&l.mean), load(&l.tail)
	if mean == 0 {
		store(&l.mean, s)
		store(&l.tail, max(2*s, minTail.Seconds()))
		return
	}
	store(&l.mean, mean+sampleWeight*(s-mean))
	store(&l.tail, nextTail(tail, s))
}

// nextTail raises the estimate by a large step on a sample above it and lowers it
// by a small step otherwise. The ratio of the steps balances at tailQuantile.
func nextTail(tail, sample float64) float64 {
	if sample > tail {
		return tail * (1 + 5*tailStep)
	}
	return max(tail*(1-5*tailStep*(1-tailQuantile)/tailQuantile), minTail.Seconds())
}

// Mean returns the estimated mean, or defaultMean before the first sample.
func (l *Latency) Mean() time.Duration {
	if s := load(&l.mean); s > 0 {
		return seconds(s)
	}
	return defaultMean
}

// Tail returns the estimated quantile, or 0 before the first sample.
func (l *Latency) Tail() time.Duration { return seconds(load(&l.tail)) }

func load(bits *atomic.Uint64) float64     { return math.Float64frombits(bits.Load()) }
func store(bits *atomic.Uint64, v float64) { bits.Store(math.Float64bits(v)) }
func seconds(s float64) time.Duration      { return time.Duration(s * float64(time.Second)) }

// Reset discards all samples.
func (l *Latency) Reset() {
	l.mean.Store(0)
	l.tail.Store(0)
}
