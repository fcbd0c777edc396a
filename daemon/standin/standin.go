// Package standin is the command line of the platform's stand-ins.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	platformstandin "github.com/peridotlock/peridotlock/standin"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// commands are the subcommands.
type commands struct {
	Serve serveCommand `cmd:"" help:"Host the log, the VM list, workers and executors until terminated."`
	Call  callCommand  `cmd:"" help:"Send a mix of requests through the entries and check the answers."`
	Demo  demoCommand  `cmd:"" help:"Run the whole system in this process for less than a minute and check the outcome."`
}

type serveCommand struct {
	File string `required:"" help:"File that describes the stand-ins."`
}

// Run executes the command line in args until ctx ends and returns the exit
// code.
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
		// The ports are open from here on, so a reader may connect at once.
		_ = json.NewEncoder(stdout).Encode(d.Addresses())
		err = d.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
