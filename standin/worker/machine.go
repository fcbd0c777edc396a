// Package worker stands in for the platform's workers.
package worker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// endless is the run time of a task that ends only when it is stopped.
const endless = time.Duration(math.MaxInt64)

// attemptLost is the state of an attempt whose VM failed. No report tells it.
const attemptLost platform.AttemptState = "lost"

// Observer is told what happens at a worker. Times are by its own clock.
type Observer interface {
	Started(r platform.StartRequest, now, until time.Duration)
	Renewed(ref platform.AttemptRef, until time.Duration)
	Ended(s platform.AttemptStatus, at time.Duration)
	// Lost tells of an attempt that ended, but was not settled when the VM failed.
	Lost(ref platform.AttemptRef)
}

// Machine decides what a worker does. It holds no clock: each call is given
// the time of the worker's clock, which never goes back.
type Machine struct {
	vm       string
	size     fleet.Resources
	pace     Pace
	observer Observer
	term     platform.Offset
	now      time.Duration
	attempts []*attempt     // running and ended, until settled
	newest   map[string]int // newest attempt started, by task
	failAll  bool
	factor   float64 // true run time over declared
	version  version
}

// attempt is one attempt of a task at this worker.
type attempt struct {
	status  platform.AttemptStatus
	until   time.Duration // end of the lease
	runTime time.Duration // when alone and not throttled
	share   float64
	changed platform.Version // when the status last changed, apart from progress
}

// NewMachine returns a worker without tasks.
func NewMachine(vm string, size fleet.Resources, pace Pace, o Observer) *Machine {
	return &Machine{vm: vm, size: size, pace: pace, observer: o, term: -1, newest: make(map[string]int), factor: 1, version: firstVersion}
}

// SetFault makes all tasks fail and scales the run times of later starts.
func (m *Machine) SetFault(failAll bool, factor float64) {
	m.failAll = failAll
	m.factor = factor
	if factor <= 0 {
		m.factor = 1
	}
}

// Start starts an attempt or returns a refusal.
func (m *Machine) Start(now time.Duration, r platform.StartRequest) (platform.AttemptStatus, *platform.RefusedError) {
	m.Advance(now)
	if refused := m.adopt(r.Token.Term); refused != nil {
		return platform.AttemptStatus{}, refused
	}
	if refused := m.admit(r); refused != nil {
		return platform.AttemptStatus{}, refused
	}
	a := &attempt{
		status: platform.AttemptStatus{
			Task: r.Task, Token: r.Token, State: platform.AttemptRunning, Class: r.Class, Kind: r.Kind, Size: r.Size,
			Checkpoint: r.Checkpoint, Progress: progressOf(r.Checkpoint),
		},
		until:   m.now + r.Lease,
		runTime: m.runTime(r),
		share:   1,
		changed: m.version.next(),
	}
	m.attempts = append(m.attempts, a)
	m.newest[r.Task] = r.Token.Attempt
	m.observer.Started(r, m.now, a.until)
	if m.failAll {
		m.end(a, platform.AttemptFailed, m.now)
	}
	return a.status, nil
}

// Renew extends the leases of running attempts and adopts the term.
func (m *Machine) Renew(now time.Duration, r platform.RenewRequest) *platform.RefusedError {
	m.Advance(now)
	if refused := m.adopt(r.Term); refused != nil {
		return refused
	}
	listed := make(map[platform.AttemptRef]bool, len(r.Attempts))
	for _, ref := range r.Attempts {
		listed[ref] = true
	}
	known := r.Known && m.version.follows(r.Since)
	for _, a := range m.running() {
		if listed[a.ref()] || known && a.changed <= r.Since {
			a.until = m.now + r.Lease
			m.observer.Renewed(a.ref(), a.until)
		}
	}
	m.forget(r.Settled)
	return nil
}

// Checkpoint saves the progress of a running attempt.
func (m *Machine) Checkpoint(now time.Duration, r platform.ControlRequest) (platform.AttemptStatus, *platform.RefusedError) {
	a, refused := m.control(now, r)
	if refused != nil {
		return platform.AttemptStatus{}, refused
	}
	if a.status.State == platform.AttemptRunning {
		a.status.Checkpoint = checkpointOf(a.status)
		a.changed = m.version.next()
	}
	return a.status, nil
}

// Throttle changes the share of its size that a running attempt may use.
func (m *Machine) Throttle(now time.Duration, r platform.ControlRequest) (platform.AttemptStatus, *platform.RefusedError) {
	if !(r.Share > 0 && r.Share <= 1) {
		return platform.AttemptStatus{}, m.refusal(platform.RefusedBadRequest, "share %v is not above 0 and at most 1", r.Share)
	}
	a, refused := m.control(now, r)
	if refused != nil {
		return platform.AttemptStatus{}, refused
	}
	a.share = r.Share
	return a.status, nil
}

// Stop ends an attempt. One that has ended already keeps its state.
func (m *Machine) Stop(now time.Duration, r platform.ControlRequest) (platform.AttemptStatus, *platform.RefusedError) {
	a, refused := m.control(now, r)
	if refused != nil {
		return platform.AttemptStatus{}, refused
	}
	if a.status.State == platform.AttemptRunning {
		m.end(a, platform.AttemptStopped, m.now)
	}
	return a.status, nil
}

// Kill ends all running attempts, as when the VM fails.
func (m *Machine) Kill(now time.Duration) {
	m.Advance(now)
	for _, a := range m.attempts {
		if a.status.State == platform.AttemptRunning {
			m.end(a, attemptLost, m.now)
		}
		m.observer.Lost(a.ref())
	}
	m.attempts = nil
	m.version.restart()
}

// Skip moves the clock to now without progress, as when the VM is paused.
// Leases run out all the same.
func (m *Machine) Skip(now time.Duration) {
	for _, a := range m.running() {
		if a.until <= now {
			m.end(a, platform.AttemptLapsed, a.until)
		}
	}
	m.now = max(m.now, now)
}

// Report returns the worker's account of itself, without usage.
func (m *Machine) Report(now time.Duration) platform.Report {
	m.Advance(now)
	r := platform.Report{VM: m.vm, Clock: int64(m.now), Term: m.term, Size: m.size, Version: platform.Version(m.version)}
	for _, a := range m.attempts {
		r.Attempts = append(r.Attempts, a.status)
	}
	return r
}

// ReportSince returns what changed after the version, or everything when that
// version is not one of the present count.
func (m *Machine) ReportSince(now time.Duration, since platform.Version) platform.Report {
	r := m.Report(now)
	if !m.version.follows(since) {
		return r
	}
	r.Since = since
	r.Attempts = nil
	for _, a := range m.attempts {
		if a.changed > since {
			r.Attempts = append(r.Attempts, a.status)
		}
	}
	return r
}

// adopt refuses an older term and remembers a newer one.
func (m *Machine) adopt(term platform.Offset) *platform.RefusedError {
	if term < m.term {
		return m.refusal(platform.RefusedOldTerm, "term %d is older than %d", term, m.term)
	}
	if term > m.term {
		m.version.restart()
	}
	m.term = term
	return nil
}

func (m *Machine) admit(r platform.StartRequest) *platform.RefusedError {
	if r.Task == "" || r.Size.IsNegative() || r.Size.IsZero() || r.Lease <= 0 || r.RunTime < 0 {
		return m.refusal(platform.RefusedBadRequest, "task, size, lease or run time is not valid")
	}
	if int64(m.now) > r.NotAfter {
		return m.refusal(platform.RefusedExpired, "clock %d is past %d", m.now, r.NotAfter)
	}
	if newest, ok := m.newest[r.Task]; ok && r.Token.Attempt <= newest {
		return m.refusal(platform.RefusedOldAttempt, "attempt %d of %s is not newer than %d", r.Token.Attempt, r.Task, newest)
	}
	committed := m.committed()
	if !committed.Add(r.Size).Fits(m.size) {
		return m.refusal(platform.RefusedOvercommit, "%s beside %s does not fit %s", r.Size, committed, m.size)
	}
	return nil
}

func (m *Machine) control(now time.Duration, r platform.ControlRequest) (*attempt, *platform.RefusedError) {
	m.Advance(now)
	if refused := m.adopt(r.Token.Term); refused != nil {
		return nil, refused
	}
	a := m.find(platform.AttemptRef{Task: r.Task, Attempt: r.Token.Attempt})
	if a == nil {
		return nil, m.refusal(platform.RefusedUnknownTask, "attempt %d of %s is not here", r.Token.Attempt, r.Task)
	}
	return a, nil
}

func (m *Machine) committed() fleet.Resources {
	var sum fleet.Resources
	for _, a := range m.running() {
		sum = sum.Add(a.status.Size)
	}
	return sum
}

func (m *Machine) running() []*attempt {
	var out []*attempt
	for _, a := range m.attempts {
		if a.status.State == platform.AttemptRunning {
			out = append(out, a)
		}
	}
	return out
}

func (m *Machine) find(ref platform.AttemptRef) *attempt {
	for _, a := range m.attempts {
		if a.ref() == ref {
			return a
		}
	}
	return nil
}

func (m *Machine) forget(settled []platform.AttemptRef) {
	m.attempts = slices.DeleteFunc(m.attempts, func(a *attempt) bool {
		return a.status.State != platform.AttemptRunning && slices.Contains(settled, a.ref())
	})
}

func (m *Machine) end(a *attempt, state platform.AttemptState, at time.Duration) {
	a.status.State = state
	a.changed = m.version.next()
	if state == platform.AttemptFailed {
		a.status.Error = "task failed on " + m.vm
	}
	m.observer.Ended(a.status, at)
}

func (m *Machine) refusal(reason platform.RefusalReason, format string, args ...any) *platform.RefusedError {
	return &platform.RefusedError{Reason: reason, Detail: fmt.Sprintf(format, args...), Term: m.term}
}

func (a *attempt) ref() platform.AttemptRef {
	return platform.AttemptRef{Task: a.status.Task, Attempt: a.status.Token.Attempt}
}
