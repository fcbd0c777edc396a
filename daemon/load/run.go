// Package load runs the load tool: it compares this entry with a naive one and
// with none at all, or drives entries at given addresses.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	core "github.com/peridotlock/peridotlock/load"
)

// Exit codes.
const (
	exitOK        = 0
	exitViolation = 1
	exitUsage     = 2
)

var errTarget = errors.New("target is not an IP number and port")

type flags struct {
	Experiment experiment `cmd:"" help:"Compare entries in one process: loads, then faults."`
	Overhead   overhead   `cmd:"" help:"Measure the added latency and CPU of an entry against direct calls."`
	Drive      drive      `cmd:"" help:"Drive entries at addresses."`
}

type size struct {
	Entries     int           `default:"3" help:"Number of entries."`
	Endpoints   int           `default:"12" help:"Endpoints in the entries' region."`
	Away        int           `default:"4" help:"Endpoints in the other region."`
	ServiceTime time.Duration `default:"20ms" help:"Service time of a request that runs alone."`
	Growth      float64       `default:"1" help:"Added part of the service time with all slots busy."`
	LinkBytes   int64         `default:"0" help:"Bytes a second per entry across the link; 0 for the default policy."`
	Duration    time.Duration `default:"4s" help:"Duration of each measurement."`
	Deadline    time.Duration `default:"500ms" help:"Deadline of a request."`
	Seed        uint64        `default:"1" help:"Seed of the schedule."`
}

func (s size) site() core.SiteOptions {
	return core.SiteOptions{
		Entries: s.Entries, Endpoints: s.Endpoints, RemoteEndpoints: s.Away,
		ServiceTime: s.ServiceTime, LoadGrowth: s.Growth, LinkBytes: s.LinkBytes,
	}
}

type experiment struct {
	size
	Shares []float64 `default:"0.5,0.8,0.95,1.2,2" help:"Loads as parts of the capacity."`
	Faults bool      `default:"true" negatable:"" help:"Measure the faults too."`
}

type overhead struct{ size }

type drive struct {
	Target   []string      `required:"" help:"Address of an entry, IP:port."`
	Rate     float64       `default:"100" help:"Requests a second."`
	Duration time.Duration `default:"10s" help:"Duration."`
	Deadline time.Duration `default:"500ms" help:"Deadline of a request."`
	Seed     uint64        `default:"1" help:"Seed of the schedule."`
}

// Run runs one command and returns its exit code: 1 when a request was lost,
// doubled or misreported by this entry.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var f flags
	code := -1
	parser, err := kong.New(&f, kong.Name("peridotlock-load"), kong.Writers(stdout, stderr),
		kong.Description("Loads entries and checks every answer."), kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(stderr, "peridotlock-load: %v; see --help\n", err)
		return exitUsage
	}
	return f.run(ctx, command.Command(), stdout, stderr)
}

func (f *flags) run(ctx context.Context, command string, stdout, stderr io.Writer) int {
	var err error
	switch command {
	case "overhead":
		err = f.Overhead.run(ctx, stdout)
	case "drive":
		err = f.Drive.run(ctx, stdout)
	default:
		err = f.Experiment.run(ctx, stdout)
	}
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "peridotlock-load: %v\n", err)
	if errors.Is(err, errTarget) {
		return exitUsage
	}
	return exitViolation
}

func (x experiment) run(ctx context.Context, w io.Writer) error {
	e := &core.Experiment{
		Site: x.site(), Kinds: []core.Kind{core.Naive, core.Peridotlock}, Loads: x.Shares,
		Duration: x.Duration, Deadline: x.Deadline, Mix: core.DefaultMix, Seed: x.Seed,
	}
	if x.Faults {
		e.Faults = core.Scenarios()
	}
	core.WriteHeader(w)
	rows, err := e.Run(ctx, func(r core.Row) { r.Write(w) })
	if err != nil {
		return err
	}
	return violations(core.Violations(rows, core.Peridotlock))
}

func (x overhead) run(ctx context.Context, w io.Writer) error {
	e := &core.Experiment{
		Site: x.site(), Kinds: []core.Kind{core.Direct, core.Naive, core.Peridotlock}, Loads: []float64{0.5},
		Duration: x.Duration, Deadline: x.Deadline, Mix: core.DefaultMix, Seed: x.Seed,
	}
	e.Site.UnlimitedSlots = true
	e.Site.LoadGrowth = 0
	core.WriteOverheadHeader(w)
	rows, err := e.Run(ctx, func(r core.Row) { r.WriteOverhead(w) })
	if err != nil {
		return err
	}
	return violations(core.Violations(rows, core.Peridotlock))
}

func (x drive) run(ctx context.Context, w io.Writer) error {
	g := &core.Generator{Rate: x.Rate, Duration: x.Duration, Deadline: x.Deadline, Mix: core.DefaultMix, Name: "drive", Seed: x.Seed}
	for _, t := range x.Target {
		if _, err := netip.ParseAddrPort(t); err != nil {
			return fmt.Errorf("%w: %q", errTarget, t)
		}
		g.Targets = append(g.Targets, "http://"+t)
	}
	row := core.Row{Kind: core.Peridotlock, Name: "drive", Rate: x.Rate, Result: g.Run(ctx)}
	core.WriteHeader(w)
	row.Write(w)
	return violations(row.Result.Violations())
}

func violations(n int) error {
	if n == 0 {
		return nil
	}
	return fmt.Errorf("%d requests were lost, doubled or misreported", n)
}
