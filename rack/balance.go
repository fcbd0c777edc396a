package rack

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/settings"
)

const (
	highSlowdown  = 1.4              // of a latency-critical task, above which the worker is relieved
	lowSlowdown   = 1.15             // below which a throttled task gets its share back
	reliefHold    = 5 * time.Second  // least time between two steps of relief
	restoreHold   = 20 * time.Second // least time between two steps back
	minShare      = 0.25
	throttleStep  = 0.5
	evictionPrice = 0.5 // added slowdown that an eviction is worth at equal weights
)

// pressure is the state of the relief of one worker.
type pressure struct {
	stepped time.Time // last step of relief or back
}

// wanted returns the share that the attempt shall have.
func (a *attempt) wanted() float64 {
	if a.target == 0 {
		return 1
	}
	return a.target
}

// balance relieves the latency-critical tasks of a worker: it throttles the
// batch task that slows them most, and evicts it when throttling was not
// enough. The gap between the limits and the holding times give hysteresis.
func (s *State) balance(w *worker, now time.Time, c Conditions) {
	worst, victim := w.worstSlowdown()
	since := now.Sub(w.pressure.stepped)
	weights := c.policy(s.path).Weights
	switch {
	case worst > highSlowdown && since >= reliefHold:
		if s.relieve(w, victim, worst, weights) {
			w.pressure.stepped = now
		}
	case worst < lowSlowdown && since >= restoreHold:
		if w.restore() {
			w.pressure.stepped = now
		}
	}
}

func (w *worker) worstSlowdown() (float64, *attempt) {
	worst := 1.0
	var victim *attempt
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if a.phase == running && a.request.Class == fleet.LatencyCritical && a.slowdown > worst {
			worst = a.slowdown
			victim = a
		}
	}
	return worst, victim
}

// relieve throttles the worst neighbour of the victim by a step, or evicts it
// when it has the least share and the weights favour that.
func (s *State) relieve(w *worker, victim *attempt, worst float64, weights settings.Weights) bool {
	neighbour := s.worstNeighbour(w, victim)
	if neighbour == nil {
		return false
	}
	gain := weights.TailLatency * (worst - 1)
	if neighbour.wanted() > minShare {
		cost := weights.Throughput * neighbour.wanted() * throttleStep
		if gain <= cost {
			return false
		}
		neighbour.target = max(minShare, neighbour.wanted()*throttleStep)
		return true
	}
	if gain <= weights.Evictions*evictionPrice || s.moveTokens < 1 {
		return false
	}
	s.moveTokens--
	neighbour.goal = Evict
	neighbour.why = "slows latency-critical tasks although throttled"
	return true
}

// worstNeighbour returns the batch attempt that slows the victim most, scaled
// by the share that it still has.
func (s *State) worstNeighbour(w *worker, victim *attempt) *attempt {
	var out *attempt
	worst := 0.0
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if a.phase != running || a.goal != None || a.request.Class == fleet.LatencyCritical {
			continue
		}
		harm := s.model.Slowdown(victim.request.Kind, a.request.Kind) * a.wanted()
		if harm > worst {
			worst = harm
			out = a
		}
	}
	return out
}

// restore gives the most throttled attempt a step back.
func (w *worker) restore() bool {
	var out *attempt
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if a.phase == running && a.wanted() < 1 && (out == nil || a.wanted() < out.wanted()) {
			out = a
		}
	}
	if out == nil {
		return false
	}
	out.target = min(1, out.wanted()/throttleStep)
	return true
}
