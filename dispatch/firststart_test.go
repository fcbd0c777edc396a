package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

// TestFirstStart replays short steps that start at once, behind work that takes all room, after the
// steps that they depend on, when due, and across a takeover.
func TestFirstStart(t *testing.T) {
	Convey("The wait of a step for its first start is measured once", t, func() {
		sim := newSimulation(2, 1)
		sim.config = policy.New(1, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Priority: 1}}, []policy.Service{{Name: "s", RejectsOverload: true}})
		sim.core.SetConfig(sim.config)
		sim.run(time.Second)
		starts := func() map[string]time.Duration {
			out := map[string]time.Duration{}
			for _, s := range sim.core.FirstStarts() {
				So(out, ShouldNotContainKey, s.Class.Labels())
				out[s.Class.Labels()] = s.Wait
			}
			return out
		}
		const one, two, eight = `{kind="batch",priority="1",tasks="1"}`, `{kind="batch",priority="1",tasks="2-7"}`, `{kind="batch",priority="1",tasks="8-31"}`
		accepted := func() int64 { return sim.now.Milliseconds() }

		Convey("from the acceptance, and a step that waits is counted until then", func() {
			sim.submit(idA, submission.Submission{AcceptedMs: accepted(), Steps: []submission.Step{tasks(16, 5*time.Second)}})
			sim.run(time.Second)
			sim.submit(idB, submission.Submission{AcceptedMs: accepted(), Steps: []submission.Step{tasks(8, time.Second)}})
			sim.run(3 * time.Second)
			got := starts()
			So(got, ShouldContainKey, `{kind="batch",priority="1",tasks="8-31"}`)
			So(got[eight], ShouldBeLessThan, 200*time.Millisecond)
			waiting := sim.core.Stats().NotStarted
			So(waiting[sim.core.jobs[idB].occurrences[0].steps[0].startClass()], ShouldEqual, 1)
			sim.run(3 * time.Second)
			So(starts()[eight], ShouldBeBetween, 3500*time.Millisecond, 4500*time.Millisecond)
			So(sim.core.Stats().NotStarted, ShouldResemble, [StartClasses]int{})
		})
		Convey("of a dependent step from its release", func() {
			dependent := tasks(2, time.Second)
			dependent.DependsOn = []int{0}
			sim.submit(idA, submission.Submission{AcceptedMs: accepted(), Steps: []submission.Step{tasks(1, 3*time.Second), dependent}})
			sim.run(5 * time.Second)
			got := starts()
			So(got[one], ShouldBeLessThan, 200*time.Millisecond)
			So(got[two], ShouldBeLessThan, 200*time.Millisecond)
			So(len(got), ShouldEqual, 2)
		})
		Convey("of a scheduled occurrence from its due time", func() {
			sim.submit(idA, submission.Submission{
				AcceptedMs: accepted(), Occurrences: 1, FirstDueMs: accepted() + 3000, Steps: []submission.Step{tasks(1, time.Second)},
			})
			sim.run(5 * time.Second)
			So(starts()[one], ShouldBeLessThan, 200*time.Millisecond)
		})
		Convey("from the acceptance also by a later owner, which does not count a step that has run", func() {
			sim.submit(idA, submission.Submission{AcceptedMs: accepted(), Steps: []submission.Step{tasks(16, 20*time.Second)}})
			sim.run(time.Second)
			sim.submit(idB, submission.Submission{AcceptedMs: accepted(), Steps: []submission.Step{tasks(1, time.Second)}})
			sim.run(time.Second)
			So(len(starts()), ShouldEqual, 1)
			sim.takeOver()
			sim.run(2 * time.Second)
			So(starts(), ShouldBeEmpty)
			sim.cancel(idA)
			sim.run(2 * time.Second)
			got := starts()
			So(len(got), ShouldEqual, 1)
			So(got[one], ShouldBeBetween, 3*time.Second, 4*time.Second)
		})
		Convey("when a run without an answer is listed or has ended", func() {
			sim.lossRate, sim.executionDelay = 1, func() time.Duration { return 0 }
			sim.submit(idA, submission.Submission{AcceptedMs: accepted(), Steps: []submission.Step{tasks(1, time.Second)}})
			sim.runUntil(2*time.Second, func() bool { return sim.starts == 1 })
			sim.lossRate = 0
			sim.run(5 * time.Second)
			So(starts(), ShouldContainKey, one)
		})
	})
}

func TestStartClass(t *testing.T) {
	Convey("Classes are bounded, whatever priorities and widths there are", t, func() {
		seen := map[string]StartClass{}
		for _, priority := range []int{-5, 0, 1, 2, 3, 9, 1 << 40} {
			for width := 1; width < 100; width++ {
				for kind := range ReservedKinds {
					spec := tasks(width, time.Second)
					spec.LongRunning, spec.BestEffort = kind == ReservedLongRunning, kind == ReservedBestEffort
					st := &step{job: &job{priority: priority}, spec: &spec, tasks: make([]*task, width)}
					class := st.startClass()
					So(class, ShouldBeBetweenOrEqual, 0, StartClasses-1)
					seen[class.Labels()] = class
				}
			}
		}
		So(len(seen), ShouldEqual, StartClasses)
		for width, label := range map[int]string{1: "1", 2: "2-7", 7: "2-7", 8: "8-31", 31: "8-31", 32: "32+"} {
			st := &step{job: &job{priority: 7}, spec: &submission.Step{}, tasks: make([]*task, width)}
			So(st.startClass().Labels(), ShouldEqual, fmt.Sprintf(`{kind="batch",priority="3+",tasks=%q}`, label))
		}
	})
}
