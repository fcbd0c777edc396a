package rack

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Outcome is what became of an attempt.
type Outcome string

// The outcomes. All but Started say that the attempt is over.
const (
	Started      Outcome = "started"
	Finished     Outcome = "finished"
	Failed       Outcome = "failed"
	Stopped      Outcome = "stopped"
	Lapsed       Outcome = "lapsed"
	NeverStarted Outcome = "never-started"
)

// Event tells the owner of a queue what became of an attempt. It is repeated
// until acknowledged.
type Event struct {
	Task       string          `cbor:"1,keyasint"`
	Attempt    int             `cbor:"2,keyasint"`
	Outcome    Outcome         `cbor:"3,keyasint"`
	VM         string          `cbor:"4,keyasint"`
	Checkpoint string          `cbor:"5,keyasint,omitempty"`
	Reason     string          `cbor:"6,keyasint,omitempty"` // error of the task, or why it was stopped
	Used       fleet.Resources `cbor:"7,keyasint"`
	RunTime    time.Duration   `cbor:"8,keyasint"` // since the start or the takeover
	BadWorker  bool            `cbor:"9,keyasint,omitempty"`
}

// Ref returns the attempt that the event is about.
func (e Event) Ref() platform.AttemptRef {
	return platform.AttemptRef{Task: e.Task, Attempt: e.Attempt}
}

// IsOver reports whether the attempt can't run any more.
func (e Event) IsOver() bool { return e.Outcome != Started }

// QueueOf returns the path of the queue that a task belongs to.
func QueueOf(task string) fleet.Path { return fleet.Path(task).Parent().Parent() }

func outcomeOf(state platform.AttemptState) Outcome {
	switch state {
	case platform.AttemptFinished:
		return Finished
	case platform.AttemptFailed:
		return Failed
	case platform.AttemptStopped:
		return Stopped
	}
	return Lapsed
}

// emit replaces the pending event of the attempt.
func (s *State) emit(w *worker, ref platform.AttemptRef, a *attempt, o Outcome, reason string, now time.Time) {
	if reason == "" {
		reason = a.why
	}
	s.events[ref] = Event{
		Task: ref.Task, Attempt: ref.Attempt, Outcome: o, VM: w.vm.ID,
		Checkpoint: a.checkpoint, Reason: reason, Used: a.used,
		RunTime: now.Sub(a.started),
	}
}

// end notes that an attempt is over by the word of its worker.
func (s *State) end(w *worker, ref platform.AttemptRef, a *attempt, o Outcome, reason string, now time.Time, c Conditions) {
	s.emit(w, ref, a, o, reason, now)
	a.phase = ended
	w.changed = now
	switch {
	case o == Finished:
		w.health.succeeded()
	case o == Failed && !a.blameless:
		w.health.failed(string(fleet.Path(ref.Task).Parent()), now, c.policy(s.path).Tasks.QuarantineAfter)
	}
	if o == Failed && w.health.quarantined(now) {
		e := s.events[ref]
		e.BadWorker = true
		s.events[ref] = e
	}
}

// Events returns the events that wait for an acknowledgement, in a fixed
// order, grouped by queue.
func (s *State) Events() map[fleet.Path][]Event {
	out := make(map[fleet.Path][]Event)
	for _, ref := range slices.SortedFunc(maps.Keys(s.events), compareRefs) {
		q := QueueOf(ref.Task)
		out[q] = append(out[q], s.events[ref])
	}
	return out
}

// Acknowledge notes that the queue has recorded the event. The worker is told
// to forget an attempt that is over.
func (s *State) Acknowledge(e Event) {
	ref := e.Ref()
	if s.events[ref].Outcome == e.Outcome {
		delete(s.events, ref)
	}
	if !e.IsOver() {
		return
	}
	for _, w := range s.workers {
		if a, ok := w.attempts[ref]; ok && a.phase == ended {
			a.phase = settled
		}
	}
}
