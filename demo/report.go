package demo

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/peridotlock/peridotlock/standin/caller"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

const (
	takeOutDelay  = 3 * time.Second // after a take-out, until no task may start in the domain
	reportTimeout = 5 * time.Second // for the reported states of jobs to catch up
	maxDetails    = 5               // printed per list of failures
)

// ErrVerificationFailed is returned by Run if work was lost, executed twice or
// misreported, if a task started in a failure domain that was out, or if a job could
// not be submitted.
var ErrVerificationFailed = errors.New("verification of the demo run failed; its output lists the failures")

// verdict holds the figures of a run and the failures that verification found.
type verdict struct {
	requests   caller.Summary
	ledger     ledger.Summary
	unfinished []string
	misreports []string
	lateStarts []ledger.Run
	failures   []string
}

// report prints the tables. It returns ErrVerificationFailed if verification found
// a failure.
func (r *run) report(ctx context.Context) error {
	l := r.cluster.platform.Ledger
	counts := l.ExecutionCounts()
	v := verdict{
		requests:   r.callers.Summary(counts),
		ledger:     l.Summary(),
		unfinished: r.jobs.unfinished(l),
		misreports: r.jobs.misreported(ctx, l, reportTimeout),
		lateStarts: r.lateStarts(l),
		failures:   r.jobs.failures,
	}
	fmt.Fprintln(r.opts.Out)
	r.printPhases(l, counts)
	fmt.Fprintln(r.opts.Out)
	v.print(r)
	if !v.passed() {
		v.printDetails(r)
		return ErrVerificationFailed
	}
	return nil
}

func (r *run) printPhases(l *ledger.Ledger, counts map[string]int) {
	w := tabwriter.NewWriter(r.opts.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprintln(w, "phase\trequests\tanswered\tp50\tp99\tp99.9\ttasks done\ttasks/s\tevictions\t")
	runs := l.Runs(ledger.Filter{})
	for _, p := range r.phases {
		s := r.callers.SummaryBetween(p.from, p.to, counts)
		done := countEnds(runs, p, finished)
		rate := float64(done) / p.to.Sub(p.from).Seconds()
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%d\t%.1f\t%d\t\n", p.name, s.Requests, s.Outcomes[caller.Answered],
			milliseconds(s.P50), milliseconds(s.P99), milliseconds(s.P999), done, rate, countEnds(runs, p, stopped))
	}
}

func countEnds(runs []ledger.Run, p phase, outcome string) int {
	n := 0
	for _, r := range runs {
		if r.Outcome == outcome && !r.End.Before(p.from) && r.End.Before(p.to) {
			n++
		}
	}
	return n
}

// lateStarts returns the runs that started in the failure domain more than
// takeOutDelay after it was taken out and before it was brought back.
func (r *run) lateStarts(l *ledger.Ledger) []ledger.Run {
	var out []ledger.Run
	for _, p := range r.phases {
		if p.name != phaseOut {
			continue
		}
		late := ledger.Filter{FailureDomain: domainOut, After: p.from.Add(takeOutDelay), Before: p.to}
		out = append(out, l.Runs(late)...)
	}
	return out
}

func (v verdict) passed() bool {
	tasks := len(v.ledger.Violations) + len(v.unfinished) + len(v.misreports) + len(v.lateStarts) + len(v.failures)
	watches := v.requests.Watches - v.requests.WatchesAnswered
	return v.requests.IsCorrect() && tasks+watches == 0
}

func (v verdict) print(r *run) {
	w := tabwriter.NewWriter(r.opts.Out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	row := func(name string, n int) { fmt.Fprintf(w, "%s\t%d\n", name, n) }
	row("requests sent", v.requests.Requests)
	row("requests answered in full", v.requests.Outcomes[caller.Answered])
	row("requests refused, not executed", v.requests.Outcomes[caller.NotRun])
	row("requests not sent to any entry", v.requests.Outcomes[caller.NotSent])
	row("watches without an event", v.requests.Watches-v.requests.WatchesAnswered)
	row("requests with unknown outcome", v.requests.Outcomes[caller.Unknown])
	row("requests lost", v.requests.Lost)
	row("requests executed twice", v.requests.Duplicated)
	row("requests misreported", v.requests.Misreported)
	row("tasks finished", v.ledger.Outcomes[finished])
	row("tasks evicted", v.ledger.Outcomes[stopped])
	row("tasks resumed from a checkpoint", v.ledger.Resumes)
	row("tasks accepted, not finished", len(v.unfinished))
	row("tasks run twice at the same time", v.ledger.ViolationCounts[ledger.DoubleRun])
	row("tasks finished twice", v.ledger.ViolationCounts[ledger.DoubleFinish])
	row("workers overcommitted", v.ledger.ViolationCounts[ledger.Overcommit])
	row("late starts in the domain taken out", len(v.lateStarts))
	row("jobs misreported", len(v.misreports))
	row("job submissions failed", len(v.failures))
}

func (v verdict) printDetails(r *run) {
	var lines []string
	lines = append(lines, v.requests.Violations...)
	for detail, n := range v.requests.Details {
		lines = append(lines, fmt.Sprintf("%d x %s", n, detail))
	}
	for _, violation := range v.ledger.Violations {
		lines = append(lines, string(violation.Kind)+": "+violation.Detail)
	}
	for _, s := range v.lateStarts {
		lines = append(lines, fmt.Sprintf("late start of %s on %s at %s", s.Task, s.VM, s.Start.Format(time.TimeOnly)))
	}
	lines = append(lines, firstDetails(v.unfinished, "not finished: ")...)
	lines = append(lines, firstDetails(v.misreports, "")...)
	lines = append(lines, firstDetails(v.failures, "")...)
	for _, line := range lines {
		fmt.Fprintln(r.opts.Out, line)
	}
}

// firstDetails returns the first maxDetails strings of the list with the prefix.
func firstDetails(list []string, prefix string) []string {
	var out []string
	for _, s := range list[:min(len(list), maxDetails)] {
		out = append(out, prefix+s)
	}
	return out
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}
