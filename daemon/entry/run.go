// Package entry runs the entry daemon: it serves callers, keeps its snapshot
// from the scheduler on the same VM, and shuts down without cutting a request.
package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/daemon"
	core "github.com/peridotlock/peridotlock/entry"
	"github.com/peridotlock/peridotlock/entry/source"
	"github.com/peridotlock/peridotlock/telemetry"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	flushTimeout      = 2 * time.Second // of traces at the end
)

const programName = "peridotlock-entry"

var program = daemon.Program{
	Name:        programName,
	Description: "Serves callers: routes their requests to endpoints.",
	Serve:       serve,
}

// Run runs the daemon until ctx ends and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return program.Run(ctx, args, stdout, stderr)
}

func serve(ctx context.Context, i daemon.Instance) error {
	node, log := i.Node, i.Log
	tracer, stopTracer, err := telemetry.NewTracer(ctx, telemetry.TraceOptions{
		Endpoint: node.TraceEndpoint, Share: node.TraceShare, Daemon: programName, Node: node.Name,
	})
	if err != nil {
		return err
	}
	defer flush(stopTracer, log)
	e := core.New(core.Options{Name: node.Name, FailureDomain: node.FailureDomain, Log: log, Tracer: tracer})
	status := &readiness{entry: e}
	callers, err := net.Listen("tcp", node.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", node.EntryOperators)
	if err != nil {
		callers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	client := wire.NewClient(node.Control)
	defer client.Close()
	follow, stopFollow := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollow()
	apply := func(s source.Snapshot) {
		i.SetVerbosity(s.View.Nodes.LogVerbosity)
		e.Apply(s)
	}
	src := &source.Source{Node: node.Name, Client: client, Log: log, Apply: apply, Failing: status.fail}
	go src.Run(follow)
	log.Info("entry serves", "callers", callers.Addr().String(), "operators", operators.Addr().String())
	d := &server{node: node, log: log, entry: e, status: status}
	return d.run(ctx, callers, operators)
}

func flush(stop func(context.Context) error, log logr.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := stop(ctx); err != nil {
		log.Error(err, "traces not flushed")
	}
}

func callerServer(e *core.Entry) *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       core.ConnContext,
	}
}
