package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peridotlock/peridotlock/api/problem"
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
	offset(&found, "--base", c.Base)
	data, err := os.ReadFile(c.File)
	switch {
	case err != nil:
		found = append(found, finding.Finding{File: c.File, Message: err.Error()})
	case branchPath(c.Branch) == "":
		found = append(found, settings.Check(c.File, data)...)
	default:
		found = append(found, settings.CheckBranch(branchPath(c.Branch), c.File, data)...)
	}
	return found
}

// Run publishes the file.
func (c *publishCommand) Run(s *session) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return finding.List{{File: c.File, Message: err.Error()}}
	}
	e := settings.Edit{Branch: branchPath(c.Branch), Operation: settings.Replace, File: c.File, Text: string(data)}
	if e.Base, err = c.base(s, e); err != nil {
		return err
	}
	return s.publish(&c.editFlags, e)
}

func (c *publishCommand) base(s *session, e settings.Edit) (platform.Offset, error) {
	var found finding.List
	if c.Base != "" {
		return offsetOf(c.Base), nil
	}
	if line, ok := strings.CutPrefix(e.Text, baseHeader); ok {
		line, _, _ = strings.Cut(line, "\n")
		base := offset(&found, c.File, strings.TrimSpace(line))
		return base, found.Err()
	}
	return s.presentBase(e.Branch)
}

// presentBase returns the base of an edit of the branch as it is now. A branch
// that is new has that of its parent.
func (s *session) presentBase(branch fleet.Path) (platform.Offset, error) {
	doc, err := s.client.Document(s.ctx, branch, query.Present)
	var p *problem.Problem
	if branch != "" && errors.As(err, &p) && p.Type == problem.NotFound {
		doc, err = s.client.Document(s.ctx, branch.Parent(), query.Present)
	}
	return doc.Base, err
}

type revertCommand struct {
	editFlags
	Branch   string `arg:"" help:"Path of the branch; / for the whole tree."`
	Revision string `arg:"" help:"Former revision."`
}

func (c *revertCommand) check() finding.List {
	found := c.editFlags.check()
	offset(&found, "revision", c.Revision)
	return found
}

// Run publishes the revert.
func (c *revertCommand) Run(s *session) error {
	path := branchPath(c.Branch)
	base, err := s.presentBase(path)
	if err != nil {
		return err
	}
	revision := offsetOf(c.Revision)
	return s.publish(&c.editFlags, settings.Edit{Branch: path, Base: base, Operation: settings.Revert, Revision: revision})
}
