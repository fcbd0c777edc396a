package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/dispatch"
)

// placeWaitMetrics tell whether waits for places near data or a group pay.
type placeWaitMetrics struct {
	ended  [dispatch.PlaceOutcomes]*metrics.Counter
	waited [dispatch.PlaceOutcomes]*metrics.FloatCounter
	saved  *metrics.FloatCounter
}

func newPlaceWaitMetrics(set *metrics.Set) *placeWaitMetrics {
	m := &placeWaitMetrics{saved: set.NewFloatCounter("peridotlock_place_wait_saved_seconds_total")}
	for outcome := range m.ended {
		labels := fmt.Sprintf("{outcome=%q}", dispatch.PlaceOutcomeName(outcome))
		m.ended[outcome] = set.NewCounter("peridotlock_place_waits_total" + labels)
		m.waited[outcome] = set.NewFloatCounter("peridotlock_place_wait_seconds_total" + labels)
	}
	return m
}

// add adds what has changed between two counts of one owner. An owner that ends counts no less.
func (m *placeWaitMetrics) add(before, after *dispatch.PlaceWaits) {
	for outcome := range m.ended {
		m.ended[outcome].Add(max(0, after.Ended[outcome]-before.Ended[outcome]))
		m.waited[outcome].Add(max(0, after.Waited[outcome]-before.Waited[outcome]).Seconds())
	}
	m.saved.Add(max(time.Duration(0), after.Saved-before.Saved).Seconds())
}
