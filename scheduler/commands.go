package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/api/command"
	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
)

// publisher implements command.Settings.
type publisher struct{ s *Scheduler }

// Publish implements command.Settings. No record is spent on an edit that would
// be lost or invalid now.
func (p publisher) Publish(ctx context.Context, e command.Edit) (command.Receipt, error) {
	if ok, reason := p.s.follow.Ready(); !ok {
		return command.Receipt{}, problem.NotReady("settings are not known yet: %s", reason)
	}
	if err := p.catchUp(ctx, e.Base); err != nil {
		return command.Receipt{}, err
	}
	trial := p.s.settings.Trial(e.Edit)
	if known, ok := p.s.settings.Outcome(e.Key); ok {
		return receipt(e.Key, known), nil
	}
	if trial.Result != settings.Applied {
		return receipt(e.Key, trial), nil
	}
	data, err := e.Encode()
	if err != nil {
		return command.Receipt{}, fmt.Errorf("encode edit: %w", err)
	}
	entry := stream.Entry{ID: e.Key, Data: data, Priority: stream.Urgent}
	offset, err := p.s.writer.Append(ctx, stream.SettingsStream, entry)
	if err != nil {
		return command.Receipt{}, err
	}
	return p.readBack(ctx, e.Key, offset)
}

// catchUpLimit bounds the wait for an edit's base.
const catchUpLimit = 3 * time.Second

// catchUp waits until this node has read the base of an edit, which the client
// may have from a node that is ahead.
func (p publisher) catchUp(ctx context.Context, base platform.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	if err := p.s.follow.WaitFor(ctx, base); err != nil {
		return problem.NotReady("revision %d, from which the edit was made, is not known here", base)
	}
	return nil
}

// readBack waits until the record was interpreted. It is on the log, so a
// failure to learn its effect leaves the outcome in doubt.
func (p publisher) readBack(ctx context.Context, key string, offset platform.Offset) (command.Receipt, error) {
	if err := p.s.follow.WaitFor(ctx, offset); err != nil {
		return command.Receipt{}, fmt.Errorf("%w: recorded at offset %d but not read back: %w", platform.ErrInDoubt, offset, err)
	}
	change, ok := p.s.settings.Outcome(key)
	if !ok {
		return command.Receipt{}, fmt.Errorf("%w: recorded at offset %d, its effect is no longer kept", platform.ErrInDoubt, offset)
	}
	p.s.log.Info("settings changed", "revision", change.Revision, "branch", change.Branch, "result", change.Result, "author", change.Author)
	return receipt(key, change), nil
}

func receipt(key string, c settings.Change) command.Receipt {
	return command.Receipt{Key: key, Revision: c.Revision, Change: c}
}

// jobCommands implements command.Jobs.
type jobCommands struct{ s *Scheduler }

// Submit implements command.Jobs.
func (c jobCommands) Submit(ctx context.Context, jobs []job.Spec) ([]command.Submission, error) {
	v := c.s.view()
	if v == nil {
		return nil, problem.NotReady("settings are not known yet")
	}
	if err := checkReferences(v, jobs); err != nil {
		return nil, err
	}
	out := make([]command.Submission, len(jobs))
	for i, spec := range jobs {
		st, repeated, err := c.s.client.Submit(ctx, spec)
		out[i] = submissionOf(spec, st, repeated, err)
	}
	return out, nil
}

// checkReferences finds names in jobs that the settings don't have.
func checkReferences(v *settings.View, jobs []job.Spec) error {
	var found finding.List
	for i, spec := range jobs {
		for _, f := range spec.CheckReferences(v) {
			found.Addf(fmt.Sprintf("jobs[%d].%s", i, f.Key), "%s", f.Message)
		}
	}
	return found.Err()
}

func submissionOf(spec job.Spec, st job.Status, repeated bool, err error) command.Submission {
	out := command.Submission{Key: spec.IdempotencyKey, ID: st.ID, Outcome: problem.Accepted, Duplicate: repeated}
	switch {
	case err == nil:
		return out
	case errors.Is(err, queue.ErrNotDone):
		out.Outcome = problem.Refused
	default:
		out.Outcome = problem.Unknown
	}
	out.Detail = err.Error()
	return out
}

// Cancel implements command.Jobs.
func (c jobCommands) Cancel(ctx context.Context, id string) (command.Cancellation, error) {
	st, err := c.s.client.Cancel(ctx, id, "cancelled by an operator")
	if err != nil {
		return command.Cancellation{}, jobError(err)
	}
	return command.Cancellation{ID: st.ID, State: st.State}, nil
}

// jobError maps an error of the queue's owner to what the interface reports.
func jobError(err error) error {
	switch {
	case errors.Is(err, queue.ErrUnknownJob):
		return problem.Missing("%v", err)
	case errors.Is(err, queue.ErrInvalid):
		return finding.List{{Message: err.Error()}}
	case errors.Is(err, queue.ErrNotDone):
		return problem.NotReady("%v", err)
	}
	return fmt.Errorf("%w: %w", platform.ErrInDoubt, err)
}
