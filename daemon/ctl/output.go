package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/peridotlock/peridotlock/api/client"
	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/finding"
)

// printer writes the answer of a command.
type printer struct {
	w    io.Writer
	json bool
}

// print writes v as JSON, or calls text.
func (p printer) print(v any, text func(w io.Writer)) error {
	if !p.json {
		text(p.w)
		return nil
	}
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes v as JSON, or the rows in columns under the header.
func (p printer) table(v any, header string, rows func(w io.Writer)) error {
	return p.print(v, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, header)
		rows(t)
		t.Flush()
	})
}

// exitError carries an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// outcome returns what became of the command that ended with the code.
func (e *exitError) outcome() problem.Outcome {
	switch e.code {
	case ExitNotInForce:
		return problem.Accepted
	case ExitUnreachable:
		return problem.Unknown
	}
	return problem.Refused
}

// failure is the JSON form of an error.
type failure struct {
	Error   string           `json:"error"`
	Code    int              `json:"exit_code"`
	Outcome problem.Outcome  `json:"outcome"`
	Key     string           `json:"key,omitempty"`
	Advice  []string         `json:"advice,omitempty"`
	Finding finding.List     `json:"findings,omitempty"`
	Problem *problem.Problem `json:"problem,omitempty"`
	Changed []diffLine       `json:"changed,omitempty"` // since the base of a lost edit
}

// report writes an error, if there is one, and returns the exit code.
func report(w io.Writer, output string, err error) int {
	if err == nil {
		return ExitOK
	}
	f := describe(err)
	if output == outputJSON {
		_ = json.NewEncoder(w).Encode(f)
		return f.Code
	}
	fmt.Fprintln(w, f.Error)
	if len(f.Changed) > 0 {
		printDiff(w, f.Changed)
	}
	for _, line := range f.Advice {
		fmt.Fprintln(w, "  "+line)
	}
	return f.Code
}

func describe(err error) failure {
	var found finding.List
	var unreachable *client.UnreachableError
	var p *problem.Problem
	var exit *exitError
	var lost *lostError
	switch {
	case errors.As(err, &exit):
		return failure{Error: err.Error(), Code: exit.code, Outcome: exit.outcome()}
	case errors.As(err, &found):
		return failure{Error: found.Error(), Code: ExitBadInput, Outcome: problem.Refused, Finding: found}
	case errors.As(err, &unreachable):
		return describeUnreachable(unreachable)
	case errors.As(err, &lost):
		f := describeProblem(lost.Problem)
		f.Changed = lost.changed
		return f
	case errors.As(err, &p):
		return describeProblem(p)
	}
	return failure{Error: err.Error(), Code: ExitRefused, Outcome: problem.Refused}
}

func describeUnreachable(e *client.UnreachableError) failure {
	f := failure{Error: e.Error(), Code: ExitUnreachable, Outcome: e.Outcome, Key: e.Key}
	if e.Outcome == problem.Unknown && e.Key != "" {
		f.Error = "outcome unknown: " + e.Error()
		f.Advice = []string{"run the same command again with --key " + e.Key + "; it takes effect at most once"}
		return f
	}
	f.Advice = []string{"nothing was changed; check --server and try again"}
	if e.Outcome == problem.Unknown {
		f.Advice = []string{"the outcome is unknown; run the same command again, it is safe to repeat"}
	}
	return f
}

func describeProblem(p *problem.Problem) failure {
	f := failure{Error: "refused: " + p.Error(), Code: ExitRefused, Outcome: p.Outcome, Finding: p.Findings, Problem: p}
	switch p.Type {
	case problem.Lost:
		for _, c := range p.Conflicts {
			f.Advice = append(f.Advice, c.String())
		}
		f.Advice = append(f.Advice, "read the branch again with settings show, and make the edit from there")
	case problem.Invalid:
		for _, line := range p.Findings {
			f.Advice = append(f.Advice, line.String())
		}
		f.Advice = append(f.Advice, "nothing was changed; mend the findings and try again")
	case problem.Unauthorised:
		f.Advice = []string{"give the operators' token with --token or PERIDOTCTL_TOKEN"}
	}
	return f
}
