package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// BenchmarkPlanRefused measures a plan with 350 executors and 1,000 waiting best-effort steps that
// are refused everywhere. Overdue steps have waited longer than maxRefusedWait.
func BenchmarkPlanRefused(b *testing.B) {
	for _, load := range []struct {
		name     string
		waited   time.Duration
		interval time.Duration // between two plans
	}{
		{"waiting", 0, 0},
		{"overdue", time.Minute, simulationStep},
	} {
		b.Run(load.name, func(b *testing.B) {
			c, now := newPlanLoad(load.waited)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Plan(now, now.Milliseconds()); err != nil {
					b.Fatal(err)
				}
				now += load.interval
				for _, e := range c.executors {
					e.lastReportAt = now
				}
			}
		})
	}
}

// newPlanLoad returns a core of 350 executors, each with two servers, for which 1,000 best-effort
// steps of 8 tasks have waited.
func newPlanLoad(waited time.Duration) (*Core, time.Duration) {
	now := time.Hour
	c := New(Options{FencingToken: FencingTokensPerTerm, Lease: simulationLease, MaxLease: maxLease, InheritedLease: simulationInheritedLease})
	c.SetConfig(policy.New(1, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}, []policy.Service{{Name: "s", RejectsOverload: true}}))
	for i := range 350 {
		id := provider.ExecutorID(fmt.Sprintf("i-%d", i))
		c.SetExecutor(provider.ExecutorInfo{ID: id, Service: "s", Address: string(id), FailureDomain: "d", Labels: []string{"a", "r1"}, Size: fleet.Resources{MilliCPU: 64_000, MemoryMB: 64_000}}, now)
		c.HandleHeartbeatReport(id, c.Heartbeat(id, now), provider.HeartbeatReport{Clock: 1, StartTimeMs: 1}, now, now)
	}
	servers := longRunning(700)
	servers.Size, servers.MaxPerExecutor, servers.TargetMs, servers.Image = fleet.Resources{MilliCPU: 10_000, MemoryMB: 4000}, 2, 100, "web"
	c.Submit(idA, submission.Submission{Queue: "q", Service: "s", Steps: []submission.Step{servers}}, now)
	if _, err := c.Plan(now, now.Milliseconds()); err != nil {
		panic(err)
	}
	for i := range 1000 {
		step := bestEffortTasks(8, "heavy", fleet.Resources{MilliCPU: 2000, MemoryMB: 100_000}, time.Second)
		c.Submit(submission.ID(fmt.Sprintf("%016x", 0x1000+i)), submission.Submission{Queue: "q", Service: "s", Steps: []submission.Step{step}}, now)
	}
	if _, err := c.Plan(now, now.Milliseconds()); err != nil {
		panic(err)
	}
	for _, st := range c.waiting {
		st.unplacedSince = now - waited
	}
	return c, now
}

// BenchmarkPlanLoads measures plans with work that callers may send and that the executors can't take.
func BenchmarkPlanLoads(b *testing.B) {
	for _, load := range planLoads {
		b.Run(load.name, func(b *testing.B) {
			sim := newSimulation(loadExecutors, 1)
			sim.run(10 * time.Second)
			load.submit(sim)
			sim.run(3 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := sim.core.Plan(sim.now, sim.now.Milliseconds()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
