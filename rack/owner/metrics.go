package owner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/rack"
)

var tasksStarted = metrics.NewCounter("peridotlock_tasks_started_total")

// countStart counts the outcome of one start.
func countStart(r rack.StartResult) {
	switch {
	case r.Running:
		tasksStarted.Inc()
	case r.Refused != "":
		metrics.GetOrCreateCounter(fmt.Sprintf("peridotlock_starts_refused_total{reason=%q}", r.Refused)).Inc()
	}
}

// countOutcomes counts the final outcomes and the evictions among events that a
// queue has recorded.
func countOutcomes(events []rack.Event) {
	for _, e := range events {
		if !e.IsTerminal() {
			continue
		}
		metrics.GetOrCreateCounter(fmt.Sprintf("peridotlock_tasks_ended_total{outcome=%q}", e.Outcome)).Inc()
		if (e.Outcome == rack.Stopped || e.Outcome == rack.Lapsed) && e.Reason != rack.CancelReason {
			metrics.GetOrCreateCounter(fmt.Sprintf("peridotlock_evictions_total{reason=%q}", e.Reason)).Inc()
		}
	}
}

func quarantinedMetric(path fleet.Path) string {
	return fmt.Sprintf("peridotlock_workers_quarantined{rack=%q}", path)
}

// setQuarantinedGauge sets the number of quarantined workers of a rack.
func setQuarantinedGauge(path fleet.Path, n int) {
	metrics.GetOrCreateGauge(quarantinedMetric(path), nil).Set(float64(n))
}

// removeQuarantinedGauge removes the gauge of a rack that is no longer owned.
func removeQuarantinedGauge(path fleet.Path) { metrics.UnregisterMetric(quarantinedMetric(path)) }
