package interference

import (
	"time"

	"github.com/peridotlock/peridotlock/settings"
)

// Action is what to do about the neighbours of a latency-critical task.
type Action string

// The actions, from mild to strong.
const (
	Keep     Action = "keep"
	Throttle Action = "throttle"
	Move     Action = "move"
	Release  Action = "release" // end the throttling
)

// Limits of a Controller for equal weights. The high limit shrinks as tail
// latency weighs more than throughput; moves wait longer as evictions weigh
// more.
const (
	baseHigh     = 0.5              // added slowdown that calls for an action
	lowShare     = 0.5              // part of the high limit that ends it
	baseMoveWait = 20 * time.Second // throttled this long before a move
	calmWait     = 10 * time.Second // below the low limit this long before a release
	lightest     = 0.25             // bounds of the factors that weights give
	heaviest     = 4.0
)

// Controller decides for one latency-critical task. Hysteresis keeps it from
// changing its mind on every lagging report: it acts above a high limit, ends
// an action only after a while below a low one, and moves only after
// throttling did not help. It has no clock; callers pass the time.
type Controller struct {
	throttled bool
	since     time.Time // of the throttling
	calm      time.Time // since when the slowdown is below the low limit
}

// Decide takes the newest measured slowdown and returns what to do now.
func (c *Controller) Decide(now time.Time, slowdown float64, w settings.Weights) Action {
	high := baseHigh * clampRatio(w.Throughput, w.TailLatency)
	extra := slowdown - 1
	if !c.throttled {
		return c.decideCalm(now, extra, high)
	}
	return c.decideThrottled(now, extra, high, w)
}

func (c *Controller) decideCalm(now time.Time, extra, high float64) Action {
	if extra <= high {
		return Keep
	}
	c.throttled = true
	c.since = now
	c.calm = time.Time{}
	return Throttle
}

func (c *Controller) decideThrottled(now time.Time, extra, high float64, w settings.Weights) Action {
	if extra < high*lowShare {
		return c.decideRelease(now)
	}
	c.calm = time.Time{}
	wait := time.Duration(float64(baseMoveWait) * clampRatio(w.Evictions, w.TailLatency))
	if extra > high && now.Sub(c.since) >= wait {
		c.since = now
		return Move
	}
	return Keep
}

func (c *Controller) decideRelease(now time.Time) Action {
	if c.calm.IsZero() {
		c.calm = now
	}
	if now.Sub(c.calm) < calmWait {
		return Keep
	}
	*c = Controller{}
	return Release
}

// clampRatio returns a/b within bounds; equal or unset weights give 1.
func clampRatio(a, b float64) float64 {
	if a <= 0 && b <= 0 {
		return 1
	}
	if b <= 0 {
		return heaviest
	}
	return max(lightest, min(heaviest, a/b))
}
