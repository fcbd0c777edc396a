package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/quota"
	"github.com/peridotlock/peridotlock/submission"
)

// newCappedSimulation returns a simulation whose tenant "small" has a cap. Tasks need 1000 millicores.
func newCappedSimulation(executors int, seed uint64, milliCPU int64) *simulation {
	sim := newSimulation(executors, seed)
	sim.setCap(2, milliCPU)
	return sim
}

func (sim *simulation) setCap(version, milliCPU int64) {
	sim.config = policy.New(version, sim.config.Queues, sim.config.Services,
		policy.Tenant{Name: "small", Cap: fleet.Resources{MilliCPU: milliCPU}}, policy.Tenant{Name: "large"})
	sim.core.SetConfig(sim.config)
}

func (sim *simulation) submitFor(tenant, id string, steps ...submission.Step) {
	sub := newSubmission(steps...)
	sub.Tenant = tenant
	sim.submit(id, sub)
}

// usedBy returns what a tenant has running on the executors.
func (sim *simulation) usedBy(tenant string) int64 {
	used := int64(0)
	for _, e := range sim.executors {
		for task := range e.runs {
			id, err := submission.ParseTaskID(task)
			if err == nil && e.up && sim.accepted[id.Submission].Tenant == tenant {
				used += sim.specOf(task).Size.MilliCPU
			}
		}
	}
	return used
}

// mostUsed runs the simulation and returns the most that a tenant has had running. It checks that the core counts
// what its runs and strays add up to.
func (sim *simulation) mostUsed(tenant string, d time.Duration) int64 {
	most := int64(0)
	for end := sim.now + d; sim.now < end; {
		sim.run(simulationStep)
		most = max(most, sim.usedBy(tenant))
		counted := fleet.Resources{}
		for _, e := range sim.core.executors {
			for _, r := range e.runs {
				if r.task.step.job.sub.Tenant == tenant {
					counted = counted.Add(r.task.step.spec.Size)
				}
			}
			for _, s := range e.strays {
				if s.task.step.job.sub.Tenant == tenant {
					counted = counted.Add(s.task.step.spec.Size)
				}
			}
		}
		if tn := sim.core.tenantOf(tenant); tn.used != counted {
			sim.addViolation("tenant %s uses %v, %v counted", tenant, counted, tn.used)
		}
	}
	return most
}

func TestTenantCap(t *testing.T) {
	share := func(used int64) int64 {
		return quota.ShareFor(fleet.Resources{MilliCPU: used}, fleet.Resources{MilliCPU: 6000})
	}
	Convey("Given a tenant with a cap of six tasks on three executors for eight each", t, func() {
		sim := newCappedSimulation(3, 1, 6000)

		Convey("starts stop at the cap, work of others goes on, and all of it ends", func() {
			sim.submitFor("small", idA, tasks(30, 500*time.Millisecond))
			sim.submitFor("large", idB, tasks(18, time.Second))
			So(sim.mostUsed("small", 700*time.Millisecond), ShouldEqual, 6000)
			So(sim.usedBy("large"), ShouldBeGreaterThan, 15000)
			So(sim.mostUsed("small", 8*time.Second), ShouldEqual, 6000)
			So(sim.publishedStates[idA], ShouldEqual, submission.Completed)
			So(sim.publishedStates[idB], ShouldEqual, submission.Completed)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("work that waits for the cap is not overdue, reserves no room, is no demand, and stays in its cell", func() {
			sim.core.options.Cells, sim.core.options.TenantShare = 2, quota.Whole
			sim.core.SetConfig(sim.config)
			sim.submitFor("small", idA, longRunning(6))
			sim.run(2 * time.Second)
			So(sim.running(idA), ShouldEqual, 6)
			before, _, _, _ := sim.core.FreeCapacity(sim.now)
			sim.submitFor("small", idB, longRunning(4))
			sim.submitFor("small", idC, tasks(40, time.Second))
			for range 200 {
				sim.run(simulationStep)
				So(sim.core.HandoverCandidates(sim.now), ShouldBeEmpty)
				So(sim.core.LendCandidates(sim.now), ShouldBeEmpty)
			}
			So(sim.core.Stats().Overdue, ShouldEqual, 0)
			free, _, _, _ := sim.core.FreeCapacity(sim.now)
			So(free, ShouldResemble, before)
			So(sim.core.ServiceLoads(sim.now)[0].Free, ShouldResemble, before)
			So(len(sim.core.Gaps(sim.now)), ShouldEqual, 3)
			sim.submitFor("large", "00000000000000dd", tasks(18, 10*time.Second))
			sim.run(2 * time.Second)
			So(sim.usedBy("large"), ShouldEqual, 18000)

			sim.core.TenantUses(sim.now)
			use := sim.core.TenantUses(sim.now)["small"]
			So(use.Used.MilliCPU, ShouldEqual, 6000)
			So(use.Waiting.MilliCPU, ShouldEqual, 44000)
			Convey("and a cell without room asks for nothing", func() {
				So(use.Demand, ShouldResemble, quota.Demand{Used: share(6000), Next: share(6000), Need: share(6000)})
			})
		})
		Convey("a cap that falls far below what runs ends nothing, and once it rises again starts go on", func() {
			sim.submitFor("small", idA, tasks(24, time.Second))
			sim.run(700 * time.Millisecond)
			sim.setCap(3, 1500)
			sim.run(100 * time.Millisecond)
			So(sim.usedBy("small"), ShouldEqual, 6000)
			sim.run(1500 * time.Millisecond)
			So(sim.mostUsed("small", 5*time.Second), ShouldEqual, 1000)
			sim.setCap(4, 6000)
			So(sim.mostUsed("small", 2*time.Second), ShouldEqual, 6000)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a long-running task that starts again comes before the tenant's other work", func() {
			sim.submitFor("small", idA, longRunning(4))
			sim.run(2 * time.Second)
			sim.submitFor("small", idB, tasks(60, 400*time.Millisecond))
			sim.run(time.Second)
			for _, e := range sim.executors {
				if len(e.runs) > 0 {
					e.crash()
					e.start(sim.now, true)
				}
			}
			So(sim.runUntil(2*time.Second, func() bool { return sim.running(idA) == 4 }), ShouldBeTrue)
			So(sim.mostUsed("small", 5*time.Second), ShouldBeLessThanOrEqualTo, 6000)
			So(sim.running(idA), ShouldEqual, 4)
		})
		Convey("a gang starts as a whole within the cap or not at all", func() {
			gang := tasks(4, time.Second)
			gang.Gang = true
			sim.submitFor("small", idA, gang)
			sim.submitFor("small", idB, gang)
			So(sim.mostUsed("small", 4*time.Second), ShouldEqual, 4000)
			So(sim.publishedStates[idB], ShouldEqual, submission.Completed)
		})
		Convey("best-effort tasks count with the processors that they request", func() {
			step := tasks(20, time.Second)
			step.BestEffort = true
			sim.submitFor("small", idA, step)
			So(sim.mostUsed("small", 3*time.Second), ShouldBeLessThanOrEqualTo, 6000)
		})
	})
	Convey("A task larger than the cap runs alone", t, func() {
		sim := newCappedSimulation(3, 1, 600)
		sim.submitFor("small", idA, tasks(3, 500*time.Millisecond))
		So(sim.mostUsed("small", 4*time.Second), ShouldEqual, 1000)
		So(sim.publishedStates[idA], ShouldEqual, submission.Completed)
	})
	Convey("Given a cell with a third of the cap", t, func() {
		sim := newCappedSimulation(3, 1, 6000)
		sim.core.options.Cells, sim.core.options.TenantShare = 3, quota.InitialShare(0, 3)
		sim.core.SetConfig(sim.config)
		sim.submitFor("small", idA, tasks(12, 3*time.Second))
		sim.run(time.Second)

		Convey("it starts what the part allows and asks for the rest", func() {
			So(sim.usedBy("small"), ShouldEqual, 2000)
			sim.core.TenantUses(sim.now)
			d := sim.core.TenantUses(sim.now)["small"].Demand
			So(d.Used, ShouldEqual, share(2000))
			So(d.Next, ShouldEqual, share(3000))
			So(d.Need, ShouldEqual, share(12000))
		})
		Convey("it starts more once it has a larger share, and nothing more once that is gone", func() {
			sim.core.SetTenantShares(map[string]int64{"small": quota.Whole})
			So(sim.mostUsed("small", time.Second), ShouldEqual, 6000)
			sim.core.SetTenantShares(map[string]int64{"small": 0})
			sim.run(3 * time.Second)
			So(sim.mostUsed("small", 2*time.Second), ShouldEqual, 0)
		})
	})
}

// TestTenantCapUnderFaults plays orders that are lost or carried out late, executors that fail, and owners that are
// replaced by ones that know only what is stored.
func TestTenantCapUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		const limit = 9000
		sim := newCappedSimulation(4, seed, limit)
		sim.lossRate, sim.failRate = 0.15, 0.05
		sim.submitFor("small", "f000000000000000", longRunning(4))
		for n := range 30 {
			id := fmt.Sprintf("%016x", n)
			sim.submitFor([]string{"small", "large"}[n%2], id, tasks(1+sim.rng.IntN(8), time.Duration(300+sim.rng.IntN(1500))*time.Millisecond))
			sim.injectFault()
			if most := sim.mostUsed("small", time.Second); most > limit {
				t.Errorf("seed %d: %d of %d millicores ran at %v", seed, most, limit, sim.now)
			}
		}
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %v", seed, sim.violations[0])
		}
	}
}

// A cell that holds little of a cap, and no executor for the work, kept it for good: it asked for no part, since it had
// no room, and waited for one, which is no reason for a handover.
func TestCappedWorkWithoutExecutors(t *testing.T) {
	Convey("Given one of two cells without a part of a tenant's cap, and work of it that needs a label that the cell lacks", t, func() {
		sim := newCappedSimulation(2, 1, 6000)
		sim.core.options.Cells, sim.core.options.TenantShare = 2, 0
		sim.core.SetTenantShares(map[string]int64{"small": 0})
		elsewhere := tasks(1, time.Second)
		elsewhere.RequiredLabel = "elsewhere"
		for i := range maxCapProbes + 1 {
			sim.submitFor("small", fmt.Sprintf("%016x", i), elsewhere)
		}
		sim.run(time.Second)
		Convey("it is offered to the other cell", func() {
			So(len(sim.core.HandoverCandidates(sim.now)), ShouldEqual, maxCapProbes+1)
		})
		Convey("work that could run here is not, and its need is published although the others come first", func() {
			sim.submitFor("small", string(idB), tasks(2, 2*time.Second)) // more work: last by rank
			needed := func() bool {
				d := sim.core.TenantUses(sim.now)["small"].Demand
				return d.Need > d.Used
			}
			So(sim.runUntil(5*time.Second, needed), ShouldBeTrue)
			sim.run(time.Second)
			So(sim.core.HandoverCandidates(sim.now), ShouldNotContain, submission.ID(idB))
		})
	})
}
