package ledger

import (
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Filter selects runs; zero members select all.
type Filter struct {
	Task          string
	FailureDomain fleet.Path
	After         time.Time // started after
	Before        time.Time // started before
	Running       bool      // not ended yet
}

// Summary counts what the ledger holds.
type Summary struct {
	Runs             int                   `json:"runs"`
	Running          int                   `json:"running"`
	Outcomes         map[string]int        `json:"outcomes"`       // ended runs by outcome
	TasksFinished    int                   `json:"tasks_finished"` // each counts once
	Resumes          int                   `json:"resumes"`        // runs that began at a checkpoint
	RunsByDomain     map[fleet.Path]int    `json:"runs_by_domain"`
	Requests         int                   `json:"requests"`
	Executions       int                   `json:"executions"`
	RequestsRepeated int                   `json:"requests_repeated"` // executed more than once
	Violations       []Violation           `json:"violations"`
	ViolationCounts  map[ViolationKind]int `json:"violation_counts"`
}

// Summary returns the counts of now.
func (l *Ledger) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Summary{
		Runs:            len(l.runs),
		Outcomes:        make(map[string]int),
		RunsByDomain:    make(map[fleet.Path]int),
		Requests:        len(l.requests),
		Violations:      append([]Violation{}, l.violations...),
		ViolationCounts: make(map[ViolationKind]int),
	}
	for _, r := range l.runs {
		s.addRun(r)
	}
	for _, runs := range l.byTask {
		if slices.ContainsFunc(runs, func(r *Run) bool { return r.Finished }) {
			s.TasksFinished++
		}
	}
	for _, executions := range l.requests {
		s.Executions += len(executions)
		if len(executions) > 1 {
			s.RequestsRepeated++
		}
	}
	for _, v := range l.violations {
		s.ViolationCounts[v.Kind]++
	}
	return s
}

func (s *Summary) addRun(r *Run) {
	s.RunsByDomain[r.FailureDomain]++
	if r.Checkpoint != "" {
		s.Resumes++
	}
	if r.End.IsZero() {
		s.Running++
		return
	}
	s.Outcomes[r.Outcome]++
}

// Runs returns the runs that the filter selects, in the order of their starts.
func (l *Ledger) Runs(f Filter) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Run{}
	for _, r := range l.runs {
		if f.selects(r) {
			out = append(out, *r)
		}
	}
	return out
}

func (f Filter) selects(r *Run) bool {
	if f.Task != "" && f.Task != r.Task {
		return false
	}
	if f.Running && !r.End.IsZero() || !f.Before.IsZero() && !r.Start.Before(f.Before) {
		return false
	}
	return f.FailureDomain.Contains(r.FailureDomain) && r.Start.After(f.After)
}

// ExecutionFilter selects executions; zero members select all.
type ExecutionFilter struct {
	Request  string
	Endpoint string
	After    time.Time // started after
}

// Executions returns the executions that the filter selects.
func (l *Ledger) Executions(f ExecutionFilter) []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Execution{}
	for id, executions := range l.requests {
		if f.Request != "" && f.Request != id {
			continue
		}
		for _, e := range executions {
			if f.selects(e) {
				out = append(out, *e)
			}
		}
	}
	return out
}

func (f ExecutionFilter) selects(e *Execution) bool {
	return (f.Endpoint == "" || f.Endpoint == e.Endpoint) && e.Start.After(f.After)
}

// ExecutionCounts returns how often each request was executed.
func (l *Ledger) ExecutionCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.requests))
	for id, executions := range l.requests {
		out[id] = len(executions)
	}
	return out
}
