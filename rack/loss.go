package rack

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/provider"
)

// ProbationAge is the age from which a run is not suspected of the loss of its worker.
const ProbationAge = 10 * time.Second

const (
	// lossSlack is the time within which workers that lose their power together are gone.
	lossSlack = time.Second
	// commonLossShare is the share of a rack's other workers whose loss at about the same
	// time shows a common cause.
	commonLossShare = 0.5
	// maxLossesKept bounds the losses of a worker with which those of others are compared.
	maxLossesKept = 8
	// maxProbationShare bounds the workers of a rack on which suspects run apart, so that
	// their crashes at the same time don't look like a common cause.
	maxProbationShare = 0.25
)

// Loss describes how an attempt was lost with its worker.
type Loss struct {
	Age    time.Duration `cbor:"1,keyasint,omitempty"` // of the run when the worker was last heard from
	Runs   int           `cbor:"2,keyasint"`           // lost with the worker, including this one
	Common bool          `cbor:"3,keyasint,omitempty"` // many workers of the rack were lost at about the same time
}

// lossPeriod is the time in which a worker was lost, by the owner's clock: between its
// newest report and the first sign of the loss. The zero value stands for no loss.
type lossPeriod struct{ from, to time.Time }

func (p lossPeriod) isZero() bool { return p.to.IsZero() }

// overlaps reports whether both losses may have happened within lossSlack.
func (p lossPeriod) overlaps(q lossPeriod) bool {
	return !p.isZero() && !q.isZero() && !p.from.After(q.to.Add(lossSlack)) && !q.from.After(p.to.Add(lossSlack))
}

// undecidedLoss is a loss whose event waits until the other workers of the rack have
// been asked.
type undecidedLoss struct {
	worker *worker
	period lossPeriod
	due    time.Time
}

// silence returns the period in which a worker that does not answer may have been lost,
// or the zero value if it answers.
func (w *worker) silence() lossPeriod {
	if w.silentSince.IsZero() || w.receivedAt.IsZero() {
		return lossPeriod{}
	}
	return lossPeriod{from: w.receivedAt, to: w.silentSince}
}

// recordLoss adds a loss of the worker, or replaces the one with the same end by a
// narrower period.
func (w *worker) recordLoss(p lossPeriod) {
	if n := len(w.losses); n > 0 && w.losses[n-1].to.Equal(p.to) {
		w.losses[n-1] = p
		return
	}
	w.losses = append(w.losses, p)
	w.losses = w.losses[max(0, len(w.losses)-maxLossesKept):]
}

// lossSince returns the period of the worker's newest loss if it may have happened
// after a start, or the zero value.
func (w *worker) lossSince(started time.Time) lossPeriod {
	if p := w.silence(); !p.isZero() {
		return p
	}
	if n := len(w.losses); n > 0 && w.losses[n-1].to.After(started) {
		return w.losses[n-1]
	}
	return lossPeriod{}
}

// boundLoss returns the period without the time before the start of a run that the
// worker has confirmed.
func (a *attempt) boundLoss(p lossPeriod) lossPeriod {
	if a.confirmed && p.from.Before(a.started) {
		p.from = a.started
	}
	return p
}

// lose ends an attempt that was lost with its worker. The event of a suspect is held
// back until the next renewal of each other worker, and so long that the loss of its
// next worker doesn't overlap with this one.
func (s *State) lose(w *worker, ref provider.AttemptRef, a *attempt, o Outcome, p lossPeriod, reason string, now time.Time, c Conditions) {
	s.emit(w, ref, a, o, reason, now)
	a.phase = ended
	if p.isZero() || a.adopted {
		return // the worker is not gone, or the age of the run is unknown
	}
	age := max(0, p.from.Sub(a.started))
	p = a.boundLoss(p)
	a.lostIn = p
	e := s.events[ref]
	e.Loss = &Loss{Runs: w.runsLostWith(a), Common: s.isCommon(w, p)}
	if a.confirmed {
		e.Loss.Age = age
	}
	s.events[ref] = e
	if due := p.to.Add(lossSlack + c.policy(s.path).Tasks.Lease*3/4); a.suspect && now.Before(due) {
		s.undecided[ref] = undecidedLoss{worker: w, period: p, due: due}
	}
}

// decideLosses releases the events of losses that are due.
func (s *State) decideLosses(now time.Time) {
	for ref, u := range s.undecided {
		if now.Before(u.due) {
			continue
		}
		delete(s.undecided, ref)
		if e, ok := s.events[ref]; ok && e.Loss != nil {
			e.Loss = &Loss{Age: e.Loss.Age, Runs: e.Loss.Runs, Common: s.isCommon(u.worker, u.period)}
			s.events[ref] = e
		}
	}
}

// runsLostWith returns the number of attempts that were on the worker when a was lost.
func (w *worker) runsLostWith(a *attempt) int {
	n := 0
	for _, other := range w.attempts {
		if other == a || other.phase == starting || other.phase == running || other.lostIn.overlaps(a.lostIn) {
			n++
		}
	}
	return n
}

// isCommon reports whether enough other workers of the rack were lost at about the time
// of a loss of w.
func (s *State) isCommon(w *worker, p lossPeriod) bool {
	others, lost := 0, 0
	for _, other := range s.workers {
		if other == w || !other.listed {
			continue
		}
		others++
		if p.overlaps(other.silence()) || slices.ContainsFunc(other.losses, p.overlaps) {
			lost++
		}
	}
	return lost > 0 && float64(lost) >= commonLossShare*float64(others)
}

// hasProbation reports whether a suspect runs apart on the worker or is about to. A
// worker that was lost under a suspect is kept free until the suspect may start again,
// since there may be no other worker without tasks.
func (s *State) hasProbation(w *worker, now time.Time) bool {
	for _, a := range w.attempts {
		if a.apart && (a.phase == starting || a.phase == running) && now.Sub(a.started) < ProbationAge {
			return true
		}
	}
	for _, r := range s.reservations {
		if r.vm == w.vm.ID && r.request.Apart {
			return true
		}
	}
	for _, u := range s.undecided {
		if u.worker == w {
			return true
		}
	}
	return false
}

// allowsProbation reports whether one more suspect may run apart in the rack.
func (s *State) allowsProbation(now time.Time) bool {
	n, listed := 0, 0
	for _, w := range s.workers {
		if w.listed {
			listed++
		}
		if s.hasProbation(w, now) {
			n++
		}
	}
	return n < max(1, int(maxProbationShare*float64(listed)))
}
