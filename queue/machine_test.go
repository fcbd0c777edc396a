package queue

import (
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

const testTeam = fleet.Path("zavod/certificates")

var testStart = time.UnixMilli(1_700_000_000_000)

func apply(m *Machine, term platform.Offset, at time.Duration, records ...Record) {
	data, err := Batch{Term: term, Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	m.Apply(platform.Record{Time: testStart.Add(at), Data: data})
}

func testSpec(key string, count int) *job.Spec {
	return &job.Spec{
		Name: "run", Team: testTeam, Kind: "certificate", Class: fleet.Batch, Count: count,
		Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 500}, RunTime: time.Minute, IdempotencyKey: key,
	}
}

func TestMachine(t *testing.T) {
	Convey("Given a queue with one job of two tasks", t, func() {
		m := NewMachine(testTeam)
		apply(m, 1, 0, Record{Kind: Opened}, Record{Kind: Submitted, Spec: testSpec("a", 2)})
		placed := Record{Kind: Placed, Job: 1, Attempt: 1, VM: "w1", Rack: "r", RackTerm: 7}
		task := m.Task(TaskRef{Job: 1})

		Convey("a second submission with the key adds no job", func() {
			apply(m, 1, 0, Record{Kind: Submitted, Spec: testSpec("a", 5)})
			So(len(m.Jobs()), ShouldEqual, 1)
		})
		Convey("records of an older term are void, and of one that was not opened", func() {
			apply(m, 3, 0, Record{Kind: Opened})
			apply(m, 1, 0, placed, Record{Kind: Submitted, Spec: testSpec("b", 1)})
			apply(m, 4, 0, placed)
			So(task.State, ShouldEqual, job.Pending)
			So(len(m.Jobs()), ShouldEqual, 1)
			So(m.Term(), ShouldEqual, platform.Offset(3))
		})
		Convey("only the next attempt of a waiting task may be placed", func() {
			for _, wrong := range []int{0, 2} {
				r := placed
				r.Attempt = wrong
				apply(m, 1, 0, r)
				So(task.State, ShouldEqual, job.Pending)
			}
			apply(m, 1, 0, placed)
			second := placed
			second.Attempt, second.VM = 2, "w2"
			apply(m, 1, 0, second)
			So(task.VM, ShouldEqual, "w1")
			So(task.Attempt, ShouldEqual, 1)
		})
		Convey("an evicted task resumes once, from its checkpoint", func() {
			evicted := Record{Kind: Evicted, Job: 1, Attempt: 1, Checkpoint: "half"}
			apply(m, 1, 0, placed, Record{Kind: Started, Job: 1, Attempt: 1}, evicted)
			resumed := placed
			resumed.Attempt = 2
			apply(m, 1, 0, resumed, evicted, resumed)
			So(task.State, ShouldEqual, job.Placed)
			So(task.Checkpoint, ShouldEqual, "half")
			So(task.Evictions, ShouldEqual, 1)
		})
		Convey("a cancelled task that runs ends with its attempt", func() {
			apply(m, 1, 0, placed, Record{Kind: Cancelled, Job: 1})
			So(task.State, ShouldEqual, job.Placed)
			So(m.Task(TaskRef{Job: 1, Index: 1}).State, ShouldEqual, job.Cancelled)
			apply(m, 1, 0, Record{Kind: Evicted, Job: 1, Attempt: 1})
			So(task.State, ShouldEqual, job.Cancelled)
			So(len(m.Open()), ShouldEqual, 0)
		})
		Convey("an ended job is forgotten after a day, with its key", func() {
			apply(m, 1, 0, Record{Kind: Cancelled, Job: 1}, Record{Kind: Submitted, Spec: testSpec("b", 1)})
			apply(m, 1, keptTime+time.Second, Record{Kind: Cancelled, Job: 2})
			So(m.Job(1), ShouldBeNil)
			So(m.ByKey("a"), ShouldBeNil)
			So(m.ByKey("b"), ShouldNotBeNil)
		})
		Convey("failures on a bad worker do not count, those elsewhere end the job", func() {
			policy := settings.DefaultPolicy().Tasks
			apply(m, 1, 0, placed)
			event := rack.Event{Task: TaskID(testTeam, TaskRef{Job: 1}), Attempt: 1, Outcome: rack.Failed, BadWorker: true}
			r, ok := m.RecordOf(event, policy)
			So(ok, ShouldBeTrue)
			So(r.WorkerFault, ShouldBeTrue)
			apply(m, 1, 0, r)
			So(task.Failures, ShouldEqual, 0)
			for attempt, vm := range map[int]string{2: "w2"} {
				next := placed
				next.Attempt, next.VM = attempt, vm
				apply(m, 1, 0, next)
				event.Attempt = attempt
				r, _ = m.RecordOf(event, policy)
				So(r.WorkerFault, ShouldBeFalse)
			}
		})
	})
}

// TestReplay holds a machine that was restored from a snapshot against one that
// read all records.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, restored := NewMachine(testTeam), NewMachine(testTeam)
		n := rapid.IntRange(1, 60).Draw(t, "records")
		cut := rapid.IntRange(0, n).Draw(t, "cut")
		for i := range n {
			if i == cut {
				data, err := whole.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			term := platform.Offset(rapid.IntRange(1, 3).Draw(t, "term"))
			r := Record{
				Kind:    Kind(rapid.IntRange(1, int(Unschedulable)).Draw(t, "kind")),
				Job:     uint64(rapid.IntRange(1, 3).Draw(t, "job")),
				Index:   rapid.IntRange(0, 2).Draw(t, "index"),
				Attempt: rapid.IntRange(1, 3).Draw(t, "attempt"),
				VM:      rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "VM"),
				Final:   rapid.Bool().Draw(t, "final"),
			}
			if r.Kind == Submitted {
				r.Spec = testSpec(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), 2)
			}
			at := time.Duration(i) * time.Second
			apply(whole, term, at, r)
			if i >= cut {
				apply(restored, term, at, r)
			}
		}
		if cut < n && !reflect.DeepEqual(whole, restored) {
			t.Fatalf("states differ:\n%+v\n%+v", whole, restored)
		}
	})
}

func TestUnfit(t *testing.T) {
	Convey("A job that fits no worker is told the nearest and what lacks", t, func() {
		vms := []platform.VM{
			{ID: "small", Kind: platform.KindWorker, FailureDomain: "a", Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 1000}},
			{ID: "large", Kind: platform.KindWorker, FailureDomain: "b", Size: fleet.Resources{MilliCPU: 8000, MemoryMB: 8000}},
		}
		s := *testSpec("a", 1)
		s.Size.MemoryMB = 9000
		short, unfit := Unfit(vms, s)
		So(unfit, ShouldBeTrue)
		So(short.VM, ShouldEqual, "large")
		So(short.Lacks, ShouldResemble, fleet.Resources{MemoryMB: 1000})
		s.Size.MemoryMB = 2000
		_, unfit = Unfit(vms, s)
		So(unfit, ShouldBeFalse)
		s.FailureDomains = []fleet.Path{"a"}
		_, unfit = Unfit(vms, s)
		So(unfit, ShouldBeTrue)
		_, unfit = Unfit(nil, s)
		So(unfit, ShouldBeFalse)
	})
}
