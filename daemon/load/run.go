// Package load implements the load tool. It compares the peridotlock entry with
// a naive entry and with direct calls, or sends requests to entries at given
// addresses.
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

var errBadTarget = errors.New("target is not an IP number and port")

type flags struct {
	Experiment experiment `cmd:"" help:"Compare entries within one process, first under load and then with faults."`
	Overhead   overhead   `cmd:"" help:"Measure the added latency and CPU of an entry against direct calls."`
	Drive      drive      `cmd:"" help:"Send requests to entries at given addresses."`
}

type siteFlags struct {
	Entries     int           `default:"3" help:"Number of entries."`
	Endpoints   int           `default:"12" help:"Endpoints in the entries' region."`
	Away        int           `default:"4" help:"Endpoints in the other region."`
	ServiceTime time.Duration `default:"20ms" help:"Service time of a request on an otherwise idle endpoint."`
	Growth      float64       `default:"1" help:"Relative increase of the service time when all slots are busy."`
	LinkBytes   int64         `default:"0" help:"Bytes per second and entry across the link between regions; 0 for the default policy."`
	Duration    time.Duration `default:"4s" help:"Duration of each measurement."`
	Deadline    time.Duration `default:"500ms" help:"Deadline of a request."`
	Seed        uint64        `default:"1" help:"Seed of the request schedule."`
}

func (s siteFlags) site() core.SiteOptions {
	return core.SiteOptions{
		Entries: s.Entries, Endpoints: s.Endpoints, RemoteEndpoints: s.Away,
		ServiceTime: s.ServiceTime, LoadGrowth: s.Growth, LinkBytes: s.LinkBytes,
	}
}

type experiment struct {
	siteFlags
	Shares []float64 `default:"0.5,0.8,0.95,1.2,2" help:"Offered loads as fractions of the capacity."`
	Faults bool      `default:"true" negatable:"" help:"Also measure with faults."`
}

type overhead struct{ siteFlags }

type drive struct {
	Target   []string      `required:"" help:"Address of an entry, IP:port."`
	Rate     float64       `default:"100" help:"Requests per second."`
	Duration time.Duration `default:"10s" help:"Duration."`
	Deadline time.Duration `default:"500ms" help:"Deadline of a request."`
	Seed     uint64        `default:"1" help:"Seed of the request schedule."`
}

// Run runs one command and returns its exit code, which is 1 if a request through
// the peridotlock entry was lost, executed more than once or misreported.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var f flags
	code := -1
	parser, err := kong.New(&f, kong.Name("peridotlock-load"), kong.Writers(stdout, stderr),
		kong.Description("Sends load to entries and checks every response."), kong.Exit(func(c int) { code = c }))
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
	if errors.Is(err, errBadTarget) {
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
	return violationError(core.Violations(rows, core.Peridotlock))
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
	return violationError(core.Violations(rows, core.Peridotlock))
}

func (x drive) run(ctx context.Context, w io.Writer) error {
	g := &core.Generator{Rate: x.Rate, Duration: x.Duration, Deadline: x.Deadline, Mix: core.DefaultMix, Name: "drive", Seed: x.Seed}
	for _, t := range x.Target {
		if _, err := netip.ParseAddrPort(t); err != nil {
			return fmt.Errorf("%w: %q", errBadTarget, t)
		}
		g.Targets = append(g.Targets, "http://"+t)
	}
	row := core.Row{Kind: core.Peridotlock, Name: "drive", Rate: x.Rate, Result: g.Run(ctx)}
	core.WriteHeader(w)
	row.Write(w)
	return violationError(row.Result.Violations())
}

func violationError(n int) error {
	if n == 0 {
		return nil
	}
	return fmt.Errorf("%d requests were lost, executed more than once or misreported", n)
}
