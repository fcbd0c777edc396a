package dispatch

import (
	"time"

	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/provider"
)

const (
	// durationSamples is the number of newest runs of a queue from which durations are learned. A tail of
	// one run in thirty is among them as a rule.
	durationSamples = 64
	// minDurationSamples is the number of runs from which learned durations replace estimates.
	minDurationSamples = 8
	// maxDurationRatio bounds one sample: a run may have stood still with its executor.
	maxDurationRatio = 20
)

// durations holds how much longer the newest runs of a queue lasted than estimated.
//
// It answers estimates that are off as a whole, and work of which few tasks last many times as long:
// the mean alone says nothing about the remaining time of a run that has outlasted it.
type durations struct {
	ratios []float64 // newest at next-1
	next   int
}

func (d *durations) add(ratio float64) {
	ratio = min(ratio, maxDurationRatio)
	if len(d.ratios) < durationSamples {
		d.ratios = append(d.ratios, ratio)
		return
	}
	d.ratios[d.next] = ratio
	d.next = (d.next + 1) % durationSamples
}

// expected returns the expected duration of a run.
func (d *durations) expected(estimate time.Duration) time.Duration { return d.remaining(estimate, 0) }

// remaining returns the expected remaining time of a run: the mean over the known runs that lasted longer
// than it has. A run that has outlasted all of them is expected to last for as long again.
func (d *durations) remaining(estimate, elapsed time.Duration) time.Duration {
	if d == nil || len(d.ratios) < minDurationSamples {
		if elapsed < estimate {
			return estimate - elapsed
		}
		return elapsed
	}
	sum, n := time.Duration(0), time.Duration(0)
	for _, ratio := range d.ratios {
		if total := time.Duration(ratio * float64(estimate)); total > elapsed {
			sum += total - elapsed
			n++
		}
	}
	if n == 0 {
		return elapsed
	}
	return sum / n
}

// learnDuration adds a batch run that is done to the durations of its queue. A run from a checkpoint lasts
// for a part of its estimate, and that of a task with others depends on where these run.
func (c *Core) learnDuration(r *run, outcome provider.RunOutcome, now time.Duration) {
	st := r.task.step
	if outcome != provider.RunDone || st.spec.LongRunning || st.spec.EstimateMs <= 0 || r.plannedAt == 0 || r.resumed || st.spec.SameRack {
		return
	}
	queue := st.job.sub.Queue
	d := c.durations[queue]
	if d == nil {
		d = &durations{}
		c.durations[queue] = d
	}
	estimate := float64(st.spec.Estimate())
	if st.isAwayOn(r.executor) {
		estimate *= c.options.OtherRackFactor
	}
	d.add(float64(now-r.startedAt) / estimate)
}

// forgetDurations removes the durations of queues that are not configured any more.
func (c *Core) forgetDurations(config *policy.Config) {
	for queue := range c.durations {
		if config.Queue(queue) == nil {
			delete(c.durations, queue)
		}
	}
}
