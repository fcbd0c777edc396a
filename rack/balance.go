package rack

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/platform"
)

const (
	throttledShare = 0.5                    // of a batch task that slows latency-critical ones
	sameMeasure    = 100 * time.Millisecond // measurements closer than this are one
)

// wanted returns the share that the attempt shall have.
func (a *attempt) wanted() float64 {
	if a.target == 0 {
		return 1
	}
	return a.target
}

// balance relieves the latency-critical tasks of a worker as their controllers
// decide: it throttles the batch task that slows them most, and moves it when
// that was not enough.
func (s *State) balance(w *worker, now time.Time, c Conditions) {
	weights := c.policy(s.path).Weights
	for _, ref := range w.refs() {
		victim := w.attempts[ref]
		if victim.phase != running || victim.request.Class != fleet.LatencyCritical || victim.slowdown == 0 {
			continue
		}
		switch victim.control.Decide(now, victim.slowdown, weights) {
		case interference.Throttle:
			if n := s.worstNeighbour(w, victim); n != nil {
				n.target = throttledShare
			}
		case interference.Move:
			s.moveNeighbour(w, victim)
		case interference.Release:
			w.release()
		}
	}
}

// moveNeighbour evicts the worst neighbour unless it was evicted before: a task
// that finds no quiet place would otherwise be moved for ever.
func (s *State) moveNeighbour(w *worker, victim *attempt) {
	n := s.worstNeighbour(w, victim)
	if n == nil || n.evicted || s.moveTokens < 1 {
		return
	}
	s.moveTokens--
	n.goal = Evict
	n.why = "slows latency-critical tasks although throttled"
}

// release gives all attempts their whole share back.
func (w *worker) release() {
	for _, a := range w.attempts {
		a.target = 1
	}
}

// worstNeighbour returns the batch attempt that slows the victim most.
func (s *State) worstNeighbour(w *worker, victim *attempt) *attempt {
	var out *attempt
	worst := 0.0
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if a.phase != running || a.goal != None || a.request.Class == fleet.LatencyCritical {
			continue
		}
		harm := s.model.Slowdown(victim.request.Kind, a.request.Kind) - 1
		if out == nil || harm > worst {
			worst = harm
			out = a
		}
	}
	return out
}

// Observation is one measured slowdown with the neighbours that caused it.
type Observation struct {
	Victim     string
	Neighbours []string
	Slowdown   float64
}

// Observations returns the measurements in a report that the newest renewal
// brought for the first time. A measurement from before the last change of the
// worker's tasks, or of a task beside throttled ones, is left out.
func (s *State) Observations(vm string, now time.Time, usage []platform.Usage) []Observation {
	w, ok := s.workers[vm]
	if !ok {
		return nil
	}
	var out []Observation
	for _, u := range usage {
		ref := platform.AttemptRef{Task: u.Task, Attempt: u.Attempt}
		a, ok := w.attempts[ref]
		measured := now.Add(-u.Age)
		if !ok || a.phase != running || !measured.After(w.changed) || measured.Sub(a.measured) < sameMeasure {
			continue
		}
		a.measured = measured
		if kinds, whole := w.neighbours(ref); whole {
			out = append(out, Observation{Victim: a.request.Kind, Neighbours: kinds, Slowdown: u.Slowdown})
		}
	}
	return out
}

// neighbours returns the kinds beside an attempt; whole is false when one of
// them is throttled.
func (w *worker) neighbours(self platform.AttemptRef) (kinds []string, whole bool) {
	whole = true
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if ref == self || a.phase != running {
			continue
		}
		kinds = append(kinds, a.request.Kind)
		whole = whole && a.share == 1
	}
	return kinds, whole
}
