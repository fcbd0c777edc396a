// Package scheduler runs the scheduler daemon: flags and the node's file, then
// package scheduler until the context ends.
package scheduler

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/daemon"
	"github.com/peridotlock/peridotlock/platform/client"
	core "github.com/peridotlock/peridotlock/scheduler"
	"github.com/peridotlock/peridotlock/settings"
)

var program = daemon.Program{
	Name:        "peridotlock-scheduler",
	Description: "Follows the log, relays settings, owns racks and queues, places tasks.",
	Serve:       serve,
}

// Run runs the daemon until ctx ends and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return program.Run(ctx, args, stdout, stderr)
}

func serve(ctx context.Context, i daemon.Instance) error {
	node := i.Node
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
		Logger:  i.Log,
		Applied: func(v *settings.View) { i.SetVerbosity(v.Nodes.LogVerbosity) },
	})
	i.Log.Info("scheduler serves", "control", node.Control, "operators", node.Operators)
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
