// Package ledger records what truly happened at the stand-ins: which attempt
// ran where and when, and how often each request was executed.
package ledger

import (
	"fmt"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Run is one attempt of a task on a worker. End is zero while it runs.
type Run struct {
	Task          string          `json:"task"`
	Attempt       int             `json:"attempt"`
	Kind          string          `json:"kind"`
	Class         fleet.TaskClass `json:"class"`
	VM            string          `json:"vm"`
	FailureDomain fleet.Path      `json:"failure_domain"`
	Size          fleet.Resources `json:"size"`
	Checkpoint    string          `json:"checkpoint,omitempty"` // resumed from
	Start         time.Time       `json:"start"`
	LeaseEnd      time.Time       `json:"lease_end"`
	End           time.Time       `json:"end,omitzero"`
	Outcome       string          `json:"outcome,omitempty"`
	Progress      float64         `json:"progress"`
	Finished      bool            `json:"finished,omitempty"` // the task is done
	EndUnreported bool            `json:"untold,omitempty"`   // its VM failed before its owner had recorded the end
}

// Execution is one execution of a request at an endpoint.
type Execution struct {
	Endpoint string    `json:"endpoint"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	BodyHash string    `json:"body_hash"`
	Start    time.Time `json:"start"`
	Answered bool      `json:"answered"` // the whole answer was written
}

// Violation is a broken guarantee.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Time   time.Time     `json:"time"`
	Detail string        `json:"detail"`
}

// ViolationKind names a guarantee that was broken.
type ViolationKind string

// The kinds of violation.
const (
	DoubleRun    ViolationKind = "double-run"    // one task ran in two places at once
	DoubleFinish ViolationKind = "double-finish" // one task finished more than once
	Overcommit   ViolationKind = "overcommit"    // a worker held more than its size
)

// Ledger is safe for use by several goroutines.
type Ledger struct {
	mu         sync.Mutex // protects the rest
	runs       []*Run
	byTask     map[string][]*Run
	byVM       map[string]map[*Run]struct{} // those that run
	sizes      map[string]fleet.Resources
	requests   map[string][]*Execution
	violations []Violation
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		byTask:   make(map[string][]*Run),
		byVM:     make(map[string]map[*Run]struct{}),
		sizes:    make(map[string]fleet.Resources),
		requests: make(map[string][]*Execution),
	}
}

// AddVM tells the size of a worker.
func (l *Ledger) AddVM(vm string, size fleet.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sizes[vm] = size
	l.byVM[vm] = make(map[*Run]struct{})
}

// StartRun records the start of an attempt.
func (l *Ledger) StartRun(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &r
	for _, other := range l.byTask[r.Task] {
		if other.runsAt(r.Start) {
			l.violate(DoubleRun, r.Start, "task %s attempt %d on %s while attempt %d runs on %s", r.Task, r.Attempt, r.VM, other.Attempt, other.VM)
		}
	}
	l.runs = append(l.runs, run)
	l.byTask[r.Task] = append(l.byTask[r.Task], run)
	l.byVM[r.VM][run] = struct{}{}
	committed := l.committed(r.VM, r.Start)
	if !committed.Fits(l.sizes[r.VM]) {
		l.violate(Overcommit, r.Start, "%s holds %s of %s", r.VM, committed, l.sizes[r.VM])
	}
	return run
}

// RenewRun records until when an attempt may run.
func (l *Ledger) RenewRun(run *Run, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.LeaseEnd = until
}

// EndRun records the end of an attempt. Finished tells that the task is done.
func (l *Ledger) EndRun(run *Run, at time.Time, outcome string, progress float64, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.End = at
	run.Outcome = outcome
	run.Progress = progress
	run.Finished = finished
	delete(l.byVM[run.VM], run)
	if !finished {
		return
	}
	for _, other := range l.byTask[run.Task] {
		if other != run && other.Finished && !other.EndUnreported {
			l.violate(DoubleFinish, at, "task %s finished as attempt %d and %d", run.Task, other.Attempt, run.Attempt)
		}
	}
}

// MarkEndUnreported records that the VM of an ended run failed before the owner had
// recorded the end, so that the task may have to run again.
func (l *Ledger) MarkEndUnreported(task string, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.byTask[task] {
		if r.Attempt == attempt {
			r.EndUnreported = true
		}
	}
}

// StartExecution records that an endpoint began to execute a request.
func (l *Ledger) StartExecution(id string, e Execution) *Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = append(l.requests[id], &e)
	return &e
}

// Answered records that the whole answer was written.
func (l *Ledger) Answered(e *Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Answered = true
}

func (l *Ledger) committed(vm string, at time.Time) fleet.Resources {
	var sum fleet.Resources
	for r := range l.byVM[vm] {
		if r.runsAt(at) {
			sum = sum.Add(r.Size)
		}
	}
	return sum
}

func (l *Ledger) violate(kind ViolationKind, at time.Time, format string, args ...any) {
	l.violations = append(l.violations, Violation{Kind: kind, Time: at, Detail: fmt.Sprintf(format, args...)})
}

// runsAt reports whether the attempt runs at t. A worker whose lease on it ran
// out runs it no more, even before it says so.
func (r *Run) runsAt(t time.Time) bool {
	if r.Start.After(t) || !r.LeaseEnd.After(t) {
		return false
	}
	return r.End.IsZero() || r.End.After(t)
}
