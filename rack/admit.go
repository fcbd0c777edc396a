package rack

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// maxRefusals bounds the refusals in a reply.
const maxRefusals = 3

type reservation struct {
	vm        string
	queue     fleet.Path
	queueTerm platform.Offset
	request   Request
	expires   time.Time
}

// fenceQueue remembers the newest term of a queue and reports whether term is
// not older.
func (s *State) fenceQueue(queue fleet.Path, term platform.Offset) bool {
	newest, ok := s.queueTerms[queue]
	if ok && term < newest {
		return false
	}
	s.queueTerms[queue] = term
	return true
}

// startsAllowed says why nothing may start now, or "".
func (s *State) startsAllowed(c Conditions) RefusalReason {
	switch {
	case c.View == nil:
		return NoSettings
	case c.ViewAge > c.policy(s.path).Tasks.ViewAge:
		return StaleSettings
	case c.ClaimAge > c.policy(s.path).Tasks.Lease:
		return StaleClaim
	}
	return ""
}

// Reserve chooses a VM for each request and holds its size there until the
// reservation is started, released or expires.
func (s *State) Reserve(now time.Time, c Conditions, args ReserveArgs) ReserveReply {
	reply := ReserveReply{Term: s.term}
	if !s.fenceQueue(args.Queue, args.QueueTerm) {
		reply.Code = OldQueueTerm
		return reply
	}
	explained := make(map[fleet.Resources]bool)
	refused := false
	for _, r := range args.Requests {
		result := s.reserve(now, c, args, r)
		if result.VM == "" {
			refused = true
			result.Refusals = result.Refusals[:min(len(result.Refusals), maxRefusals)]
			if explained[r.Size] {
				result.Refusals = nil
			}
			explained[r.Size] = true
		}
		reply.Results = append(reply.Results, result)
	}
	if args.Summary || refused {
		summary := s.Summary(now, c)
		reply.Summary = &summary
	}
	return reply
}

func (s *State) reserve(now time.Time, c Conditions, args ReserveArgs, r Request) Reservation {
	out := Reservation{Task: r.Task, Attempt: r.Attempt}
	if reason := s.startsAllowed(c); reason != "" {
		out.Reason = reason
		return out
	}
	ref := platform.AttemptRef{Task: r.Task, Attempt: r.Attempt}
	if held, ok := s.reservations[ref]; ok {
		out.VM = held.vm
		return out
	}
	if s.holds(r.Task) {
		out.Reason = HeldByAttempt
		return out
	}
	decision := place.Choose(s.candidates(now, c.View), r.placeRequest(), c.policy(s.path).Weights, s.model)
	if decision.VM == "" {
		out.Reason = NoVM
		out.Refusals = decision.Refusals
		return out
	}
	s.reservations[ref] = reservation{
		vm: decision.VM, queue: args.Queue, queueTerm: args.QueueTerm,
		request: r, expires: now.Add(reservationExpiry),
	}
	out.VM = decision.VM
	return out
}

func (s *State) candidates(now time.Time, v *settings.View) []place.VM {
	var out []place.VM
	for _, id := range s.workerIDs() {
		out = append(out, s.candidate(s.workers[id], now, v))
	}
	return out
}

// holds reports whether an attempt of the task may still run in the rack.
func (s *State) holds(task string) bool {
	for _, w := range s.workers {
		for ref, a := range w.attempts {
			if ref.Task == task && (a.phase == starting || a.phase == running) {
				return true
			}
		}
	}
	return false
}

// Start turns a reservation into a start request for its worker. The request
// expires by the worker's own clock soon after the decision.
func (s *State) Start(now time.Time, c Conditions, args StartArgs, st Start) (platform.VM, platform.StartRequest, RefusalReason) {
	none := platform.StartRequest{}
	ref := platform.AttemptRef{Task: st.Task, Attempt: st.Attempt}
	if !s.fenceQueue(args.Queue, args.QueueTerm) {
		return platform.VM{}, none, StaleQueue
	}
	r, ok := s.reservations[ref]
	if !ok || now.After(r.expires) {
		return platform.VM{}, none, NoReservation
	}
	delete(s.reservations, ref)
	w, ok := s.workers[r.vm]
	if !ok {
		return platform.VM{}, none, NoVM
	}
	if reason := s.startsAllowed(c); reason != "" {
		return platform.VM{}, none, reason
	}
	if d := place.Choose([]place.VM{s.candidate(w, now, c.View)}, r.request.placeRequest(), c.policy(s.path).Weights, s.model); d.VM == "" {
		return platform.VM{}, none, NoVM
	}
	request := s.startRequest(w, r, st, now, c)
	w.attempts[ref] = &attempt{
		phase:     starting,
		request:   request,
		started:   now,
		leaseEnd:  now.Add(withDrift(2*startWindow + request.Lease)),
		share:     1,
		blameless: r.request.FailedElsewhere,
		evicted:   r.request.Evicted,
	}
	w.attempts[ref].checkpoint = st.Checkpoint
	return w.vm, request, ""
}

// startRequest builds the request. The worker's clock now is at least that in
// its report plus the time since the report was received.
func (s *State) startRequest(w *worker, r reservation, st Start, now time.Time, c Conditions) platform.StartRequest {
	return platform.StartRequest{
		Task:       st.Task,
		Token:      platform.Token{Term: s.term, Attempt: st.Attempt},
		Class:      r.request.Class,
		Kind:       r.request.Kind,
		Size:       r.request.Size,
		Lease:      c.policy(s.path).Tasks.Lease,
		NotAfter:   w.clock + int64(now.Sub(w.received)) + int64(startWindow),
		Checkpoint: st.Checkpoint,
		RunTime:    st.RunTime,
	}
}

// StartRefused notes that the worker certainly did not start the attempt.
func (s *State) StartRefused(vm string, ref platform.AttemptRef) {
	w, ok := s.workers[vm]
	if !ok {
		return
	}
	if a, ok := w.attempts[ref]; ok && a.phase == starting {
		delete(w.attempts, ref)
	}
}

// Answered applies what the worker answered to a call about one attempt.
func (s *State) Answered(vm string, status platform.AttemptStatus, now time.Time, c Conditions) {
	w, ok := s.workers[vm]
	if !ok {
		return
	}
	ref := platform.AttemptRef{Task: status.Task, Attempt: status.Token.Attempt}
	a, ok := w.attempts[ref]
	if !ok {
		return
	}
	if a.phase == starting && status.State == platform.AttemptRunning {
		// The caller of Start learns it from the reply.
		a.phase = running
		w.changed = now
	}
	s.apply(w, ref, status, now, withDrift(c.policy(s.path).Tasks.Lease), c)
}
