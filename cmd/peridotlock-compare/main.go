// Command peridotlock-compare plays the same days with the same seeds on two
// checkouts of the repository through the users' bench and prints the results side
// by side, worst difference first.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/peridotlock/peridotlock/compare"
)

// Exit codes.
const (
	exitIncomplete = 1
	exitUsage      = 2
)

// Kong makes the paths of existing files and directories absolute.
type flags struct {
	Bench     string        `required:"" type:"existingfile" help:"The users' bench."`
	Site      []string      `required:"" type:"existingfile" help:"Site files."`
	Old       string        `required:"" type:"existingdir" help:"Checkout of the build to compare with."`
	New       string        `required:"" type:"existingdir" help:"Checkout of the build that is judged."`
	Why       string        `required:"" help:"Reason of the plays, for the journals of both checkouts."`
	Seeds     []uint64      `default:"1" help:"Seeds, played on both builds."`
	DayFiles  string        `type:"existingdir" placeholder:"DIR" help:"Directory of day files for both builds; deploy/days of the new checkout if not given."`
	Days      string        `placeholder:"REGEXP" help:"Play only days whose name matches."`
	Parallel  int           `default:"1" help:"Plays at a time, one core each."`
	NoCPU     bool          `name:"no-cpu" help:"Charge no processor time; a play then mostly repeats."`
	TimeLimit time.Duration `default:"10m" help:"Time limit of a play; 0 for none."`
	Format    string        `enum:"text,json" default:"text" help:"Format on standard output: text or json."`
	JSONFile  string        `name:"json-file" type:"path" placeholder:"FILE" help:"Also write the result as JSON to a file."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("peridotlock-compare"),
		kong.Description("Play the same days on two builds through the users' bench, side by side."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := f.run(ctx)
	stop()
	os.Exit(code)
}

func (f flags) run(ctx context.Context) int {
	options, err := f.options()
	if err != nil {
		return fail(err, exitUsage)
	}
	revisions := make([]string, 2)
	for i, checkout := range []string{options.Old, options.New} {
		if revisions[i], err = compare.Revision(ctx, checkout); err != nil {
			return fail(err, exitUsage)
		}
	}
	plays, err := compare.Run(ctx, options)
	if err != nil {
		return fail(err, exitIncomplete)
	}
	report := compare.NewReport(revisions[0], revisions[1], f.Seeds, plays)
	if err := f.write(report); err != nil {
		return fail(err, exitIncomplete)
	}
	if !report.Complete() {
		return exitIncomplete
	}
	return 0
}

func fail(err error, code int) int {
	fmt.Fprintf(os.Stderr, "peridotlock-compare: %v\n", err)
	return code
}

func (f flags) options() (compare.Options, error) {
	o := compare.Options{
		Bench: compare.Bench{Path: f.Bench, NoCPU: f.NoCPU, Why: f.Why, TimeLimit: f.TimeLimit},
		Old:   f.Old, New: f.New, Seeds: f.Seeds, Parallel: f.Parallel,
		Progress: func(done, total int, p compare.Play) {
			fmt.Fprintf(os.Stderr, "%d/%d %s %s seed %d %s: %s\n", done, total, p.Site, p.Day, p.Seed, p.Build, p.Outcome())
		},
	}
	if f.Parallel < 1 {
		return o, fmt.Errorf("--parallel is %d, want at least 1", f.Parallel)
	}
	if f.DayFiles == "" {
		f.DayFiles = filepath.Join(o.New, "deploy", "days")
	}
	files, err := compare.DayFiles(f.DayFiles)
	if err != nil {
		return o, err
	}
	var sites []compare.Site
	for _, path := range f.Site {
		s, err := compare.ReadSite(path)
		if err != nil {
			return o, err
		}
		sites = append(sites, s)
	}
	filter, err := regexp.Compile(f.Days)
	if err != nil {
		return o, fmt.Errorf("--days: %w", err)
	}
	if o.Days = compare.Days(sites, files, filter); len(o.Days) == 0 {
		return o, fmt.Errorf("no day's name matches %q", f.Days)
	}
	return o, nil
}

func (f flags) write(r compare.Report) error {
	if f.JSONFile != "" {
		file, err := os.Create(f.JSONFile)
		if err != nil {
			return err
		}
		if err := errors.Join(r.WriteJSON(file), file.Close()); err != nil {
			return fmt.Errorf("writing %s: %w", f.JSONFile, err)
		}
	}
	if f.Format == "json" {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteText(os.Stdout)
}
