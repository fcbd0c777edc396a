package standin

import (
	"context"
	"fmt"
	"io"

	"github.com/peridotlock/peridotlock/daemon/ctl"
	"github.com/peridotlock/peridotlock/daemon/entry"
	"github.com/peridotlock/peridotlock/daemon/scheduler"
	"github.com/peridotlock/peridotlock/demo"
)

// demoCommand runs the whole system at a small size.
type demoCommand struct {
	Rate float64 `default:"150" help:"Requests a second."`
}

func (d demoCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	err := demo.Run(ctx, demo.Options{
		Programs: demo.Programs{Entry: entry.Run, Scheduler: scheduler.Run, Ctl: ctl.Run},
		Rate:     d.Rate,
		Out:      stdout,
	})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
