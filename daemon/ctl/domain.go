package ctl

import (
	"fmt"
	"io"

	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/settings"
)

type domainCommand struct {
	TakeOut   takeOutCommand    `cmd:"" help:"Take a failure domain out of service."`
	BringBack bringBackCommand  `cmd:"" help:"Bring a failure domain back into service."`
	List      domainListCommand `cmd:"" help:"List the failure domains."`
}

type takeOutCommand struct {
	editFlags
	Path string `arg:"" help:"Path of the failure domain."`
}

// Run publishes the mark.
func (c *takeOutCommand) Run(s *session) error {
	return s.mark(&c.editFlags, c.Path, settings.TakeOut)
}

type bringBackCommand struct {
	editFlags
	Path string `arg:"" help:"Path of the failure domain."`
}

// Run publishes the removal of the mark.
func (c *bringBackCommand) Run(s *session) error {
	return s.mark(&c.editFlags, c.Path, settings.BringBack)
}

func (s *session) mark(f *editFlags, path string, operation settings.Operation) error {
	branch := branchPath(path)
	doc, err := s.client.Document(s.ctx, branch, query.Latest)
	if err != nil {
		return err
	}
	return s.publish(f, settings.Edit{Branch: branch, Base: doc.Base, Operation: operation})
}

type domainListCommand struct{}

// Run prints the failure domains.
func (c *domainListCommand) Run(s *session) error {
	v, err := s.client.View(s.ctx)
	if err != nil {
		return err
	}
	return s.out.table(v.Domains, "FAILURE DOMAIN\tREGION\tSTATE", func(w io.Writer) {
		for _, d := range v.Domains {
			state := "in service"
			if d.Out {
				state = "out"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", d.Path, d.Region, state)
		}
	})
}
