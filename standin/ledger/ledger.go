// Package ledger records what actually happened at the stand-ins: where and when
// each attempt ran, and how often each request was executed.
package ledger

import (
	"fmt"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Run is one attempt of a task on a worker. End is the zero time while it runs.
type Run struct {
	Task          string          `json:"task"`
	Attempt       int             `json:"attempt"`
	Kind          string          `json:"kind"`
	Class         fleet.TaskClass `json:"class"`
	VM            string          `json:"vm"`
	FailureDomain fleet.Path      `json:"failure_domain"`
	Size          fleet.Resources `json:"size"`
	Checkpoint    string          `json:"checkpoint,omitempty"` // that it resumed from
	Start         time.Time       `json:"start"`
	LeaseEnd      time.Time       `json:"lease_end"`
	End           time.Time       `json:"end,omitzero"`
	Outcome       string          `json:"outcome,omitempty"`
	Progress      float64         `json:"progress"`
	Finished      bool            `json:"finished,omitempty"` // the task has completed
	EndUnreported bool            `json:"untold,omitempty"`   // the VM failed before the owner had recorded the end
}

// Execution is one execution of a request at an endpoint.
type Execution struct {
	Endpoint string    `json:"endpoint"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	BodyHash string    `json:"body_hash"`
	Start    time.Time `json:"start"`
	Answered bool      `json:"answered"` // the complete answer was written
}

// Violation is one case of a broken guarantee.
type Violation struct {
	Kind   ViolationKind `json:"kind"`
	Time   time.Time     `json:"time"`
	Detail string        `json:"detail"`
}

// ViolationKind identifies the broken guarantee.
type ViolationKind string

// The kinds of violation.
const (
	DoubleRun    ViolationKind = "double-run"    // two attempts of a task ran at once
	DoubleFinish ViolationKind = "double-finish" // a task finished more than once
	Overcommit   ViolationKind = "overcommit"    // the tasks on a worker exceeded its size
)

// Ledger records runs and executions, and the violations among them. It is safe
// for concurrent use.
type Ledger struct {
	mu         sync.Mutex // protects the rest
	runs       []*Run
	byTask     map[string][]*Run
	byVM       map[string]map[*Run]struct{} // runs that have not ended
	sizes      map[string]fleet.Resources   // by VM
	requests   map[string][]*Execution      // by request id
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

// AddVM adds a worker of the given size. It must be called before StartRun for
// that worker.
func (l *Ledger) AddVM(vm string, size fleet.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sizes[vm] = size
	l.byVM[vm] = make(map[*Run]struct{})
}

// StartRun records the start of an attempt and checks for DoubleRun and
// Overcommit.
func (l *Ledger) StartRun(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &r
	for _, other := range l.byTask[r.Task] {
		if other.runsAt(r.Start) {
			l.addViolation(DoubleRun, r.Start, "task %s attempt %d on %s while attempt %d runs on %s", r.Task, r.Attempt, r.VM, other.Attempt, other.VM)
		}
	}
	l.runs = append(l.runs, run)
	l.byTask[r.Task] = append(l.byTask[r.Task], run)
	l.byVM[r.VM][run] = struct{}{}
	committed := l.committed(r.VM, r.Start)
	if !committed.Fits(l.sizes[r.VM]) {
		l.addViolation(Overcommit, r.Start, "tasks on %s take %s of %s", r.VM, committed, l.sizes[r.VM])
	}
	return run
}

// RenewRun records the new end of the lease of an attempt.
func (l *Ledger) RenewRun(run *Run, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.LeaseEnd = until
}

// EndRun records the end of an attempt. If finished is true, the task has
// completed; EndRun then checks for DoubleFinish.
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
			l.addViolation(DoubleFinish, at, "task %s finished in attempt %d and again in attempt %d", run.Task, other.Attempt, run.Attempt)
		}
	}
}

// MarkEndUnreported records that the VM of an ended run failed before the owner had
// recorded the end. The task may then finish again without a violation.
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

// Answered records that the complete answer to an execution was written.
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

func (l *Ledger) addViolation(kind ViolationKind, at time.Time, format string, args ...any) {
	l.violations = append(l.violations, Violation{Kind: kind, Time: at, Detail: fmt.Sprintf(format, args...)})
}

// runsAt reports whether the attempt runs at t. It no longer runs once its lease
// has expired, even before the worker records the end.
func (r *Run) runsAt(t time.Time) bool {
	if r.Start.After(t) || !r.LeaseEnd.After(t) {
		return false
	}
	return r.End.IsZero() || r.End.After(t)
}
