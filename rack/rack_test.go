package rack

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

var testStart = time.Unix(1_700_000_000, 0)

// bench is one rack with one worker that answers every renewal.
type bench struct {
	s       *State
	now     time.Time
	c       Conditions
	vm      platform.VM
	running map[platform.AttemptRef]platform.AttemptStatus
}

func newBench() *bench {
	b := &bench{
		s: New("d/r", 5, testStart, interference.None{}), now: testStart,
		vm: platform.VM{
			ID: "w1", Kind: platform.KindWorker, State: platform.VMLive, FailureDomain: "d", Rack: "d/r",
			Size: fleet.Resources{MilliCPU: 10_000, MemoryMB: 10_000},
		},
		running: make(map[platform.AttemptRef]platform.AttemptStatus),
	}
	b.takeOut(false)
	b.s.SetVMs([]platform.VM{b.vm})
	b.renew()
	return b
}

func (b *bench) takeOut(out bool) {
	b.c.View = &settings.View{Domains: []settings.FailureDomain{{Path: "d", Out: out}}}
}

func (b *bench) renew(usage ...platform.Usage) {
	request, _ := b.s.Renewal("w1", b.now, b.c)
	report := platform.Report{VM: "w1", Clock: int64(b.now.Sub(testStart)), Term: 5, Size: b.vm.Size, Usage: usage}
	for _, a := range b.running {
		report.Attempts = append(report.Attempts, a)
	}
	b.s.Renewed("w1", b.now, b.now, request, report, b.c)
}

// start reserves and starts the first attempt of a task.
func (b *bench) start(task string, class fleet.TaskClass) Reservation {
	reply := b.s.Reserve(b.now, b.c, ReserveArgs{Queue: "q", Requests: []Request{
		{Task: task, Attempt: 1, Class: class, Kind: "k", Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 1000}},
	}})
	if reply.Results[0].VM == "" {
		return reply.Results[0]
	}
	_, request, refused := b.s.Start(b.now, b.c, StartArgs{Queue: "q"}, Start{Task: task, Attempt: 1})
	So(refused, ShouldBeEmpty)
	status := platform.AttemptStatus{Task: task, Token: request.Token, State: platform.AttemptRunning, Class: class, Size: request.Size}
	b.running[platform.AttemptRef{Task: task, Attempt: 1}] = status
	b.s.Answered("w1", status, b.now, b.c)
	return reply.Results[0]
}

// end makes the worker report an end and the queue acknowledge it.
func (b *bench) end(task string, state platform.AttemptState) Event {
	ref := platform.AttemptRef{Task: task, Attempt: 1}
	a := b.running[ref]
	a.State = state
	b.running[ref] = a
	b.renew()
	var out Event
	for _, e := range b.s.Events()[QueueOf(task)] {
		if e.Ref() == ref {
			out = e
		}
		b.s.Acknowledge(e)
	}
	b.renew()
	delete(b.running, ref)
	return out
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func TestQuarantine(t *testing.T) {
	Convey("Given a worker on which three different jobs failed", t, func() {
		b := newBench()
		for i := range 3 {
			task := fmt.Sprintf("q/j%d/0", i)
			So(b.start(task, fleet.Batch).VM, ShouldEqual, "w1")
			So(b.end(task, platform.AttemptFailed).BadWorker, ShouldEqual, i == 2)
		}
		Convey("it takes nothing and says why", func() {
			r := b.start("q/j7/0", fleet.Batch)
			So(r.Reason, ShouldEqual, NoVM)
			So(r.Refusals[0].Reason, ShouldEqual, place.VMQuarantined)
		})
		Convey("afterwards it takes one task until one has succeeded", func() {
			b.pass(quarantineTime + time.Second)
			b.renew()
			So(b.start("q/j7/0", fleet.Batch).VM, ShouldEqual, "w1")
			So(b.start("q/j8/0", fleet.Batch).VM, ShouldBeEmpty)
			b.end("q/j7/0", platform.AttemptFinished)
			So(b.start("q/j8/0", fleet.Batch).VM, ShouldEqual, "w1")
			So(b.start("q/j9/0", fleet.Batch).VM, ShouldEqual, "w1")
		})
	})
	Convey("Failures of one job alone do not quarantine a worker", t, func() {
		b := newBench()
		for i := range 5 {
			task := fmt.Sprintf("q/j1/%d", i)
			So(b.start(task, fleet.Batch).VM, ShouldEqual, "w1")
			So(b.end(task, platform.AttemptFailed).BadWorker, ShouldBeFalse)
		}
	})
}

func TestDrain(t *testing.T) {
	Convey("A failure domain that is taken out is drained within the rate", t, func() {
		b := newBench()
		for i := range 8 {
			class := fleet.Batch
			if i == 7 {
				class = fleet.LatencyCritical
			}
			b.start(fmt.Sprintf("q/j1/%d", i), class)
		}
		b.takeOut(true)
		b.pass(250 * time.Millisecond)
		first := b.s.Plan(b.now, b.c)
		So(len(first), ShouldEqual, 1)
		So(first[0].Kind, ShouldEqual, DoCheckpoint)
		So(first[0].Request.Task, ShouldEqual, "q/j1/7")
		b.pass(10 * time.Second)
		rate := int(settings.DefaultPolicy().Tasks.MoveRate)
		So(len(b.s.Plan(b.now, b.c)), ShouldEqual, 1+rate)
		So(b.start("q/j2/0", fleet.Batch).Refusals[0].Reason, ShouldEqual, place.DomainOut)
	})
}

func TestRelief(t *testing.T) {
	Convey("A slow service has its neighbour throttled, then moved, then it is calm", t, func() {
		b := newBench()
		b.start("q/j1/0", fleet.LatencyCritical)
		b.start("q/j2/0", fleet.Batch)
		slow := func(by float64) []Action {
			b.pass(5 * time.Second)
			b.renew(platform.Usage{Task: "q/j1/0", Attempt: 1, Slowdown: by})
			return b.s.Plan(b.now, b.c)
		}
		actions := slow(2)
		So(len(actions), ShouldEqual, 1)
		So(actions[0].Kind, ShouldEqual, DoThrottle)
		So(actions[0].Request.Task, ShouldEqual, "q/j2/0")
		b.s.Throttled("w1", platform.AttemptRef{Task: "q/j2/0", Attempt: 1}, actions[0].Request.Share)
		So(slow(2), ShouldBeEmpty)
		for range 2 {
			slow(2)
		}
		actions = slow(2)
		So(len(actions), ShouldEqual, 1)
		So(actions[0].Kind, ShouldEqual, DoCheckpoint)
	})
}
