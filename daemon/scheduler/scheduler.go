// Package scheduler runs the scheduler daemon: flags and the node's file, then
// package scheduler until the context ends.
package scheduler

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/platform/client"
	core "github.com/peridotlock/peridotlock/scheduler"
	"github.com/peridotlock/peridotlock/telemetry"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type flags struct {
	Config string `required:"" help:"File with the VM's name, failure domain and addresses." placeholder:"FILE"`
}

// Run runs the daemon until ctx ends and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var f flags
	code := -1
	parser, err := kong.New(&f, kong.Name("peridotlock-scheduler"), kong.Writers(stdout, stderr),
		kong.Description("Follows the log, relays settings, owns racks and queues, places tasks."), kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	_, err = parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(stderr, "peridotlock-scheduler: %v; see --help\n", err)
		return exitUsage
	}
	node, err := config.Load(f.Config)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	var verbosity telemetry.Verbosity
	verbosity.Set(node.LogVerbosity)
	log := telemetry.NewLogger(stderr, &verbosity)
	if err := Serve(ctx, node, log); err != nil {
		log.Error(err, "scheduler ends")
		return exitFailure
	}
	log.Info("scheduler ends")
	return exitOK
}

// Serve runs the scheduler of a node until ctx ends.
func Serve(ctx context.Context, node config.Node, log logr.Logger) error {
	listeners, err := listen(node)
	if err != nil {
		return err
	}
	logClient := client.NewLog(node.Log)
	defer logClient.Close()
	vms := client.NewVMList(node.VMs)
	defer vms.Close()
	s := core.New(core.Options{
		Node:    node,
		Log:     logClient,
		VMs:     vms,
		Workers: newWorkers().client,
		Logger:  log,
	})
	log.Info("scheduler serves", "control", node.Control, "operators", node.Operators)
	return s.Run(ctx, listeners)
}

func listen(node config.Node) (core.Listeners, error) {
	control, err := net.Listen("tcp", node.Control)
	if err != nil {
		return core.Listeners{}, fmt.Errorf("listen for peers: %w", err)
	}
	operators, err := net.Listen("tcp", node.Operators)
	if err != nil {
		control.Close()
		return core.Listeners{}, fmt.Errorf("listen for operators: %w", err)
	}
	return core.Listeners{Control: control, Operators: operators}, nil
}
