package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/peridotlock/peridotlock/api/query"
)

type vmCommand struct {
	List vmListCommand `cmd:"" help:"List the VMs."`
}

type vmListCommand struct{}

// Run prints the VMs.
func (c *vmListCommand) Run(s *session) error {
	list, err := s.client.VMs(s.ctx)
	if err != nil {
		return err
	}
	return s.out.table(list, "VM\tKIND\tSTATE\tFAILURE DOMAIN\tSIZE\tCOMMITTED\tTASKS\tMARKS", func(w io.Writer) {
		for _, v := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%d\t%s\n", v.ID, v.Kind, v.State, v.FailureDomain, v.Size, v.Committed, v.Tasks, vmMarks(v))
		}
	})
}

func vmMarks(v query.VM) string {
	var out []string
	if v.Out {
		out = append(out, "out")
	}
	if v.Quarantined {
		out = append(out, "quarantined")
	}
	if v.Unreachable {
		out = append(out, "unreachable")
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, ",")
}

type statusCommand struct{}

// Run prints the state of the scheduler that answers.
func (c *statusCommand) Run(s *session) error {
	st, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.out.print(st, func(w io.Writer) {
		fmt.Fprintf(w, "node=%s failure-domain=%s ready=%t revision=%d settings-age=%v log-available=%t live-vms=%d racks=%d queues=%d\n",
			st.Node, st.FailureDomain, st.Ready, st.Revision, st.SettingsAge, st.LogAvailable, st.LiveVMs, len(st.Racks), len(st.Queues))
		for _, reason := range st.Reasons {
			fmt.Fprintf(w, "not ready: %s\n", reason)
		}
	})
}
