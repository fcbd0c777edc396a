package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/provider"
)

// answerLate lets an executor receive and answer a heartbeat that was sent before.
func (sim *simulation) answerLate(e *fakeExecutor, request provider.HeartbeatRequest, sent time.Duration) {
	e.fencingToken = max(e.fencingToken, request.FencingToken)
	e.grant(request.LeaseUntil, sim.now)
	sim.dropAckedEnds(e, request.AckedEnd)
	report := provider.HeartbeatReport{Clock: e.clock(sim.now), StartTimeMs: e.instance, Ended: slices.Clone(e.ends)}
	for _, r := range e.allRuns() {
		report.Running = append(report.Running, provider.RunStatus{Task: r.task, Run: r.number})
	}
	sim.core.HandleHeartbeatReport(e.id, request, report, sent, sim.now)
}

// TestAcknowledgementReachesNewInstance guards against a task that runs again after it is done.
func TestAcknowledgementReachesNewInstance(t *testing.T) {
	Convey("Given an executor that restarts before it receives a heartbeat", t, func() {
		sim := newSimulation(1, 1)
		e := sim.executors[0]
		sim.submit(idA, newSubmission(tasks(4, 100*time.Millisecond)))
		sim.run(10 * time.Second)
		So(sim.publishedStates[idA].IsFinal(), ShouldBeTrue)
		request, sent := sim.core.Heartbeat(e.id, sim.now), sim.now
		e.nextHeartbeatAt = sim.now + 2*time.Second
		e.crash()
		e.start(sim.now, true)

		Convey("an end of the new instance is not acknowledged by it", func() {
			sim.submit(idB, newSubmission(tasks(1, 100*time.Millisecond)))
			So(sim.runUntil(time.Second, func() bool { return len(e.ends) == 1 }), ShouldBeTrue)
			sim.answerLate(e, request, sent)
			sim.run(5 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.publishedStates[idB].IsFinal(), ShouldBeTrue)
			So(sim.starts, ShouldEqual, 5)
		})
	})
}

// TestLateEndOfReplannedTask guards against a start after a task is done.
func TestLateEndOfReplannedTask(t *testing.T) {
	Convey("Given a task whose next run is planned while its given-up run completes it", t, func() {
		sim := newSimulation(3, 1)
		sim.run(2 * time.Second)
		sim.submit(idA, newSubmission(tasks(1, time.Second)))
		name := idA + ".0.0.0"
		var e *fakeExecutor
		So(sim.runUntil(time.Second, func() bool {
			for _, other := range sim.executors {
				if other.runs[name] != nil {
					e = other
				}
			}
			return e != nil
		}), ShouldBeTrue)
		e.nextHeartbeatAt = sim.now + 10*time.Second
		So(sim.runUntil(2*time.Second, func() bool { return sim.completed[name] }), ShouldBeTrue)
		sim.storeLatency = 400 * time.Millisecond
		sim.core.markLost(sim.core.findTask(name).run, "test", sim.now)
		sim.run(100 * time.Millisecond)
		So(sim.core.findTask(name).run, ShouldNotBeNil)
		e.nextHeartbeatAt = sim.now
		sim.run(5 * time.Second)
		So(sim.violations, ShouldBeEmpty)
		So(sim.starts, ShouldEqual, 1)
		So(sim.publishedStates[idA].IsFinal(), ShouldBeTrue)
	})
}

// TestStopOfEarlierInstance guards against a cancelled task that runs on.
func TestStopOfEarlierInstance(t *testing.T) {
	Convey("Given a stop that an executor answered before it restarted and carried out the start", t, func() {
		sim := newSimulation(1, 1)
		e := sim.executors[0]
		sim.run(2 * time.Second)
		sim.submit(idA, newSubmission(longRunning(1)))
		sim.lossRate = 1
		sim.callTimeout = simulationCallTimeout
		So(sim.runUntil(time.Second, func() bool { return len(sim.openCalls) == 1 }), ShouldBeTrue)
		sim.lossRate = 0
		sim.executionDelay = func() time.Duration { return 0 }
		call := sim.openCalls[0]
		call.receivableAt = sim.now + 200*time.Millisecond
		sim.takeOver()
		e.nextHeartbeatAt = sim.now + 400*time.Millisecond
		sim.cancel(idA)
		sim.run(100 * time.Millisecond)
		e.crash()
		e.start(sim.now, true)
		sim.run(5 * time.Second)
		So(sim.starts, ShouldEqual, 1)
		So(len(e.allRuns()), ShouldEqual, 0)
	})
}

// TestStrayAtChangeOfOwner guards against a task that runs twice.
func TestStrayAtChangeOfOwner(t *testing.T) {
	Convey("Given a task that waits for the end of its older run", t, func() {
		sim := newSimulation(3, 1)
		sim.run(2 * time.Second)
		sim.submit(idA, newSubmission(tasks(1, 5*time.Second)))
		name := idA + ".0.0.0"
		var e *fakeExecutor
		So(sim.runUntil(time.Second, func() bool {
			for _, other := range sim.executors {
				if other.runs[name] != nil {
					e = other
				}
			}
			return e != nil
		}), ShouldBeTrue)
		waiting := sim.core.findTask(name)
		e.nextHeartbeatAt = sim.now + 2*simulationStep
		sim.storeAway = true
		waiting.runNumber++
		sim.core.markLost(waiting.run, "test", sim.now)
		sim.run(2 * simulationStep)
		So(waiting.isStray(), ShouldBeTrue)
		sim.storeAway = false
		sim.lossRate = 1 // the stop is lost
		sim.run(simulationStep)
		sim.lossRate = 0
		e.partitioned = true
		sim.takeOver()
		sim.run(3 * time.Second)
		So(sim.violations, ShouldBeEmpty)
	})
}

// TestAdviceOnEarlierInstance guards against a refusal that is applied to an instance it does
// not name.
func TestAdviceOnEarlierInstance(t *testing.T) {
	Convey("Given an executor that restarts while the advice service is asked", t, func() {
		sim := newSimulation(1, 1)
		e := sim.executors[0]
		sim.config = policy.New(1, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Advised: true}}, []policy.Service{{Name: "s", RejectsOverload: true}})
		sim.takeOver()
		sim.advisor = &fakeAdvisor{}
		sim.run(2 * time.Second)
		sim.submit(idA, newSubmission(tasks(1, time.Second)))
		So(sim.runUntil(time.Second, func() bool { return len(sim.advisor.pending) == 1 }), ShouldBeTrue)
		e.crash()
		e.start(sim.now, true)
		So(sim.runUntil(time.Second, func() bool { return len(sim.advisor.pending) == 0 }), ShouldBeTrue)
		sim.advisor.allowed = []provider.ExecutorID{e.id}
		So(sim.runUntil(5*time.Second, func() bool { return sim.publishedStates[idA].IsFinal() }), ShouldBeTrue)
	})
}

// TestPaceOfRestoredRun guards against a best-effort task that stays paced down after a change of
// owner.
func TestPaceOfRestoredRun(t *testing.T) {
	Convey("Given a run that the previous owner has paced down", t, func() {
		sim := newSimulation(1, 1)
		e := sim.executors[0]
		sim.run(2 * time.Second)
		step := tasks(1, time.Minute)
		step.BestEffort, step.Image = true, "x"
		sim.submit(idA, newSubmission(step))
		name := idA + ".0.0.0"
		So(sim.runUntil(time.Second, func() bool { return e.runs[name] != nil }), ShouldBeTrue)
		r := sim.core.findTask(name).run
		r.desiredPace = 0
		e.nextHeartbeatAt = sim.now + time.Second
		sim.run(2 * simulationStep)
		So(r.pace, ShouldEqual, 0)
		sim.takeOver()
		paced := false
		for range 40 {
			sim.now += simulationStep
			sim.core.Tick(sim.now)
			sim.updateListing(e)
			sim.heartbeat(e)
			for _, o := range sim.core.Orders(sim.now) {
				paced = paced || o.Kind == OrderPace && o.Percent == 100 && o.Ref.Task == name
				sim.deliver(o)
			}
		}
		So(paced, ShouldBeTrue)
	})
}

// TestOvertakenReport guards against an earlier instance that is taken for a newer one, and
// against a run that is adopted after it has ended.
func TestOvertakenReport(t *testing.T) {
	Convey("Given a report that is overtaken by a newer one", t, func() {
		sim := newSimulation(2, 1)
		e := sim.executors[0]
		sim.executors[1].draining = true
		sim.run(2 * time.Second)
		sim.submit(idA, newSubmission(longRunning(1)))
		name := idA + ".0.0.0"
		So(sim.runUntil(time.Second, func() bool { return e.runs[name] != nil }), ShouldBeTrue)
		sim.run(time.Second)
		request, sent := sim.core.Heartbeat(e.id, sim.now), sim.now
		report := provider.HeartbeatReport{Clock: e.clock(sim.now), StartTimeMs: e.instance,
			Running: []provider.RunStatus{{Task: name, Run: 1}}}

		Convey("one of an earlier instance is ignored", func() {
			e.crash()
			e.start(sim.now, true)
			sim.run(simulationStep)
			e.nextHeartbeatAt, sim.storeAway = sim.now, true
			sim.run(simulationStep)
			sim.core.HandleHeartbeatReport(e.id, request, report, sent, sim.now)
			So(sim.core.findTask(name).run, ShouldBeNil)
			So(sim.core.executors[e.id].instance, ShouldEqual, e.instance)
		})
		Convey("one of the same instance is ignored", func() {
			e.end(e.runs[name], provider.RunFailed, sim.now)
			e.nextHeartbeatAt, sim.storeAway = sim.now, true
			sim.run(simulationStep)
			So(sim.core.findTask(name).run, ShouldBeNil)
			sim.core.HandleHeartbeatReport(e.id, request, report, sent, sim.now)
			So(sim.core.findTask(name).run, ShouldBeNil)
		})
	})
}

// TestLeaseOfOvertakenHeartbeat guards against a task that runs twice.
func TestLeaseOfOvertakenHeartbeat(t *testing.T) {
	Convey("Given a heartbeat that a new instance receives after its first report", t, func() {
		sim := newSimulation(2, 1)
		victim, other := sim.executors[0], sim.executors[1]
		sim.run(30 * time.Second)
		other.draining = true
		sim.run(simulationStep)
		request, sent := sim.core.Heartbeat(victim.id, sim.now), sim.now
		victim.crash()
		victim.start(sim.now, true)
		victim.nextHeartbeatAt = sim.now
		sim.run(time.Second)
		sim.answerLate(victim, request, sent)
		sim.submit(idA, newSubmission(tasks(1, 2*maxLease)))
		So(sim.runUntil(time.Second, func() bool { return len(victim.runs) == 1 }), ShouldBeTrue)
		victim.partitioned = true
		other.draining = false
		sim.run(2 * maxLease)
		So(sim.violations, ShouldBeEmpty)
		So(sim.starts, ShouldEqual, 2)
	})
}

// TestLeaseOfUnansweredStart guards against a task that runs twice.
func TestLeaseOfUnansweredStart(t *testing.T) {
	Convey("Given a start without an answer that a new instance has received", t, func() {
		sim := newSimulation(2, 1)
		victim, other := sim.executors[0], sim.executors[1]
		sim.run(30 * time.Second)
		other.draining = true
		sim.run(simulationStep)
		victim.crash()
		victim.start(sim.now, true)
		victim.nextHeartbeatAt = sim.now + time.Second
		sim.lossRate = 1
		sim.executionDelay = func() time.Duration { return 0 }
		sim.callTimeout = 400 * time.Millisecond
		sim.submit(idA, newSubmission(tasks(1, maxLease-time.Second)))
		So(sim.runUntil(time.Second, func() bool { return len(victim.runs) == 1 }), ShouldBeTrue)
		victim.partitioned = true
		other.draining = false
		sim.lossRate = 0
		sim.run(2 * maxLease)
		So(sim.violations, ShouldBeEmpty)
		So(sim.starts, ShouldEqual, 2)
	})
}

// TestSuspicionOfStartWithLongerLease guards against suspicions that stay after an executor was only
// cut off: its runs are lost at one time, and a start without an answer later.
func TestSuspicionOfStartWithLongerLease(t *testing.T) {
	Convey("Given an executor that is cut off with a run and a start without an answer", t, func() {
		sim := newSimulation(2, 1)
		victim, other := sim.executors[0], sim.executors[1]
		sim.run(30 * time.Second)
		other.draining = true
		sim.run(simulationStep)
		sim.submit(idA, newSubmission(longRunning(1)))
		So(sim.runUntil(time.Second, func() bool { return len(victim.runs) == 1 }), ShouldBeTrue)
		sim.run(time.Second)
		sim.lossRate = 1
		sim.callTimeout = simulationCallTimeout
		sim.submit(idB, newSubmission(longRunning(1)))
		So(sim.runUntil(time.Second, func() bool { return len(sim.openCalls) == 1 }), ShouldBeTrue)
		sim.openCalls[0].receivableAt = sim.now + time.Hour
		victim.partitioned = true
		run, start := sim.core.findTask(idA+".0.0.0"), sim.core.findTask(idB+".0.0.0")

		Convey("both are suspected, the start after the longest lease, and neither once it is back", func() {
			So(sim.runUntil(2*maxLease, func() bool { return run.crash.suspicion > 0 }), ShouldBeTrue)
			So(start.crash.suspicion, ShouldEqual, 0)
			since := sim.now
			So(sim.runUntil(2*maxLease, func() bool { return start.crash.suspicion > 0 }), ShouldBeTrue)
			So(sim.now-since, ShouldBeGreaterThan, time.Second)
			victim.partitioned = false
			sim.run(time.Second)
			So(run.crash.suspicion, ShouldEqual, 0)
			So(start.crash.suspicion, ShouldEqual, 0)
		})
	})
}
