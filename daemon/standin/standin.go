// Package standin implements the command line of the stand-ins for the platform's
// services.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	platformstandin "github.com/peridotlock/peridotlock/standin"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// commands holds the subcommands.
type commands struct {
	Serve serveCommand `cmd:"" help:"Serve the log, the VM list, workers and executors until terminated."`
	Call  callCommand  `cmd:"" help:"Send a mix of requests through the entries and check the responses."`
	Demo  demoCommand  `cmd:"" help:"Run the whole system in this process for less than a minute and check the outcome."`
}

type serveCommand struct {
	File string `required:"" help:"Configuration file of the stand-ins."`
}

// Run runs the command line in args until it is done or ctx ends, and returns the
// exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("peridotlock-standin"),
		kong.Description("Stands in for the platform on one machine."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitBadInput
	}
	switch parsed.Command() {
	case "call":
		return c.Call.run(ctx, stdout, stderr)
	case "demo":
		return c.Demo.run(ctx, stdout, stderr)
	default:
		return c.Serve.run(ctx, stdout, stderr)
	}
}

func (s serveCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	config, err := platformstandin.Load(s.File)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitBadInput
	}
	d, err := platformstandin.New(config)
	if err == nil {
		// The ports are open already, so a client may connect once it has read them.
		_ = json.NewEncoder(stdout).Encode(d.Addresses())
		err = d.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
