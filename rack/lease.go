package rack

import (
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// Renewal returns the renewal to send to a worker and records the leases that
// it may grant before it is sent. An owner that has not known its claim to be
// current for the outage allowance asks for a report only, so that the leases
// run out. After an unanswered renewal it does the same until the worker
// answers: at most one renewal is on its way.
func (s *State) Renewal(vm string, now time.Time, c Conditions) (platform.RenewRequest, bool) {
	w, ok := s.workers[vm]
	if !ok {
		return platform.RenewRequest{}, false
	}
	policy := c.policy(s.path).Tasks
	r := platform.RenewRequest{Term: s.term, Lease: policy.Lease}
	for _, ref := range w.refs() {
		if w.attempts[ref].phase == settled {
			r.Settled = append(r.Settled, ref)
		}
	}
	if !w.fenced || w.unanswered > 0 || c.ClaimAge > policy.OutageAllowance {
		return r, true
	}
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if a.phase != running || !now.Before(a.leaseEnd) {
			continue
		}
		r.Attempts = append(r.Attempts, ref)
		// It takes effect only while the lease before it still runs.
		a.leaseEnd = a.leaseEnd.Add(withDrift(policy.Lease))
	}
	return r, true
}

// Unanswered notes that a renewal got no answer.
func (s *State) Unanswered(vm string) {
	if w, ok := s.workers[vm]; ok {
		w.unanswered++
	}
}

// Renewed applies the report that answered a renewal sent at sent.
func (s *State) Renewed(vm string, sent, now time.Time, request platform.RenewRequest, report platform.Report, c Conditions) {
	w, ok := s.workers[vm]
	if !ok {
		return
	}
	if report.Term > s.term {
		w.fenced = false
		return
	}
	w.fenced = report.Term == s.term
	w.unanswered = 0
	w.clock, w.received, w.size = report.Clock, now, report.Size
	for _, ref := range request.Settled {
		delete(w.attempts, ref)
	}
	lease := withDrift(request.Lease)
	for _, ref := range request.Attempts {
		if a, ok := w.attempts[ref]; ok {
			a.leaseEnd = now.Add(lease)
		}
	}
	seen := make(map[platform.AttemptRef]bool, len(report.Attempts))
	for _, status := range report.Attempts {
		ref := platform.AttemptRef{Task: status.Task, Attempt: status.Token.Attempt}
		seen[ref] = true
		s.apply(w, ref, status, now, lease, c)
	}
	s.absent(w, seen, sent)
	s.measure(w, report.Usage)
}

// apply merges what the worker's report says of one attempt.
func (s *State) apply(w *worker, ref platform.AttemptRef, status platform.AttemptStatus, now time.Time, lease time.Duration, c Conditions) {
	a, ok := w.attempts[ref]
	if !ok {
		a = adopted(status, now, lease)
		w.changed = now
		w.attempts[ref] = a
	}
	if a.phase == ended || a.phase == settled {
		return
	}
	if status.Checkpoint != "" {
		a.checkpoint = status.Checkpoint
	}
	if status.State == platform.AttemptRunning {
		if a.phase == starting {
			a.phase = running
			w.changed = now
			a.leaseEnd = now.Add(lease)
			s.emit(w, ref, a, Started, "", now)
		}
		return
	}
	s.end(w, ref, a, outcomeOf(status.State), status.Error, now, c)
}

// adopted returns an attempt that an earlier owner started. Whether it was
// evicted before is not known, so it counts as evicted.
func adopted(status platform.AttemptStatus, now time.Time, lease time.Duration) *attempt {
	return &attempt{
		phase: running,
		request: platform.StartRequest{
			Task: status.Task, Token: status.Token, Class: status.Class, Kind: status.Kind, Size: status.Size,
		},
		started:    now,
		leaseEnd:   now.Add(lease),
		checkpoint: status.Checkpoint,
		share:      1,
		evicted:    true,
	}
}

// absent ends the attempts that the report does not list although the worker
// wrote it after it would have known them.
func (s *State) absent(w *worker, seen map[platform.AttemptRef]bool, sent time.Time) {
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if seen[ref] {
			continue
		}
		switch {
		case a.phase == starting && w.clock > a.request.NotAfter:
			s.emit(w, ref, a, NeverStarted, "start expired on its way", sent)
			a.phase = ended
		case a.phase == running && sent.After(a.started):
			s.emit(w, ref, a, Lapsed, "worker no longer knows the attempt", sent)
			a.phase = ended
		}
	}
}

// measure stores the lagging usage of the attempts.
func (s *State) measure(w *worker, usage []platform.Usage) {
	for _, u := range usage {
		a, ok := w.attempts[platform.AttemptRef{Task: u.Task, Attempt: u.Attempt}]
		if !ok {
			continue
		}
		a.used = u.Used
		a.slowdown = u.Slowdown
	}
}

// lapse ends the attempts of a worker whose leases have surely run out. The
// claim must have been current at their ends: a newer owner may renew them.
func (s *State) lapse(vm string, owned, now time.Time) {
	w := s.workers[vm]
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if a.phase != starting && a.phase != running {
			continue
		}
		if owned.After(a.leaseEnd) {
			s.emit(w, ref, a, Lapsed, "lease ran out while the worker did not answer", now)
			a.phase = ended
		}
	}
}

// lapseBound returns when every lease that an earlier owner could have granted
// on a worker that was never reached has run out. The earlier owner renews at
// most for the allowance after it last knew its claim to be current; a pause
// between its check and its send is bounded by the lease before.
func (s *State) lapseBound(c Conditions) time.Time {
	policy := c.policy(s.path).Tasks
	return s.took.Add(withDrift(policy.OutageAllowance + 2*policy.Lease + startWindow))
}
