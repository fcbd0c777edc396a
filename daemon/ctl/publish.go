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
	Author string `help:"Who makes the edit; the user's name unless given."`
	Note   string `help:"Why."`
	Key    string `help:"Idempotency key; repeat the one of an edit whose outcome is unknown."`
	Wait   string `help:"Wait at most this long until the edit is in force everywhere, such as 7s."`
}

func (f *editFlags) check() finding.List {
	var found finding.List
	duration(&found, "--wait", f.Wait)
	if len(f.Note) > settings.MaxNoteBytes {
		found.Addf("--note", "is longer than %d bytes", settings.MaxNoteBytes)
	}
	if len(f.Author) > settings.MaxAuthorBytes {
		found.Addf("--author", "is longer than %d bytes", settings.MaxAuthorBytes)
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

// newKey returns an idempotency key that no other command has.
func newKey() string { return "ctl-" + rand.Text() }

func (f *editFlags) key() string {
	if f.Key != "" {
		return f.Key
	}
	return newKey()
}

// published is the answer to an edit.
type published struct {
	Outcome problem.Outcome `json:"outcome"`
	Receipt command.Receipt `json:"receipt"`
	InForce *query.InForce  `json:"in_force,omitempty"`
	Took    time.Duration   `json:"took_ns"` // until in force, or until accepted
}

// publish sends an edit and prints what became of it.
func (s *session) publish(f *editFlags, e settings.Edit) error {
	e.Author = f.author()
	e.Note = f.Note
	key := f.key()
	begin := time.Now()
	receipt, err := s.client.Publish(s.ctx, key, e)
	if err != nil {
		return s.withDifference(err, e)
	}
	wait := durationOf(f.Wait)
	if wait == 0 {
		return s.printPublished(published{Outcome: problem.Accepted, Receipt: receipt, Took: time.Since(begin)})
	}
	state, err := s.awaitInForce(receipt, wait)
	p := published{Outcome: problem.Accepted, Receipt: receipt, InForce: state, Took: time.Since(begin)}
	return errors.Join(s.printPublished(p), err)
}

// lostError is the problem of a lost edit and what changed since its base.
type lostError struct {
	*problem.Problem
	changed []diffLine
}

// Unwrap returns the problem.
func (e *lostError) Unwrap() error { return e.Problem }

// withDifference adds to a lost edit what changed in its branch since its base,
// when the server still knows.
func (s *session) withDifference(err error, e settings.Edit) error {
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

func (s *session) printPublished(p published) error {
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

// The time between two looks at a state that is waited for; it doubles up to
// the longest.
const (
	firstPoll = 20 * time.Millisecond
	pollEvery = 200 * time.Millisecond
)

var errNotInForce = errors.New("accepted, but not in force everywhere in time")

// awaitInForce asks until every process has the revision. The state is that of
// the last answer, and nil when there was none.
func (s *session) awaitInForce(r command.Receipt, wait time.Duration) (*query.InForce, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	var last *query.InForce
	for pause := firstPoll; ; pause = min(2*pause, pollEvery) {
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
		case <-time.After(pause):
		}
	}
}
