package queue

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

func TestCrashHistory(t *testing.T) {
	alone, beside := rack.Loss{Runs: 1}, rack.Loss{Runs: 2}
	common, old := rack.Loss{Runs: 1, Common: true}, rack.Loss{Runs: 1, Age: rack.ProbationAge}
	repeat := func(n int, l rack.Loss) []rack.Loss {
		var out []rack.Loss
		for range n {
			out = append(out, l)
		}
		return out
	}
	cases := []struct {
		name             string
		losses           []rack.Loss
		vms              []string // of the losses, in turn
		accomplice       bool
		suspect, givenUp bool
	}{
		{"none", nil, nil, false, false, false},
		{"one beside others", repeat(1, beside), []string{"a"}, false, true, false},
		{"alone on two VMs", repeat(2, alone), []string{"a", "b"}, false, true, false},
		{"alone three times on two VMs", repeat(3, alone), []string{"a", "b"}, false, true, true},
		{"alone three times on one VM", repeat(3, alone), []string{"a"}, false, true, false},
		{"three times beside others", repeat(3, beside), []string{"a", "b", "c"}, false, true, false},
		{"too often beside others", repeat(maxCrashes, beside), []string{"a"}, false, true, true},
		{"one of a rack", repeat(1, common), []string{"a"}, false, false, false},
		{"again and again one of a rack", repeat(100, common), []string{"a", "b"}, false, true, false},
		{"two young ones, then an old one", append(repeat(2, alone), old), []string{"a", "b", "c"}, false, false, false},
		{"alone after another task of the job was given up", repeat(1, alone), []string{"a"}, true, true, true},
		{"beside others after another task of the job was given up", repeat(1, beside), []string{"a"}, true, true, false},
		{"one of a rack after another task of the job was given up", repeat(2, common), []string{"a"}, true, true, false},
	}
	Convey("Losses alone on a worker without a common cause convict a task, others make it a suspect", t, func() {
		for _, c := range cases {
			var h CrashHistory
			for i, l := range c.losses {
				h = h.after(l, c.vms[i%len(c.vms)])
			}
			So(c.name+": "+verdict(h, c.accomplice), ShouldEqual, c.name+": "+text(c.suspect, c.givenUp))
		}
	})
}

func verdict(h CrashHistory, accomplice bool) string {
	return text(h.IsSuspect(), h.isGivenUp(accomplice))
}

func text(suspect, givenUp bool) string {
	switch {
	case givenUp:
		return "given up"
	case suspect:
		return "suspect"
	}
	return "clear"
}

func TestLostWorkers(t *testing.T) {
	Convey("Given a job of two tasks", t, func() {
		m := NewMachine(testTeam)
		policy := settings.DefaultPolicy().Tasks
		apply(m, 1, 0, Record{Kind: Opened}, Record{Kind: Submitted, Spec: testSpec("a", 2)})
		term := provider.Offset(1)
		task := func(index int) *Task { return m.Task(TaskRef{Job: 1, Index: index}) }
		// run starts the next attempt of a task and ends it with an event.
		run := func(index int, vm string, e rack.Event) {
			attempt := task(index).Attempt + 1
			apply(m, term, 0, Record{Kind: Placed, Job: 1, Index: index, Attempt: attempt, VM: vm}, Record{Kind: Started, Job: 1, Index: index, Attempt: attempt})
			e.Task, e.Attempt = TaskID(testTeam, TaskRef{Job: 1, Index: index}), attempt
			r, ok := m.RecordOf(e, policy)
			So(ok, ShouldBeTrue)
			apply(m, term, 0, r)
		}
		crash := rack.Event{Outcome: rack.Lost, Loss: &rack.Loss{Runs: 1}}
		order := Order{Now: testStart, Policy: policy, History: NewHistory()}

		Convey("a suspect starts apart, elsewhere, until it has waited too long", func() {
			run(0, "w1", crash)
			order.VMs = []provider.VM{
				{ID: "w1", Kind: provider.KindWorker, Size: testSpec("a", 1).Size}, {ID: "w2", Kind: provider.KindWorker, Size: testSpec("a", 1).Size},
			}
			candidates, _ := order.Next(m)
			So(candidates[0].Ref.Index, ShouldEqual, 0)
			So(candidates[0].Suspect && candidates[0].Apart, ShouldBeTrue)
			So(candidates[0].Avoid, ShouldResemble, []string{"w1"})
			So(candidates[1].Suspect || candidates[1].Apart, ShouldBeFalse)
			order.Now = testStart.Add(maxApartWait)
			candidates, _ = order.Next(m)
			So(candidates[0].Suspect, ShouldBeTrue)
			So(candidates[0].Apart, ShouldBeFalse)
		})
		Convey("a rack without an empty VM is not selected for it, and the reason says so", func() {
			run(0, "w1", crash)
			candidates, _ := order.Next(m)
			free := testSpec("a", 1).Size
			selector := NewRackSelector([]rack.Summary{{Rack: "r", VMs: []rack.VMSummary{{ID: "w3", Free: free.Add(free), Tasks: 1}}}})
			_, reason, ok := selector.Select(candidates[0])
			So(ok, ShouldBeFalse)
			So(reason.Code, ShouldEqual, ReasonApart)
			So(reason.Refusals, ShouldResemble, []place.Refusal{{VM: "w3", Reason: place.VMNotEmpty}})
			_, _, ok = selector.Select(candidates[1])
			So(ok, ShouldBeTrue)
		})
		Convey("its losses are counted across owners and snapshots; the last one fails it, and the job's other task with its first", func() {
			run(0, "w1", crash)
			data, err := m.Snapshot()
			So(err, ShouldBeNil)
			m = NewMachine(testTeam)
			So(m.Restore(data), ShouldBeNil)
			run(0, "w2", crash)
			term = 2
			apply(m, term, 0, Record{Kind: Opened})
			run(0, "w2", crash)
			st := m.Status(m.Job(1), true)
			So(st.Tasks[0].State, ShouldEqual, job.Failed)
			So(st.Tasks[0].Cause, ShouldEqual, job.CauseWorkerCrashes)
			So(st.Tasks[0].Crashes, ShouldEqual, 3)
			So(st.Tasks[0].Reason, ShouldEqual, "worker-crashes: 3 workers lost soon after its start, 3 of them without other tasks, on VMs [w1 w2]")
			run(1, "w3", crash)
			So(task(1).State, ShouldEqual, job.Failed)
			So(m.Job(1).Ended, ShouldNotEqual, 0)
		})
		Convey("a run that outlives its probation and is stopped clears the task", func() {
			run(0, "w1", crash)
			run(0, "w2", rack.Event{Outcome: rack.Stopped, RunTime: rack.ProbationAge})
			So(task(0).Crash, ShouldBeNil)
		})
		Convey("a loss whose cause is unknown counts neither way", func() {
			run(0, "w1", crash)
			run(0, "w2", rack.Event{Outcome: rack.Lost, RunTime: time.Hour})
			So(task(0).Crash.Crashes, ShouldEqual, 1)
		})
		Convey("a start whose worker was lost before it answered counts", func() {
			run(0, "w1", rack.Event{Outcome: rack.NeverStarted, Loss: &rack.Loss{Runs: 1}})
			So(task(0).Crash.Crashes, ShouldEqual, 1)
			So(task(0).Evictions, ShouldEqual, 0)
		})
	})
}
