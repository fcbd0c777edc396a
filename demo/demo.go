// Package demo runs the whole system in one process on loopback: stand-ins of
// the platform, three entry VMs, callers and batch jobs. It takes a failure
// domain out, brings it back, and holds what was told against what happened.
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

// The lengths of the phases.
const (
	readyLimit   = 15 * time.Second
	steadyTime   = 8 * time.Second
	outTime      = 10 * time.Second
	backTime     = 8 * time.Second
	finishLimit  = 15 * time.Second
	requestLimit = 5 * time.Second
)

// The names of the phases.
const (
	phaseSteady = "steady"
	phaseOut    = "domain out"
	phaseBack   = "domain back"
	phaseFinish = "finish"
)

const progressEvery = 2 * time.Second

// domainOut is the failure domain that goes out and comes back.
const domainOut fleet.Path = "zavod/kontinent/osijek-a"

// Program is the entry point of a daemon or of the operators' client.
type Program func(ctx context.Context, args []string, stdout, stderr io.Writer) int

// Programs are what the demo runs beside the stand-ins.
type Programs struct {
	Entry     Program
	Scheduler Program
	Ctl       Program
}

// Options describe a run.
type Options struct {
	Programs Programs
	Rate     float64   // requests a second
	Out      io.Writer // progress and the table
}

// run is the state of one demo.
type run struct {
	opts    Options
	cluster *cluster
	ctl     *operators
	jobs    *submitter
	callers *caller.Callers
	begin   time.Time
	phases  []phase
}

// phase is a span of the run.
type phase struct {
	name     string
	from, to time.Time
}

// Run runs the demo. The error says what was lost, doubled or misreported, or
// why the demo could not go on.
func Run(ctx context.Context, o Options) error {
	c, err := newCluster(o.Programs)
	if err != nil {
		return err
	}
	r := &run{opts: o, cluster: c, begin: time.Now()}
	r.ctl = &operators{program: o.Programs.Ctl, servers: c.operators()}
	r.jobs = newSubmitter(r.ctl, c.dir)
	r.callers = caller.New(caller.Options{
		Name: "demo", Entries: c.callers(), RequestKinds: shapes(), Rate: o.Rate, Deadline: requestLimit,
	})
	err = r.play(ctx)
	return c.close(err)
}

func (r *run) play(ctx context.Context) error {
	r.say("starting the stand-ins, 3 schedulers and 3 entries")
	if err := r.cluster.start(ctx); err != nil {
		return err
	}
	if err := r.publish(ctx); err != nil {
		return err
	}
	if err := r.cluster.waitReady(ctx, readyLimit); err != nil {
		return err
	}
	r.say("all ready; sending %.0f requests a second and batch jobs", r.opts.Rate)
	work, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { r.callers.Run(work) })
	group.Go(func() { r.jobs.run(work) })
	err := r.playPhases(ctx)
	stop()
	group.Wait()
	if err != nil {
		return err
	}
	r.say("no more work is sent; waiting for the jobs to finish")
	from := time.Now()
	r.jobs.wait(ctx, r.cluster.platform.Ledger, finishLimit)
	r.phases = append(r.phases, phase{phaseFinish, from, time.Now()})
	return r.report(ctx)
}

func (r *run) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	file, err := r.cluster.writeFile("settings.yaml", settingsTree)
	if err != nil {
		return err
	}
	return r.ctl.publish(ctx, file)
}

func (r *run) playPhases(ctx context.Context) error {
	if err := r.phase(ctx, phaseSteady, steadyTime); err != nil {
		return err
	}
	r.say("taking %s out", domainOut)
	if err := r.ctl.takeOut(ctx, domainOut); err != nil {
		return err
	}
	if err := r.phase(ctx, phaseOut, outTime); err != nil {
		return err
	}
	r.say("bringing %s back", domainOut)
	if err := r.ctl.bringBack(ctx, domainOut); err != nil {
		return err
	}
	return r.phase(ctx, phaseBack, backTime)
}

// phase lets the work go on for a time and says now and then how it goes.
func (r *run) phase(ctx context.Context, name string, d time.Duration) error {
	p := phase{name: name, from: time.Now()}
	ticker := time.NewTicker(progressEvery)
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
	r.say("requests executed %d, tasks running %d, finished %d, evicted %d", s.Executions, s.Running, s.Outcomes[finished], s.Outcomes[stopped])
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.opts.Out, "%5.1fs  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
