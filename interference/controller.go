package interference

import (
	"time"

	"github.com/peridotlock/peridotlock/settings"
)

// Action is an action on the neighbours of a latency-critical task.
type Action string

// Actions. Keep changes nothing; Move evicts a neighbour.
const (
	Keep     Action = "keep"
	Throttle Action = "throttle"
	Move     Action = "move"
	Release  Action = "release" // end the throttling
)

// Limits of a Controller for equal weights. The high limit is lower the more tail
// latency weighs compared with throughput; the wait before a move is longer the
// more evictions weigh compared with tail latency.
const (
	baseHighLimit  = 0.5              // high limit: added slowdown above which the controller acts
	lowLimitRatio  = 0.5              // low limit, as a fraction of the high limit; throttling ends below it
	baseMoveWait   = 20 * time.Second // minimum time of throttling before a move, and between moves
	releaseWait    = 10 * time.Second // minimum time below the low limit before a release
	minWeightRatio = 0.25             // bounds of the factors derived from weights
	maxWeightRatio = 4.0
)

// Controller decides how to relieve one latency-critical task. Hysteresis keeps
// it from changing its decision on every lagging report: it throttles above a
// high limit, ends throttling only after some time below a low limit, and moves a
// neighbour only if throttling did not help. It has no clock; callers pass the
// time.
type Controller struct {
	throttled bool
	actedAt   time.Time // when throttling began or a neighbour was last moved
	lowSince  time.Time // start of the current period below the low limit; zero if above
}

// Decide returns the action to take now for the newest measured slowdown, a ratio
// of 1 or more.
func (c *Controller) Decide(now time.Time, slowdown float64, w settings.Weights) Action {
	high := baseHighLimit * clampedRatio(w.Throughput, w.TailLatency)
	added := slowdown - 1
	if !c.throttled {
		return c.decideUnthrottled(now, added, high)
	}
	return c.decideThrottled(now, added, high, w)
}

func (c *Controller) decideUnthrottled(now time.Time, added, high float64) Action {
	if added <= high {
		return Keep
	}
	c.throttled = true
	c.actedAt = now
	c.lowSince = time.Time{}
	return Throttle
}

func (c *Controller) decideThrottled(now time.Time, added, high float64, w settings.Weights) Action {
	if added < high*lowLimitRatio {
		return c.decideRelease(now)
	}
	c.lowSince = time.Time{}
	wait := time.Duration(float64(baseMoveWait) * clampedRatio(w.Evictions, w.TailLatency))
	if added > high && now.Sub(c.actedAt) >= wait {
		c.actedAt = now
		return Move
	}
	return Keep
}

func (c *Controller) decideRelease(now time.Time) Action {
	if c.lowSince.IsZero() {
		c.lowSince = now
	}
	if now.Sub(c.lowSince) < releaseWait {
		return Keep
	}
	*c = Controller{}
	return Release
}

// clampedRatio returns a/b limited to minWeightRatio..maxWeightRatio. Equal or
// unset weights give 1.
func clampedRatio(a, b float64) float64 {
	if a <= 0 && b <= 0 {
		return 1
	}
	if b <= 0 {
		return maxWeightRatio
	}
	return max(minWeightRatio, min(maxWeightRatio, a/b))
}
