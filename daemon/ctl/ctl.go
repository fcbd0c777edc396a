// Package ctl implements peridotctl, the operators' client. It parses a command
// line, calls the operators' HTTP interface, and prints the response as text or
// JSON.
package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/peridotlock/peridotlock/api/client"
	"github.com/peridotlock/peridotlock/finding"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // refused or failed; nothing was changed
	ExitBadInput    = 2 // invalid flags or files; nothing was sent
	ExitUnreachable = 3 // no server answered, or the outcome is unknown
	ExitNotInForce  = 4 // accepted, but not in force on all processes, or a watched job not final, in time
)

const description = `Operators' client of peridotlock.

Exit codes: 0 done; 1 refused or failed, nothing was changed; 2 invalid flags
or files, nothing was sent; 3 no server answered or the outcome is unknown; 4
accepted, but not in force on all processes, or a watched job not final, in
time.`

// commandLine holds the flags and commands. Values are strings, so that all
// invalid values are reported together.
type commandLine struct {
	Server []string `help:"Operators' address of a scheduler, IP:port. Repeat the flag to try several schedulers in turn." default:"127.0.0.1:7443" env:"PERIDOTCTL_SERVER" sep:","`
	Token  string   `help:"Bearer token." env:"PERIDOTCTL_TOKEN"`
	Output string   `help:"Output format, text or json." default:"text"`

	Settings      settingsCommand `cmd:"" help:"Check, publish and read the settings."`
	FailureDomain domainCommand   `cmd:"" help:"Take failure domains out of service and bring them back."`
	VM            vmCommand       `cmd:"" name:"vm" help:"List VMs."`
	Job           jobCommand      `cmd:"" help:"Submit, inspect and cancel jobs."`
	Status        statusCommand   `cmd:"" help:"Print the status of the scheduler that answers."`
}

// session holds the context, client and printer of a command.
type session struct {
	ctx    context.Context
	client *client.Client
	out    printer
}

// checker is a command whose flags and files are checked before anything is sent.
type checker interface{ check() finding.List }

// Run runs one command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commandLine
	helpShown := false
	parser, err := kong.New(&c,
		kong.Name("peridotctl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { helpShown = true }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitBadInput
	}
	found, known := unknownFlags(parser, args)
	parsed, err := parser.Parse(known)
	if helpShown {
		return ExitOK
	}
	if err != nil && len(found) == 0 {
		found.Addf("", "%v; see peridotctl --help", err)
	}
	if err != nil {
		return report(stderr, outputFormat(args), found)
	}
	found = append(found, c.check()...)
	if command, ok := parsed.Selected().Target.Addr().Interface().(checker); ok {
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
