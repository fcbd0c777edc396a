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

	"github.com/alecthomas/kong"
	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/config"
	core "github.com/peridotlock/peridotlock/entry"
	"github.com/peridotlock/peridotlock/entry/source"
	"github.com/peridotlock/peridotlock/telemetry"
	"github.com/peridotlock/peridotlock/wire"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	flushTimeout      = 2 * time.Second // of traces at the end
)

type flags struct {
	Config string `required:"" help:"File with the VM's name, failure domain and addresses." placeholder:"FILE"`
}

// Run runs the daemon until ctx ends and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var f flags
	code := -1
	parser, err := kong.New(&f, kong.Name("peridotlock-entry"), kong.Writers(stdout, stderr),
		kong.Description("Serves callers: routes their requests to endpoints."), kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	_, err = parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(stderr, "peridotlock-entry: %v; see --help\n", err)
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
	if err := serve(ctx, node, log); err != nil {
		log.Error(err, "entry ends")
		return exitFailure
	}
	return exitOK
}

func serve(ctx context.Context, node config.Node, log logr.Logger) error {
	tracer, stopTracer, err := telemetry.NewTracer(ctx, telemetry.TraceOptions{
		Endpoint: node.TraceEndpoint, Share: node.TraceShare, Daemon: "peridotlock-entry", Node: node.Name,
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
	src := &source.Source{Node: node.Name, Client: client, Log: log, Apply: e.Apply, Failing: status.fail}
	go src.Run(follow)
	log.Info("entry serves", "callers", callers.Addr().String(), "operators", operators.Addr().String())
	d := &daemon{node: node, log: log, entry: e, status: status}
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
