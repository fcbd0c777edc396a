package owner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/fleet"
)

func waitingName(path fleet.Path) string {
	return fmt.Sprintf("peridotlock_tasks_waiting{queue=%q}", path)
}

func activeName(path fleet.Path) string {
	return fmt.Sprintf("peridotlock_tasks_active{queue=%q}", path)
}

// showTasks sets the gauges of a queue.
func showTasks(path fleet.Path, waiting, active int) {
	metrics.GetOrCreateGauge(waitingName(path), nil).Set(float64(waiting))
	metrics.GetOrCreateGauge(activeName(path), nil).Set(float64(active))
}

// hideTasks removes the gauges of a queue that is no longer owned.
func hideTasks(path fleet.Path) {
	metrics.UnregisterMetric(waitingName(path))
	metrics.UnregisterMetric(activeName(path))
}
