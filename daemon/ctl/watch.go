package ctl

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/job"
)

type watchCommand struct {
	ID      string `arg:"" help:"Job."`
	Timeout string `help:"Stop after this long, such as 10m." default:"24h"`
}

func (c *watchCommand) check() finding.List {
	var found finding.List
	duration(&found, "--timeout", c.Timeout)
	return found
}

var (
	errNotFinal    = errors.New("the job is not final yet")
	errNotFinished = errors.New("the job did not finish")
)

// Run prints the job at each change until it is final. A server that does not
// answer for a while does not end the watch.
func (c *watchCommand) Run(s *session) error {
	deadline := time.NewTimer(durationOf(c.Timeout))
	defer deadline.Stop()
	last := ""
	for {
		st, err := s.client.Show(s.ctx, c.ID)
		if err != nil && !isUnreachable(err) {
			return err
		}
		if now := summary(st); err == nil && now != last {
			last = now
			if err := s.out.print(st, func(w io.Writer) { fmt.Fprintln(w, now) }); err != nil {
				return err
			}
		}
		if err == nil && st.State.IsFinal() {
			return finalError(st)
		}
		select {
		case <-deadline.C:
			return &exitError{code: ExitNotInForce, err: errors.Join(errNotFinal, err)}
		case <-s.ctx.Done():
			return &exitError{code: ExitNotInForce, err: errors.Join(errNotFinal, err)}
		case <-time.After(pollEvery):
		}
	}
}

func isUnreachable(err error) bool { return describe(err).Code == ExitUnreachable }

func finalError(st job.Status) error {
	if st.State == job.Finished {
		return nil
	}
	return &exitError{code: ExitRefused, err: fmt.Errorf("%w: state %s", errNotFinished, st.State)}
}

// summary counts the tasks by state.
func summary(st job.Status) string {
	counts := map[job.State]int{}
	for _, t := range st.Tasks {
		counts[t.State]++
	}
	out := fmt.Sprintf("job=%s state=%s", st.ID, st.State)
	states := []job.State{job.Pending, job.Placed, job.Running, job.Evicted, job.Finished, job.Failed, job.Cancelled, job.Unschedulable}
	for _, state := range states {
		if counts[state] > 0 {
			out += fmt.Sprintf(" %s=%d", state, counts[state])
		}
	}
	return out
}
