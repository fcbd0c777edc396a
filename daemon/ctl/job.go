package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peridotlock/peridotlock/api/command"
	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/job"
)

type jobCommand struct {
	Submit  submitCommand  `cmd:"" help:"Submit the jobs in files."`
	Show    showJobCommand `cmd:"" help:"Show a job and its tasks."`
	List    listCommand    `cmd:"" help:"List jobs."`
	Cancel  cancelCommand  `cmd:"" help:"Cancel a job."`
	Explain explainCommand `cmd:"" help:"Say why the tasks of a job wait or where they went."`
	Watch   watchCommand   `cmd:"" help:"Follow a job to its end."`
}

type submitCommand struct {
	Files []string `arg:"" name:"file" help:"Job files."`
	Key   string   `help:"Idempotency key for the jobs without one; repeat the one of a submission whose outcome is unknown."`
}

func (c *submitCommand) check() finding.List {
	_, found := c.read()
	return found
}

func (c *submitCommand) read() ([]job.Spec, finding.List) {
	var jobs []job.Spec
	var found finding.List
	for _, file := range c.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			found = append(found, finding.Finding{File: file, Message: err.Error()})
			continue
		}
		list, err := job.ParseFile(file, data)
		var faults finding.List
		if errors.As(err, &faults) {
			found = append(found, faults...)
		}
		jobs = append(jobs, list...)
	}
	if len(jobs) > command.MaxJobs {
		found.Addf("file", "%d jobs are more than %d; submit them in parts", len(jobs), command.MaxJobs)
	}
	return jobs, found
}

var (
	errNotAllAccepted = errors.New("not every job was accepted")
	errSomeUnknown    = errors.New("the outcome of some jobs is unknown")
)

// Run submits the jobs.
func (c *submitCommand) Run(s *session) error {
	jobs, found := c.read()
	if len(found) > 0 {
		return found
	}
	key := c.Key
	if key == "" {
		key = newKey()
	}
	list, err := s.client.Submit(s.ctx, key, jobs)
	if err != nil {
		return err
	}
	if err := s.printSubmissions(list); err != nil {
		return err
	}
	return submissionError(list, key)
}

func (s *session) printSubmissions(list []command.Submission) error {
	return s.out.print(list, func(w io.Writer) {
		for _, l := range list {
			fmt.Fprintf(w, "%s job=%s key=%s duplicate=%t %s\n", l.Outcome, l.ID, l.Key, l.Duplicate, l.Detail)
		}
	})
}

func submissionError(list []command.Submission, key string) error {
	refused := false
	for _, l := range list {
		if l.Outcome == problem.Unknown {
			err := fmt.Errorf("%w; run the same command again with --key %s, each job is taken at most once", errSomeUnknown, key)
			return &exitError{code: ExitUnreachable, err: err}
		}
		refused = refused || l.Outcome != problem.Accepted
	}
	if refused {
		return &exitError{code: ExitRefused, err: errNotAllAccepted}
	}
	return nil
}

type showJobCommand struct {
	ID string `arg:"" help:"Job."`
}

// Run prints the job.
func (c *showJobCommand) Run(s *session) error {
	st, err := s.client.Show(s.ctx, c.ID)
	if err != nil {
		return err
	}
	return s.out.print(st, func(w io.Writer) { printJob(w, st) })
}

func printJob(w io.Writer, st job.Status) {
	fmt.Fprintf(w, "job=%s name=%s team=%s state=%s tasks=%d\n", st.ID, st.Spec.Name, st.Spec.Team, st.State, len(st.Tasks))
	for _, t := range st.Tasks {
		fmt.Fprintf(w, "  task=%s state=%s attempt=%d vm=%s evictions=%d failures=%d %s\n", t.ID, t.State, t.Attempt, t.VM, t.Evictions, t.Failures, t.Reason)
	}
}

type listCommand struct {
	Team  string `help:"Only jobs of this team."`
	State string `help:"Only jobs in this state."`
	Limit string `help:"How many." default:"50"`
}

func (c *listCommand) check() finding.List {
	var found finding.List
	count(&found, "--limit", c.Limit, 1, maxLimit)
	return found
}

// Run prints the jobs.
func (c *listCommand) Run(s *session) error {
	filter := query.JobFilter{Team: branchPath(c.Team), State: job.State(c.State), Limit: countOf(c.Limit)}
	list, err := s.client.List(s.ctx, filter)
	if err != nil {
		return err
	}
	return s.out.table(list, "JOB\tNAME\tTEAM\tSTATE\tCOUNT\tSUBMITTED", func(w io.Writer) {
		for _, st := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", st.ID, st.Spec.Name, st.Spec.Team, st.State, st.Spec.Count, st.Submitted.UTC().Format(time.RFC3339))
		}
	})
}

type cancelCommand struct {
	ID string `arg:"" help:"Job."`
}

// Run cancels the job.
func (c *cancelCommand) Run(s *session) error {
	out, err := s.client.Cancel(s.ctx, c.ID)
	if err != nil {
		return err
	}
	return s.out.print(out, func(w io.Writer) { fmt.Fprintf(w, "accepted job=%s state=%s\n", out.ID, out.State) })
}

type explainCommand struct {
	ID string `arg:"" help:"Job."`
}

// Run prints the explanations.
func (c *explainCommand) Run(s *session) error {
	list, err := s.client.Explain(s.ctx, c.ID)
	if err != nil {
		return err
	}
	return s.out.print(list, func(w io.Writer) {
		for _, e := range list {
			fmt.Fprintf(w, "task=%s state=%s vm=%s\n", e.Task, e.State, e.VM)
			for _, reason := range e.Reasons {
				fmt.Fprintf(w, "  %s\n", reason)
			}
		}
	})
}
