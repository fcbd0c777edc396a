// Package daemon holds what the daemons of an entry VM have in common: flags,
// the node's file, the log and exit codes.
package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/telemetry"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // bad flags or a bad file; all findings were printed
)

// Instance is what a daemon works with.
type Instance struct {
	Node      config.Node
	Log       logr.Logger
	verbosity *telemetry.Verbosity
}

// SetVerbosity applies the verbosity of the settings; that of the node's file
// counts where it is larger.
func (i Instance) SetVerbosity(level int) {
	if i.verbosity != nil {
		i.verbosity.Set(max(level, i.Node.LogVerbosity))
	}
}

// Program is one daemon.
type Program struct {
	Name        string // of the command
	Description string
	Serve       func(ctx context.Context, i Instance) error // until ctx ends
}

type flags struct {
	Config string `required:"" help:"File with the VM's name, failure domain and addresses." placeholder:"FILE"`
}

// Run runs the daemon until ctx ends and returns its exit code.
func (p Program) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	file, code := p.parse(args, stdout, stderr)
	if code >= 0 {
		return code
	}
	node, err := config.Load(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	i := Instance{Node: node, verbosity: &telemetry.Verbosity{}}
	i.SetVerbosity(node.LogVerbosity)
	i.Log = telemetry.NewLogger(stderr, i.verbosity)
	if err := p.Serve(ctx, i); err != nil {
		i.Log.Error(err, "daemon ends", "program", p.Name)
		return ExitFailure
	}
	i.Log.Info("daemon ends", "program", p.Name)
	return ExitOK
}

// parse returns the node's file, or an exit code of 0 or more when the program
// ends here.
func (p Program) parse(args []string, stdout, stderr io.Writer) (file string, code int) {
	var f flags
	code = -1
	parser, err := kong.New(&f, kong.Name(p.Name), kong.Description(p.Description),
		kong.Writers(stdout, stderr), kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return "", ExitFailure
	}
	_, err = parser.Parse(args)
	if code >= 0 {
		return "", code
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v; see --help\n", p.Name, err)
		return "", ExitUsage
	}
	return f.Config, code
}
