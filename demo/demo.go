// Package demo runs the whole system in one process on loopback: stand-ins for
// the platform, three entry VMs, callers and batch jobs. It takes a failure
// domain out, brings it back, and compares what callers and operators were told
// with the ledger of what was executed.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/standin/caller"
)

// Durations of the phases and timeouts.
const (
	readyTimeout   = 15 * time.Second
	steadyDuration = 8 * time.Second
	outDuration    = 10 * time.Second
	backDuration   = 8 * time.Second
	finishTimeout  = 15 * time.Second
	requestTimeout = 5 * time.Second
)

// Names of the phases.
const (
	phaseSteady = "steady"
	phaseOut    = "domain out"
	phaseBack   = "domain back"
	phaseFinish = "finish"
)

const progressInterval = 2 * time.Second

// domainOut is the failure domain that is taken out and brought back.
const domainOut fleet.Path = "zavod/kontinent/osijek-a"

// Program is the entry point of a daemon or of peridotctl. It returns the exit code.
type Program func(ctx context.Context, args []string, stdout, stderr io.Writer) int

// Programs holds the programs that the demo runs beside the stand-ins.
type Programs struct {
	Entry     Program
	Scheduler Program
	Ctl       Program
}

// Options configures a run.
type Options struct {
	Programs Programs
	Rate     float64   // requests per second
	Out      io.Writer // receives progress messages and the tables
}

// run is the state of a demo run.
type run struct {
	opts    Options
	cluster *cluster
	ctl     *operatorClient
	jobs    *submitter
	callers *caller.Callers
	begin   time.Time
	phases  []phase
}

// phase is a time span of the run.
type phase struct {
	name     string
	from, to time.Time
}

// Run runs the demo. It returns ErrVerificationFailed if verification found a
// failure, and another error if the demo could not run to its end.
func Run(ctx context.Context, o Options) error {
	c, err := newCluster(o.Programs)
	if err != nil {
		return err
	}
	r := &run{opts: o, cluster: c, begin: time.Now()}
	r.ctl = &operatorClient{program: o.Programs.Ctl, servers: c.operatorAddresses()}
	r.jobs = newSubmitter(r.ctl, c.dir)
	r.callers = caller.New(caller.Options{
		Name: "demo", Entries: c.callerEntries(), RequestKinds: shapes(), Rate: o.Rate, Deadline: requestTimeout,
	})
	err = r.execute(ctx)
	return c.close(err)
}

func (r *run) execute(ctx context.Context) error {
	r.logf("starting the stand-ins, 3 schedulers and 3 entries")
	if err := r.cluster.start(ctx); err != nil {
		return err
	}
	if err := r.publish(ctx); err != nil {
		return err
	}
	if err := r.cluster.waitReady(ctx, readyTimeout); err != nil {
		return err
	}
	r.logf("all daemons are ready; sending %.0f requests per second and batch jobs", r.opts.Rate)
	work, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { r.callers.Run(work) })
	group.Go(func() { r.jobs.run(work) })
	err := r.runPhases(ctx)
	stop()
	group.Wait()
	if err != nil {
		return err
	}
	r.logf("stopped sending work; waiting for the jobs to finish")
	from := time.Now()
	r.jobs.waitFinished(ctx, r.cluster.platform.Ledger, finishTimeout)
	r.phases = append(r.phases, phase{phaseFinish, from, time.Now()})
	return r.report(ctx)
}

func (r *run) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	file, err := r.cluster.writeFile("settings.yaml", settingsTree)
	if err != nil {
		return err
	}
	return r.ctl.publish(ctx, file)
}

func (r *run) runPhases(ctx context.Context) error {
	if err := r.runPhase(ctx, phaseSteady, steadyDuration); err != nil {
		return err
	}
	r.logf("taking %s out", domainOut)
	if err := r.ctl.takeOut(ctx, domainOut); err != nil {
		return err
	}
	if err := r.runPhase(ctx, phaseOut, outDuration); err != nil {
		return err
	}
	r.logf("bringing %s back", domainOut)
	if err := r.ctl.bringBack(ctx, domainOut); err != nil {
		return err
	}
	return r.runPhase(ctx, phaseBack, backDuration)
}

// runPhase waits for the duration of a phase, prints progress, and appends the
// phase to the list.
func (r *run) runPhase(ctx context.Context, name string, d time.Duration) error {
	p := phase{name: name, from: time.Now()}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		select {
		case <-ticker.C:
			r.progress()
		case <-end.C:
			p.to = time.Now()
			r.phases = append(r.phases, p)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *run) progress() {
	s := r.cluster.platform.Ledger.Summary()
	r.logf("requests executed %d, tasks running %d, finished %d, evicted %d", s.Executions, s.Running, s.Outcomes[finished], s.Outcomes[stopped])
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.opts.Out, "%5.1fs  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
