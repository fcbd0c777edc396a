package ctl

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/peridotlock/peridotlock/api/command"
	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/settings"
)

// editFlags are common to all commands that edit the settings.
type editFlags struct {
	Author string `help:"Author of the edit; defaults to the name of the user."`
	Note   string `help:"Reason for the edit."`
	Key    string `help:"Idempotency key; to repeat an edit whose outcome is unknown, give its key."`
	Wait   string `help:"Maximum time to wait until the edit is in force on all processes, such as 7s."`
}

func (f *editFlags) check() finding.List {
	var found finding.List
	parseDuration(&found, "--wait", f.Wait)
	if len(f.Note) > settings.MaxNoteBytes {
		found.Addf("--note", "must not exceed %d bytes", settings.MaxNoteBytes)
	}
	if len(f.Author) > settings.MaxAuthorBytes {
		found.Addf("--author", "must not exceed %d bytes", settings.MaxAuthorBytes)
	}
	return found
}

func (f *editFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

// newKey returns a random idempotency key.
func newKey() string { return "ctl-" + rand.Text() }

func (f *editFlags) key() string {
	if f.Key != "" {
		return f.Key
	}
	return newKey()
}

// publishResult is the output for an accepted edit.
type publishResult struct {
	Outcome problem.Outcome `json:"outcome"`
	Receipt command.Receipt `json:"receipt"`
	InForce *query.InForce  `json:"in_force,omitempty"`
	Took    time.Duration   `json:"took_ns"` // until in force, or until accepted
}

// publish sends an edit and prints its outcome. With --wait it also waits until
// the edit is in force on all processes.
func (s *session) publish(f *editFlags, e settings.Edit) error {
	e.Author = f.author()
	e.Note = f.Note
	key := f.key()
	begin := time.Now()
	receipt, err := s.client.Publish(s.ctx, key, e)
	if err != nil {
		return s.withChanges(err, e)
	}
	wait := durationOf(f.Wait)
	if wait == 0 {
		return s.printPublished(publishResult{Outcome: problem.Accepted, Receipt: receipt, Took: time.Since(begin)})
	}
	state, err := s.awaitInForce(receipt, wait)
	p := publishResult{Outcome: problem.Accepted, Receipt: receipt, InForce: state, Took: time.Since(begin)}
	return errors.Join(s.printPublished(p), err)
}

// lostError is the problem of a lost edit with the lines changed since its base.
type lostError struct {
	*problem.Problem
	changed []diffLine
}

// Unwrap returns the problem.
func (e *lostError) Unwrap() error { return e.Problem }

// withChanges adds to the error of a lost edit the lines of its branch that
// changed since its base. Other errors are returned unchanged, and so is the error
// of a lost edit if either document is not available.
func (s *session) withChanges(err error, e settings.Edit) error {
	var p *problem.Problem
	if !errors.As(err, &p) || p.Type != problem.Lost || e.Base < 0 {
		return err
	}
	before, beforeErr := s.client.Document(s.ctx, e.Branch, e.Base)
	now, nowErr := s.client.Document(s.ctx, e.Branch, query.Latest)
	if beforeErr != nil || nowErr != nil {
		return err
	}
	return &lostError{Problem: p, changed: diffLines(splitLines(before.Text), splitLines(now.Text))}
}

func (s *session) printPublished(p publishResult) error {
	return s.out.print(p, func(w io.Writer) {
		fmt.Fprintf(w, "accepted revision=%d key=%s\n", p.Receipt.Revision, p.Receipt.Key)
		if p.InForce == nil {
			return
		}
		if p.InForce.Complete {
			took := p.Took.Round(time.Millisecond)
			fmt.Fprintf(w, "in force on all %d processes after %v\n", len(p.InForce.VMs), took)
			return
		}
		for _, a := range p.InForce.VMs {
			if !a.Acknowledged {
				fmt.Fprintf(w, "not acknowledged vm=%s process=%s revision=%d\n", a.VM, a.Process, a.Revision)
			}
		}
	})
}

// Interval between polls of an awaited state. It doubles up to the maximum.
const (
	initialPollInterval = 20 * time.Millisecond
	maxPollInterval     = 200 * time.Millisecond
)

var errNotInForce = errors.New("accepted, but not in force everywhere in time")

// awaitInForce polls until every process has acknowledged the revision, or fails
// with exit code ExitNotInForce after wait. It returns the state of the last
// response, or nil if there was none.
func (s *session) awaitInForce(r command.Receipt, wait time.Duration) (*query.InForce, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	var last *query.InForce
	for interval := initialPollInterval; ; interval = min(2*interval, maxPollInterval) {
		state, err := s.client.InForce(s.ctx, r.Revision)
		if err == nil {
			last = &state
		}
		if err == nil && state.Complete && len(state.VMs) > 0 {
			return last, nil
		}
		select {
		case <-deadline.C:
			return last, &exitError{code: ExitNotInForce, err: errNotInForce}
		case <-s.ctx.Done():
			return last, &exitError{code: ExitNotInForce, err: errNotInForce}
		case <-time.After(interval):
		}
	}
}
