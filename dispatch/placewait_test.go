package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

func TestPlaceChoice(t *testing.T) {
	base := placeChoice{tasks: 4, wait: 200 * time.Millisecond, duration: 800 * time.Millisecond, factor: 1.5, slack: time.Second, left: maxPlaceWait}
	for name, c := range map[string]struct {
		change func(*placeChoice)
		pays   bool
	}{
		"a wait shorter than the longer run":                {func(*placeChoice) {}, true},
		"a longer one":                                      {func(p *placeChoice) { p.wait = 500 * time.Millisecond }, false},
		"one that also saves room that others wait for":     {func(p *placeChoice) { p.wait, p.contended = 500*time.Millisecond, true }, true},
		"the same beyond the objective":                     {func(p *placeChoice) { p.wait, p.contended, p.slack = 500*time.Millisecond, true, 450*time.Millisecond }, false},
		"one after which a start elsewhere would be late":   {func(p *placeChoice) { p.slack = 650 * time.Millisecond }, false},
		"one beyond the bound":                              {func(p *placeChoice) { p.left = 100 * time.Millisecond }, false},
		"one of the last tasks, while others run elsewhere": {func(p *placeChoice) { p.slowed = true }, false},
		"the same while others wait for room":               {func(p *placeChoice) { p.slowed, p.contended = true, true }, true},
		"one instead of a handover": {func(p *placeChoice) {
			p.wait, p.delay, p.slack = 500*time.Millisecond, 300*time.Millisecond, 2*time.Second
		}, true},
		"any if tasks are as fast elsewhere":                     {func(p *placeChoice) { p.factor = 1 }, false},
		"one within the longer run of a submission that is late": {func(p *placeChoice) { p.slack = -time.Second }, true},
	} {
		Convey(name, t, func() {
			choice := base
			c.change(&choice)
			So(choice.against() == "", ShouldEqual, c.pays)
		})
	}
}

func TestDurations(t *testing.T) {
	Convey("Given a queue of whose runs one in 32 lasts seven times as long as the others", t, func() {
		var d durations
		for i := range durationSamples {
			d.add(map[bool]float64{true: 7, false: 1}[i%32 == 0])
		}
		Convey("a run that has outlasted the usual ones is expected to be a long one", func() {
			So(d.remaining(time.Second, 500*time.Millisecond), ShouldAlmostEqual, 687*time.Millisecond, time.Millisecond)
			So(d.remaining(time.Second, 1100*time.Millisecond), ShouldEqual, 5900*time.Millisecond)
			So(d.remaining(time.Second, 8*time.Second), ShouldEqual, 8*time.Second)
		})
	})
	Convey("Without runs the estimate holds", t, func() {
		var d *durations
		So(d.remaining(time.Second, 400*time.Millisecond), ShouldEqual, 600*time.Millisecond)
		So(d.remaining(time.Second, 3*time.Second), ShouldEqual, 3*time.Second)
	})
}

// rackedSimulation has racks of some executors with some processors each, and tasks that last
// half as long again away from the rack of their data.
func rackedSimulation(racks, perRack int, cpus int64, waits bool) *simulation {
	sim := newSimulation(perRack*racks, 1)
	for i, e := range sim.executors {
		e.labels = []string{"a", fmt.Sprintf("r%d", i/perRack)}
		e.size = fleet.Resources{MilliCPU: 1000 * cpus, MemoryMB: 4000 * cpus}
	}
	sim.config = policy.New(1, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.5, Objective: 400 * time.Millisecond}},
		[]policy.Service{{Name: "s", RejectsOverload: true}})
	sim.slowdown = 1.5
	sim.placeWaits, sim.promptReports = waits, true
	sim.takeOver()
	sim.run(time.Second)
	return sim
}

func near(rack string, count int, estimate time.Duration) submission.Step {
	s := tasks(count, estimate)
	s.DataRack = rack
	return s
}

// served is what callers get of submissions of which most want one rack.
type served struct {
	mean    time.Duration // to completion
	inTime  float64       // within the objective
	runTime time.Duration // of all runs
}

// hotRack submits steps of 4 to 15 tasks, 60 % of which want one rack, for d.
func (sim *simulation) hotRack(d time.Duration) (out served) {
	type open struct {
		at        time.Duration
		objective time.Duration
	}
	began := map[submission.ID]open{}
	n, inTime := 0, 0
	sim.onStart = func(length time.Duration) { out.runTime += length }
	note := func() bool {
		for id, o := range began {
			if sim.publishedStates[id] == submission.Completed {
				out.mean += sim.now - o.at
				if sim.now-o.at <= o.objective {
					inTime++
				}
				delete(began, id)
			}
		}
		return len(began) == 0
	}
	for next, end := sim.now, sim.now+d; sim.now < end; {
		for ; sim.now >= next; next, n = next+80*time.Millisecond, n+1 {
			step := near([]string{"r0", "r1", "r0", "r2", "r0"}[n%5], 4+n*5%12, 400*time.Millisecond+time.Duration(n*370%900)*time.Millisecond)
			step.Size = fleet.Resources{MilliCPU: 7700, MemoryMB: 15000}
			id := fmt.Sprintf("%016x", 0x100+n)
			began[submission.ID(id)] = open{sim.now, step.Estimate()*3/2 + 400*time.Millisecond}
			sim.submit(id, newSubmission(step))
		}
		sim.run(simulationStep)
		note()
	}
	So(sim.runUntil(30*time.Second, note), ShouldBeTrue)
	out.mean /= time.Duration(n)
	out.inTime = float64(inTime) / float64(n)
	return out
}

// TestHotRack replays a rack that many submissions want at once: about as much as it has room for on average, and
// more at times.
func TestHotRack(t *testing.T) {
	for name, c := range map[string]struct {
		stretch func(task string) float64
		saves   bool
	}{
		"with true estimates":                                   {nil, true},
		"where one task in 32 lasts seven times as long":        {func(task string) float64 { return 1 + 6*float64(oneIn(32, task)) }, true},
		"where all tasks last three times as long as estimated": {func(string) float64 { return 3 }, false},
	} {
		Convey("Submissions are served better than without waits "+name, t, func() {
			play := func(waits bool) (served, PlaceWaits) {
				sim := rackedSimulation(5, 8, 64, waits)
				sim.stretch = c.stretch
				out := sim.hotRack(12 * time.Second)
				So(sim.violations, ShouldBeEmpty)
				return out, sim.core.placeWaits
			}
			before, _ := play(false)
			after, waits := play(true)
			t.Logf("%s: %+v without waits, %+v with; %+v", name, before, after, waits)
			So(after.mean, ShouldBeLessThanOrEqualTo, before.mean)
			So(after.inTime, ShouldBeGreaterThanOrEqualTo, before.inTime)
			if c.saves {
				So(after.runTime, ShouldBeLessThan, before.runTime)
				So(waits.Ended[PlaceFound], ShouldBeGreaterThan, waits.Ended[PlaceGivenUp])
			}
			So(waits.Waited[PlaceGivenUp], ShouldBeLessThan, time.Duration(1+waits.Ended[PlaceGivenUp])*maxPlaceWait)
		})
	}
}

// oneIn returns 1 for one task in n, by a hash of its name.
func oneIn(n uint32, task string) int {
	if taskHash(task)%n == 0 {
		return 1
	}
	return 0
}

func taskHash(task string) uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(task) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}

func TestPlaceWaits(t *testing.T) {
	Convey("Given a rack that is full, and others that are free", t, func() {
		sim := rackedSimulation(2, 4, 8, true)
		fill := func(length time.Duration) {
			sim.submit(idB, newSubmission(near("r0", 32, length)))
			sim.run(300 * time.Millisecond)
			So(sim.running(idB), ShouldEqual, 32)
		}
		want := func(count int, length time.Duration) {
			sim.submit(idA, newSubmission(near("r0", count, length)))
		}
		Convey("tasks wait for runs that end soon, and start on the rack", func() {
			fill(400 * time.Millisecond)
			want(8, time.Second)
			sim.run(50 * time.Millisecond)
			So(sim.running(idA), ShouldEqual, 0)
			So(sim.runUntil(600*time.Millisecond, func() bool { return sim.running(idA) == 8 }), ShouldBeTrue)
			So(sim.racksOf(idA), ShouldResemble, []string{"r0"})
			So(sim.core.placeWaits.Ended, ShouldResemble, [PlaceOutcomes]int{PlaceFound: 1})
			So(sim.core.placeWaits.Saved, ShouldEqual, 8*500*time.Millisecond)
		})
		Convey("they start elsewhere at once if those runs end late", func() {
			fill(5 * time.Second)
			want(8, time.Second)
			sim.run(100 * time.Millisecond)
			So(sim.running(idA), ShouldEqual, 8)
			So(sim.racksOf(idA), ShouldResemble, []string{"r1"})
		})
		Convey("a wait that no run ends is given up", func() {
			sim.stretch = func(string) float64 { return 9 }
			fill(400 * time.Millisecond)
			want(8, time.Second)
			sim.run(50 * time.Millisecond)
			So(sim.running(idA), ShouldEqual, 0)
			So(sim.runUntil(maxPlaceWait+100*time.Millisecond, func() bool { return sim.running(idA) == 8 }), ShouldBeTrue)
			So(sim.racksOf(idA), ShouldResemble, []string{"r1"})
			So(sim.core.placeWaits.Ended[PlaceGivenUp], ShouldEqual, 1)
		})
		Convey("a wait ends when the executors of the rack are lost", func() {
			fill(400 * time.Millisecond)
			want(8, time.Second)
			sim.run(50 * time.Millisecond)
			for _, e := range sim.executors[:4] {
				e.partitioned = true
			}
			So(sim.runUntil(heartbeatInterval+100*time.Millisecond, func() bool { return sim.running(idA) == 8 }), ShouldBeTrue)
			So(sim.racksOf(idA), ShouldResemble, []string{"r1"})
			So(sim.core.placeWaits.Ended[PlaceFound], ShouldEqual, 0)
		})
		Convey("a new owner takes waiting tasks up within the same bound", func() {
			sim.stretch = func(string) float64 { return 9 }
			fill(400 * time.Millisecond)
			s := newSubmission(near("r0", 8, time.Second))
			s.AcceptedMs = sim.now.Milliseconds()
			sim.submit(idA, s)
			sim.run(400 * time.Millisecond)
			sim.takeOver()
			So(sim.runUntil(maxPlaceWait+500*time.Millisecond, func() bool { return sim.running(idA) == 8 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("other work avoids the rack while it is wanted", func() {
			fill(400 * time.Millisecond)
			want(8, time.Second)
			sim.run(50 * time.Millisecond)
			sim.submit("000000000000000c", newSubmission(tasks(8, time.Second)))
			sim.run(700 * time.Millisecond)
			So(sim.racksOf("000000000000000c"), ShouldResemble, []string{"r1"})
		})
		Convey("a wait takes no room from others", func() {
			fill(400 * time.Millisecond)
			want(8, time.Second)
			sim.run(50 * time.Millisecond)
			sim.submit("000000000000000c", newSubmission(tasks(32, time.Second)))
			sim.run(100 * time.Millisecond)
			So(sim.running("000000000000000c"), ShouldEqual, 32)
		})
	})
	Convey("Given a group that is slower on more than one rack", t, func() {
		sim := rackedSimulation(3, 4, 8, true)
		group := tasks(20, time.Second)
		group.SameRack, group.Gang = true, true
		Convey("it starts on the one that has room for all", func() {
			for i, rack := range []string{"r0", "r1"} {
				sim.submit(fmt.Sprintf("%016x", 0x20+i), newSubmission(near(rack, 16, 3*time.Second)))
			}
			sim.run(300 * time.Millisecond)
			sim.submit(idA, newSubmission(group))
			sim.run(100 * time.Millisecond)
			So(sim.racksOf(idA), ShouldResemble, []string{"r2"})
		})
		Convey("it waits for one whose runs end soon, and spreads otherwise", func() {
			for i, rack := range []string{"r0", "r1", "r2"} {
				sim.submit(fmt.Sprintf("%016x", 0x20+i), newSubmission(near(rack, 16, time.Duration(3-i*5/4)*500*time.Millisecond)))
			}
			sim.run(400 * time.Millisecond)
			sim.submit(idA, newSubmission(group))
			sim.run(100 * time.Millisecond)
			So(sim.running(idA), ShouldEqual, 0)
			So(sim.runUntil(time.Second, func() bool { return sim.running(idA) == 20 }), ShouldBeTrue)
			So(sim.racksOf(idA), ShouldResemble, []string{"r2"})
			large := group
			large.Count = 40
			sim.submit("000000000000000c", newSubmission(large))
			sim.run(100 * time.Millisecond)
			So(len(sim.racksOf("000000000000000c")), ShouldBeGreaterThan, 1)
		})
	})
}

// TestPlaceWaitsAndHandover guards against a submission that is handed over although a place on the
// rack of its data is near, which loses the place for good.
func TestPlaceWaitsAndHandover(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		Convey(fmt.Sprintf("In a full cell whose runs last %v", length), t, func() {
			sim := rackedSimulation(2, 4, 8, true)
			sim.core.options.Cells = 2
			sim.submit(idB, newSubmission(near("r0", 64, length)))
			sim.run(200 * time.Millisecond)
			sim.submit(idA, newSubmission(near("r0", 4, time.Second)))
			sim.run(handoverAfter + 50*time.Millisecond)
			isCandidate := slices.Contains(sim.core.HandoverCandidates(sim.now), submission.ID(idA))
			So(isCandidate, ShouldEqual, length > time.Second)
		})
	}
}

// racksOf returns the racks on which tasks of a submission run.
func (sim *simulation) racksOf(id string) []string {
	racks := map[string]fleet.Resources{}
	for _, e := range sim.executors {
		for task, r := range e.runs {
			if e.up && len(task) > len(id) && task[:len(id)] == id {
				racks[e.allLabels()[1]] = racks[e.allLabels()[1]].Add(r.size)
			}
		}
	}
	var out []string
	for rack := range racks {
		out = append(out, rack)
	}
	slices.Sort(out)
	return out
}

func (sim *simulation) otherRackFactor() float64 {
	if !sim.placeWaits {
		return 0
	}
	return sim.slowdown
}

// actualLength returns the length of a run that depends on its rack and task.
func (sim *simulation) actualLength(length time.Duration, task string, spec *submission.Step, e *fakeExecutor) time.Duration {
	if sim.stretch != nil {
		length = time.Duration(float64(length) * sim.stretch(task))
	}
	if sim.slowdown > 0 && spec.DataRack != "" && spec.DataRack != e.allLabels()[1] {
		length = time.Duration(float64(length) * sim.slowdown)
	}
	if sim.onStart != nil {
		sim.onStart(length)
	}
	return length
}

// A step whose rack was lost while it waited for places there counted as waiting for good, and was not handed over.
func TestPlaceWaitEndsWithItsRack(t *testing.T) {
	Convey("Given tasks of a group that wait for places on one rack, of which all executors are lost", t, func() {
		sim := rackedSimulation(2, 4, 8, true)
		sim.core.options.Cells = 2
		sim.submit(idB, newSubmission(near("r0", 64, 500*time.Millisecond)))
		sim.run(200 * time.Millisecond)
		group := tasks(4, time.Second)
		group.SameRack = true
		sim.submit(idA, newSubmission(group))
		So(sim.runUntil(300*time.Millisecond, func() bool { return sim.core.jobs[idA].placeWaits > 0 }), ShouldBeTrue)
		for _, e := range sim.executors {
			e.crash()
			e.listed = false
		}
		sim.run(2 * maxPlaceWait)
		So(sim.core.jobs[idA].placeWaits, ShouldEqual, 0)
		So(sim.core.HandoverCandidates(sim.now), ShouldContain, submission.ID(idA))
	})
}
