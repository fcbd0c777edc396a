// Command peridotlock-experiment compares the decisions about tasks with those
// of a naive scheduler in virtual time and prints one line for each run.
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"github.com/peridotlock/peridotlock/experiment"
	"github.com/peridotlock/peridotlock/settings"
)

type flags struct {
	Seed     uint64        `help:"Seed of the workload." default:"1"`
	Jobs     int           `help:"Batch jobs an hour." default:"600"`
	Duration time.Duration `help:"Virtual time." default:"2h"`
	Out      bool          `help:"Take the first failure domain out from a third to two thirds of the time."`
	First    bool          `help:"All services arrive at the beginning."`
	Bad      int           `help:"Workers that fail all that they start." default:"1"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Compare task scheduling with a naive scheduler in virtual time."))
	for _, d := range []experiment.Deployment{experiment.Zavod(), experiment.Authority()} {
		c := experiment.Workload(d, f.Seed, f.Jobs, f.Duration, f.First)
		if f.Out {
			c.Faults = append(c.Faults, experiment.Fault{From: f.Duration / 3, Until: 2 * f.Duration / 3, Domain: d.Domains[0]})
		}
		for _, vm := range c.VMs[:f.Bad] {
			c.FailingVMs = append(c.FailingVMs, vm.ID)
		}
		policy := settings.DefaultPolicy()
		policy.Weights = d.Weights
		pure := experiment.NewCoreScheduler(d.Team, policy, c.VMs)
		show(d.Name, "peridotlock", f.Duration, experiment.Run(c, pure))
		fmt.Printf("%-10s log: %d records, %d bytes, %d starts\n", d.Name, pure.LogRecords, pure.LogBytes, pure.Starts)
		show(d.Name, "naive", f.Duration, experiment.Run(c, experiment.NewNaiveScheduler()))
	}
}

func show(deployment, scheduler string, d time.Duration, r experiment.Result) {
	fmt.Printf("%-10s %-12s jobs/h=%.0f deadlines=%d/%d evictions=%d failed=%d unschedulable=%d open=%d during-out=%d slowdown-p50=%.2f p99=%.2f lost=%s scheduler=%s violations=%d\n",
		deployment, scheduler, float64(r.Finished)/d.Hours(), r.DeadlinesMet, r.Deadlines, r.Evictions, r.Failed, r.Unschedulable,
		r.Open, r.FinishedDuringOutages, r.SlowdownP50, r.SlowdownP99, r.LostWork.Round(time.Second), r.SchedulerTime.Round(time.Millisecond), len(r.Violations))
	for _, v := range r.Violations[:min(len(r.Violations), 3)] {
		fmt.Println("  violation:", v)
	}
}
