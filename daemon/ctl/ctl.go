// Package ctl is the operators' client as a library: it parses a command line,
// calls the operators' HTTP interface, and prints the answer as text or JSON.
package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/peridotlock/peridotlock/api/client"
	"github.com/peridotlock/peridotlock/finding"
)

// The exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // refused or failed; nothing was changed
	ExitBadInput    = 2 // bad flags or files; nothing was sent
	ExitUnreachable = 3 // no server answered, or the outcome is unknown
	ExitNotInForce  = 4 // accepted, but not in force everywhere in time
)

const description = `Operators' client of peridotlock.

Exit codes: 0 done; 1 refused or failed, nothing was changed; 2 bad flags or
files, nothing was sent; 3 no server answered or the outcome is unknown; 4
accepted, but not in force everywhere, or a watched job not final, in time.`

// commandLine holds the flags and commands. Values are texts, so that all that
// is wrong with them is reported together.
type commandLine struct {
	Server []string `help:"Operators' address of a scheduler, IP:port. Repeat it to try several in turn." default:"127.0.0.1:7443" env:"PERIDOTCTL_SERVER" sep:","`
	Token  string   `help:"Bearer token." env:"PERIDOTCTL_TOKEN"`
	Output string   `help:"text or json." default:"text"`

	Settings      settingsCommand `cmd:"" help:"Check, publish and read the settings."`
	FailureDomain domainCommand   `cmd:"" help:"Take failure domains out and bring them back."`
	VM            vmCommand       `cmd:"" name:"vm" help:"List VMs."`
	Job           jobCommand      `cmd:"" help:"Submit and follow jobs."`
	Status        statusCommand   `cmd:"" help:"State of the scheduler that answers."`
}

// session is what a command works with.
type session struct {
	ctx    context.Context
	client *client.Client
	out    printer
}

// checked is a command with flags to check before anything is sent.
type checked interface{ check() finding.List }

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commandLine
	helped := false
	parser, err := kong.New(&c,
		kong.Name("peridotctl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { helped = true }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitBadInput
	}
	found, known := unknownFlags(parser, args)
	parsed, err := parser.Parse(known)
	if helped {
		return ExitOK
	}
	if err != nil && len(found) == 0 {
		found.Addf("", "%v; see peridotctl --help", err)
	}
	if err != nil {
		return report(stderr, outputOf(args), found)
	}
	found = append(found, c.check()...)
	if command, ok := parsed.Selected().Target.Addr().Interface().(checked); ok {
		found = append(found, command.check()...)
	}
	if len(found) > 0 {
		return report(stderr, c.Output, found)
	}
	s := &session{
		ctx:    ctx,
		client: client.New(client.Options{Servers: c.Server, Token: c.Token}),
		out:    printer{w: stdout, json: c.Output == outputJSON},
	}
	return report(stderr, c.Output, parsed.Run(s))
}
