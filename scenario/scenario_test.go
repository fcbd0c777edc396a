package scenario

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlock/peridotlock/daemon/ctl"
	"github.com/peridotlock/peridotlock/daemon/entry"
	"github.com/peridotlock/peridotlock/daemon/scheduler"
	"github.com/peridotlock/peridotlock/daemon/standin"
)

// daemon is the entry point of a program.
type daemon func(ctx context.Context, args []string, stdout, stderr io.Writer) int

// daemons are the programs that scripts may run.
var daemons = map[string]daemon{
	"peridotctl":            ctl.Run,
	"peridotlock-entry":     entry.Run,
	"peridotlock-scheduler": scheduler.Run,
	"peridotlock-standin":   standin.Run,
}

func TestMain(m *testing.M) {
	programs := make(map[string]func(), len(daemons))
	for name, run := range daemons {
		programs[name] = func() { os.Exit(runProgram(run)) }
	}
	testscript.Main(m, programs)
}

func runProgram(run daemon) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

func TestScripts(t *testing.T) {
	testscript.Run(t, Params("testdata", "testdata/cluster"))
}
