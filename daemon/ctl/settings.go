package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

type settingsCommand struct {
	Check   checkCommand   `cmd:"" help:"Check a whole tree without sending it."`
	Publish publishCommand `cmd:"" help:"Replace a branch by the document in a file."`
	Show    showCommand    `cmd:"" help:"Print the document of a branch, or its effective values."`
	History historyCommand `cmd:"" help:"List the newest edits and what became of them."`
	Diff    diffCommand    `cmd:"" help:"Compare the document of a branch with a file or a former revision."`
	Edit    editCommand    `cmd:"" help:"Change single keys of a branch."`
	Revert  revertCommand  `cmd:"" help:"Give a branch the document of a former revision, as a new revision."`
	Keys    keysCommand    `cmd:"" help:"List the keys of a branch with their bounds and defaults."`
}

type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Settings files."`
}

// Run checks the files.
func (c *checkCommand) Run(s *session) error {
	var found finding.List
	for _, file := range c.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			found = append(found, finding.Finding{File: file, Message: err.Error()})
			continue
		}
		found = append(found, settings.Check(file, data)...)
	}
	if len(found) > 0 {
		return found
	}
	return s.out.print(map[string]int{"files": len(c.Files)}, func(w io.Writer) {
		fmt.Fprintf(w, "no findings in %d files\n", len(c.Files))
	})
}

// baseHeader starts the first line of a document that names its base.
const baseHeader = "# base: "

type publishCommand struct {
	editFlags
	File   string `arg:"" help:"Document of the branch."`
	Branch string `help:"Path of the branch; the whole tree unless given."`
	Base   string `help:"Revision that the document was made from; else that in its first line, else the present one."`
}

func (c *publishCommand) check() finding.List {
	found := c.editFlags.check()
	offset(&found, "--base", c.Base, query.Present)
	data, err := os.ReadFile(c.File)
	switch {
	case err != nil:
		found = append(found, finding.Finding{File: c.File, Message: err.Error()})
	case c.Branch == "":
		found = append(found, settings.Check(c.File, data)...)
	default:
		found = append(found, settings.CheckBranch(fleet.Path(c.Branch), c.File, data)...)
	}
	return found
}

// Run publishes the file.
func (c *publishCommand) Run(s *session) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return finding.List{{File: c.File, Message: err.Error()}}
	}
	e := settings.Edit{Branch: fleet.Path(c.Branch), Operation: settings.Replace, File: c.File, Text: string(data)}
	if e.Base, err = c.base(s, e); err != nil {
		return err
	}
	return s.publish(&c.editFlags, e)
}

func (c *publishCommand) base(s *session, e settings.Edit) (platform.Offset, error) {
	var found finding.List
	if c.Base != "" {
		return offset(&found, "--base", c.Base, query.Present), nil
	}
	if line, ok := strings.CutPrefix(e.Text, baseHeader); ok {
		line, _, _ = strings.Cut(line, "\n")
		base := offset(&found, c.File, strings.TrimSpace(line), query.Present)
		return base, found.Err()
	}
	doc, err := s.client.Document(s.ctx, e.Branch, query.Present)
	return doc.Base, err
}

type showCommand struct {
	Branch    string `arg:"" optional:"" help:"Path of the branch; the whole tree unless given."`
	Effective string `help:"Print each value in force at this path with the branch and line that it comes from." placeholder:"PATH"`
	Revision  string `help:"Print the document as of a former revision."`
}

func (c *showCommand) check() finding.List {
	var found finding.List
	offset(&found, "--revision", c.Revision, query.Present)
	return found
}

// Run prints the document or the effective values.
func (c *showCommand) Run(s *session) error {
	if c.Effective != "" {
		return c.effective(s)
	}
	var found finding.List
	doc, err := s.client.Document(s.ctx, fleet.Path(c.Branch), offset(&found, "--revision", c.Revision, query.Present))
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
	path := fleet.Path(strings.TrimPrefix(c.Effective, "/"))
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
	count(&found, "--limit", c.Limit, 1, 1000)
	return found
}

// Run prints the history.
func (c *historyCommand) Run(s *session) error {
	var found finding.List
	list, err := s.client.History(s.ctx, count(&found, "--limit", c.Limit, 1, 1000))
	if err != nil {
		return err
	}
	return s.out.table(list, "REVISION\tTIME\tAUTHOR\tBRANCH\tOPERATION\tRESULT\tNOTE", func(w io.Writer) {
		for _, e := range list {
			fmt.Fprintf(w, "%d\t%s\t%s\t/%s\t%s\t%s\t%s\n", e.Revision, e.Time.Format("2006-01-02T15:04:05Z"), e.Author, e.Branch, e.Operation, e.Result, e.Note)
		}
	})
}

type keysCommand struct{}

// Run prints the keys.
func (c *keysCommand) Run(s *session) error {
	list := settings.Keys()
	return s.out.table(list, "KEY\tON\tALLOWED\tDEFAULT", func(w io.Writer) {
		for _, k := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.Name, k.On, k.Allowed, k.Default)
		}
	})
}

type revertCommand struct {
	editFlags
	Branch   string `arg:"" help:"Path of the branch; / for the whole tree."`
	Revision string `arg:"" help:"Former revision."`
}

func (c *revertCommand) check() finding.List {
	found := c.editFlags.check()
	offset(&found, "revision", c.Revision, query.Present)
	return found
}

// Run publishes the revert.
func (c *revertCommand) Run(s *session) error {
	var found finding.List
	path := fleet.Path(strings.TrimPrefix(c.Branch, "/"))
	doc, err := s.client.Document(s.ctx, path, query.Present)
	if err != nil {
		return err
	}
	revision := offset(&found, "revision", c.Revision, query.Present)
	return s.publish(&c.editFlags, settings.Edit{Branch: path, Base: doc.Base, Operation: settings.Revert, Revision: revision})
}
