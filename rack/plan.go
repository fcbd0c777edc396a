package rack

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// checkpointTries is the count of failed checkpoints after which an attempt is
// stopped without a newer one.
const checkpointTries = 3

// ActionKind is what to do with an attempt.
type ActionKind string

// The kinds of action.
const (
	DoCheckpoint ActionKind = "checkpoint"
	DoStop       ActionKind = "stop"
	DoThrottle   ActionKind = "throttle"
)

// Action is one call to make to a worker.
type Action struct {
	VM      platform.VM
	Kind    ActionKind
	Request platform.ControlRequest
}

// Plan chooses the goals of attempts for drains and interference and returns
// the calls that serve the goals. Calls are safe to repeat.
func (s *State) Plan(now time.Time, c Conditions) []Action {
	s.refillMoves(now, c)
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		if s.leaves(w, c) {
			s.drain(w, c)
			continue
		}
		s.balance(w, now, c)
	}
	var out []Action
	for _, id := range s.workerIDs() {
		w := s.workers[id]
		if !w.fenced {
			continue
		}
		for _, ref := range w.refs() {
			if action, ok := w.attempts[ref].action(); ok {
				action.VM = w.vm
				action.Request.Token.Term = s.term
				out = append(out, action)
			}
		}
	}
	return out
}

func (s *State) leaves(w *worker, c Conditions) bool {
	if w.vm.State == platform.VMLeaving {
		return true
	}
	return c.View != nil && (c.View.IsOut(w.vm.FailureDomain) || c.View.IsOut(s.path))
}

// refillMoves adds the moves that the rack's part of the rate allows since the
// last call; at most one second's worth is kept.
func (s *State) refillMoves(now time.Time, c Conditions) {
	rate := c.policy(s.path).Tasks.MoveRate / float64(s.racks)
	s.moveTokens += rate * now.Sub(s.moveRefilled).Seconds()
	s.moveTokens = min(s.moveTokens, max(rate, 1))
	s.moveRefilled = now
}

// drain evicts the attempts of a worker within the rate, latency-critical ones
// first.
func (s *State) drain(w *worker, c Conditions) {
	for _, class := range []fleet.TaskClass{fleet.LatencyCritical, fleet.Batch} {
		for _, ref := range w.refs() {
			a := w.attempts[ref]
			if a.phase != running || a.goal != None || (a.request.Class == fleet.LatencyCritical) != (class == fleet.LatencyCritical) {
				continue
			}
			if s.moveTokens < 1 {
				return
			}
			s.moveTokens--
			a.goal = Evict
			a.why = "failure domain taken out"
		}
	}
}

// action returns the call that serves the attempt's goal.
func (a *attempt) action() (Action, bool) {
	if a.phase != running {
		return Action{}, false
	}
	request := platform.ControlRequest{Task: a.request.Task, Token: platform.Token{Attempt: a.request.Token.Attempt}}
	switch {
	case a.goal == Evict && a.checkpoints < checkpointTries:
		return Action{Kind: DoCheckpoint, Request: request}, true
	case a.goal != None:
		return Action{Kind: DoStop, Request: request}, true
	case a.wanted() != a.share:
		request.Share = a.wanted()
		return Action{Kind: DoThrottle, Request: request}, true
	}
	return Action{}, false
}

// Checkpointed notes the outcome of a checkpoint: the stop follows a success
// at once and a few failures at last.
func (s *State) Checkpointed(vm string, ref platform.AttemptRef, ok bool) {
	a := s.find(vm, ref)
	if a == nil {
		return
	}
	a.checkpoints++
	if ok {
		a.checkpoints = checkpointTries
	}
}

// Throttled notes that the worker has applied a share.
func (s *State) Throttled(vm string, ref platform.AttemptRef, share float64) {
	if a := s.find(vm, ref); a != nil {
		a.share = share
	}
}

func (s *State) find(vm string, ref platform.AttemptRef) *attempt {
	w, ok := s.workers[vm]
	if !ok {
		return nil
	}
	return w.attempts[ref]
}
