package scheduler

import (
	"fmt"
	"net/http"
	"time"

	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/telemetry"
)

// health returns the mux that serves metrics, health and readiness.
func (s *Scheduler) health() *http.ServeMux { return telemetry.NewOperatorsMux(s.metrics, s.ready) }

// ready returns nil, or the reason why the scheduler is not ready.
func (s *Scheduler) ready() error {
	if ok, reason := s.settingsReplica.Ready(); !ok {
		return fmt.Errorf("settings: %s", reason)
	}
	if ok, reason := s.ownershipReplica.Ready(); !ok {
		return fmt.Errorf("ownership: %s", reason)
	}
	return nil
}

// registerMetrics registers the gauges of this scheduler.
func (s *Scheduler) registerMetrics() {
	s.metrics.NewGauge("peridotlock_settings_revision", func() float64 { return float64(s.settings.View().Revision) })
	s.metrics.NewGauge("peridotlock_settings_age_seconds", func() float64 { return seconds(s.settingsAge()) })
	s.metrics.NewGauge("peridotlock_ownership_age_seconds", func() float64 { return seconds(s.claimAge()) })
	s.metrics.NewGauge("peridotlock_interference_pairs", func() float64 { return float64(s.model.Len()) })
	for _, state := range []membership.State{membership.Live, membership.Leaving, membership.Suspect, membership.Dead} {
		name := fmt.Sprintf("peridotlock_members{state=%q}", state)
		s.metrics.NewGauge(name, func() float64 { return float64(s.countMembers(state)) })
	}
	for _, kind := range []ownership.UnitKind{ownership.Rack, ownership.Queue} {
		name := fmt.Sprintf("peridotlock_units_owned{kind=%q}", kind)
		s.metrics.NewGauge(name, func() float64 { return float64(s.countOwned(kind)) })
	}
}

// maxSeconds caps reported ages. It is the value for data that was never read.
const maxSeconds = 1e9

func seconds(d time.Duration) float64 { return min(d.Seconds(), maxSeconds) }

func (s *Scheduler) countMembers(state membership.State) int {
	n := 0
	for _, m := range s.members.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}

func (s *Scheduler) countOwned(kind ownership.UnitKind) int {
	n := 0
	for u := range s.claimer.Owned() {
		if u.Kind == kind {
			n++
		}
	}
	return n
}
