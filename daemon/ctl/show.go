package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/settings"
)

type showCommand struct {
	Branch    string `arg:"" optional:"" help:"Path of the branch; the whole tree unless given."`
	Effective string `help:"Print each value in force at this path with the branch and line that it comes from." placeholder:"PATH"`
	Revision  string `help:"Print the document as of a former revision."`
}

func (c *showCommand) check() finding.List {
	var found finding.List
	offset(&found, "--revision", c.Revision)
	return found
}

// Run prints the document or the effective values.
func (c *showCommand) Run(s *session) error {
	if c.Effective != "" {
		return c.effective(s)
	}
	doc, err := s.client.Document(s.ctx, branchPath(c.Branch), offsetOf(c.Revision))
	if err != nil {
		return err
	}
	return s.out.print(doc, func(w io.Writer) { fmt.Fprint(w, withBase(doc)) })
}

// withBase puts the base into the first line, from which publish takes it.
func withBase(d query.Document) string {
	text := d.Text
	if strings.HasPrefix(text, baseHeader) {
		_, text, _ = strings.Cut(text, "\n")
	}
	return fmt.Sprintf("%s%d\n%s", baseHeader, d.Base, text)
}

func (c *showCommand) effective(s *session) error {
	path := branchPath(c.Effective)
	values, err := s.client.Effective(s.ctx, path)
	if err != nil {
		return err
	}
	return s.out.print(values, func(w io.Writer) {
		for _, v := range values {
			fmt.Fprintln(w, v)
		}
	})
}

type historyCommand struct {
	Limit string `help:"How many." default:"20"`
}

func (c *historyCommand) check() finding.List {
	var found finding.List
	count(&found, "--limit", c.Limit, 1, maxLimit)
	return found
}

// Run prints the history.
func (c *historyCommand) Run(s *session) error {
	list, err := s.client.History(s.ctx, countOf(c.Limit))
	if err != nil {
		return err
	}
	return s.out.table(list, "REVISION\tTIME\tAUTHOR\tBRANCH\tOPERATION\tRESULT\tNOTE", func(w io.Writer) {
		for _, e := range list {
			fmt.Fprintf(w, "%d\t%s\t%s\t/%s\t%s\t%s\t%s\n", e.Revision, e.Time.UTC().Format(time.RFC3339), e.Author, e.Branch, e.Operation, e.Result, e.Note)
		}
	})
}

type keysCommand struct{}

// Run prints the keys.
func (c *keysCommand) Run(s *session) error {
	list := settings.Keys()
	return s.out.table(list, "KEY\tON\tALLOWED\tDEFAULT", func(w io.Writer) {
		for _, k := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.Name, k.Kinds, k.Allowed, k.Default)
		}
	})
}
