package node

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/dispatch"
)

// firstStartMetrics tell how long steps wait for their first start, by class. A series
// exists from the first value of its class.
type firstStartMetrics struct{ set *metrics.Set }

// record adds first starts to the histograms.
func (m firstStartMetrics) record(starts []dispatch.FirstStart) {
	for _, s := range starts {
		m.set.GetOrCreateHistogram("peridotlock_first_start_seconds" + s.Class.Labels()).Update(s.Wait.Seconds())
	}
}

// replace replaces one owner's previous numbers of steps without a start by its new ones.
func (m firstStartMetrics) replace(before, after *[dispatch.StartClasses]int) {
	for class := range after {
		if change := after[class] - before[class]; change != 0 {
			m.set.GetOrCreateGauge("peridotlock_steps_not_started"+dispatch.StartClass(class).Labels(), nil).Add(float64(change))
		}
	}
}
