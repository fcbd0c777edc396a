package rack

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/settings"
)

// lossFixture is a rack with three workers that are renewed one by one.
type lossFixture struct {
	s      *State
	now    time.Time
	c      Conditions
	boot   map[string]time.Time
	runs   map[string][]provider.AttemptStatus
	silent map[string]bool
	ids    []string
}

func newLossFixture() *lossFixture {
	f := &lossFixture{
		s: New("d/r", 5, testStart, interference.None{}), now: testStart, ids: []string{"w1", "w2", "w3"},
		boot: make(map[string]time.Time), runs: make(map[string][]provider.AttemptStatus), silent: make(map[string]bool),
		c: Conditions{View: &settings.View{Domains: []settings.FailureDomain{{Path: "d"}}}},
	}
	f.list()
	for _, id := range f.ids {
		f.boot[id] = testStart.Add(-time.Hour)
	}
	f.renewAll()
	return f
}

func (f *lossFixture) list() {
	var vms []provider.VM
	for _, id := range f.ids {
		vms = append(vms, provider.VM{
			ID: id, Kind: provider.KindWorker, State: provider.VMLive, FailureDomain: "d", Rack: "d/r",
			Size: fleet.Resources{MilliCPU: 10_000, MemoryMB: 10_000},
		})
	}
	f.s.SetVMs(vms)
}

func (f *lossFixture) renewAll() {
	for _, id := range f.ids {
		f.renew(id)
	}
	f.s.Tick(f.now, f.c)
}

// renewFor renews all workers each second.
func (f *lossFixture) renewFor(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(time.Second)
		f.renewAll()
	}
}

func (f *lossFixture) renew(id string) {
	request, _ := f.s.PrepareRenewal(id, f.now, f.c)
	if f.silent[id] {
		f.s.RecordRenewalFailure(id)
		return
	}
	report := provider.Report{VM: id, Clock: int64(f.now.Sub(f.boot[id])), Term: 5, Size: fleet.Resources{MilliCPU: 10_000, MemoryMB: 10_000}, Attempts: f.runs[id]}
	f.s.ApplyReport(id, f.now, f.now, request, report, f.c)
}

// restart empties a worker.
func (f *lossFixture) restart(ids ...string) {
	for _, id := range ids {
		f.boot[id], f.runs[id] = f.now, nil
	}
}

func (f *lossFixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// reserve asks for a VM for the first attempt of a task.
func (f *lossFixture) reserve(task string, r Request) Reservation {
	r.Task, r.Attempt, r.Class, r.Size = task, 1, fleet.Batch, fleet.Resources{MilliCPU: 1000, MemoryMB: 1000}
	return f.s.Reserve(f.now, f.c, ReserveArgs{Queue: "q", Requests: []Request{r}}).Results[0]
}

// start starts a task and returns its VM. The worker runs it if its answer arrives.
func (f *lossFixture) start(task string, r Request, answered bool) string {
	vm := f.reserve(task, r).VM
	So(vm, ShouldNotBeEmpty)
	_, request, refused := f.s.Start(f.now, f.c, StartArgs{Queue: "q"}, Start{Task: task, Attempt: 1})
	So(refused, ShouldBeEmpty)
	if answered {
		status := provider.AttemptStatus{Task: task, Token: request.Token, State: provider.AttemptRunning, Class: fleet.Batch, Size: request.Size}
		f.runs[vm] = append(f.runs[vm], status)
		f.s.ApplyStatus(vm, status, f.now, f.c)
	}
	return vm
}

// event returns the event of a task that is due to be sent.
func (f *lossFixture) event(task string) (Event, bool) {
	for _, e := range f.s.Events()[QueueOf(task)] {
		if e.Task == task {
			return e, true
		}
	}
	return Event{}, false
}

func TestLoss(t *testing.T) {
	Convey("Given a rack of three workers", t, func() {
		f := newLossFixture()
		suspect := Request{Suspect: true, Apart: true}

		Convey("a worker that restarts alone tells the age of its runs and how many there were", func() {
			a := f.start("q/j1/0", Request{}, true)
			f.advance(3 * time.Second)
			f.renewAll()
			f.start("q/j1/1", Request{Avoid: without(f.ids, a)}, true)
			f.advance(time.Second)
			f.restart(a)
			f.renewAll()
			older, _ := f.event("q/j1/0")
			younger, _ := f.event("q/j1/1")
			So(*older.Loss, ShouldResemble, Loss{Age: 3 * time.Second, Runs: 2})
			So(*younger.Loss, ShouldResemble, Loss{Runs: 2})
		})
		Convey("the event of a suspect waits for the other workers, and a rack that restarts is a common cause", func() {
			a := f.start("q/j1/0", suspect, true)
			f.advance(time.Second)
			f.restart(f.ids...)
			f.renew(a)
			f.s.Tick(f.now, f.c)
			_, sent := f.event("q/j1/0")
			So(sent, ShouldBeFalse)
			f.advance(3 * time.Second)
			f.renewAll()
			f.advance(3 * time.Second)
			f.renewAll()
			e, sent := f.event("q/j1/0")
			So(sent, ShouldBeTrue)
			So(*e.Loss, ShouldResemble, Loss{Runs: 1, Common: true})
		})
		Convey("a worker stays free while the loss of a suspect on it is undecided", func() {
			a := f.start("q/j1/0", suspect, true)
			f.advance(time.Second)
			f.restart(a)
			f.renewAll()
			So(f.reserve("q/j2/0", Request{Avoid: without(f.ids, a)}).VM, ShouldBeEmpty)
			f.renewFor(6 * time.Second)
			e, _ := f.event("q/j1/0")
			So(*e.Loss, ShouldResemble, Loss{Runs: 1})
			So(f.reserve("q/j2/0", Request{Avoid: without(f.ids, a)}).VM, ShouldEqual, a)
		})
		Convey("workers that fall silent together are a common cause, one that fell silent long before is not", func() {
			a := f.start("q/j1/0", Request{}, true)
			f.silent[without(f.ids, a)[0]] = true
			f.renewAll()
			f.advance(5 * time.Second)
			f.renewAll()
			f.silent[a] = true
			f.renewFor(15 * time.Second)
			e, _ := f.event("q/j1/0")
			So(*e.Loss, ShouldResemble, Loss{Age: 5 * time.Second, Runs: 1})

			f = newLossFixture()
			a = f.start("q/j1/0", Request{}, true)
			f.silent[a], f.silent[without(f.ids, a)[0]] = true, true
			f.renewFor(15 * time.Second)
			e, _ = f.event("q/j1/0")
			So(*e.Loss, ShouldResemble, Loss{Runs: 1, Common: true})
		})
		Convey("workers lost in turn under the same suspect are no common cause", func() {
			f.ids = f.ids[:2]
			f.list()
			for i, task := range []string{"q/j1/0", "q/j1/1", "q/j1/2"} {
				id := f.ids[i%2]
				f.start(task, Request{Suspect: true, Apart: true, Avoid: without(f.ids, id)}, true)
				f.restart(id)
				f.advance(250 * time.Millisecond)
				f.renewAll()
				sent := false
				for !sent {
					f.advance(250 * time.Millisecond)
					f.renewAll()
					_, sent = f.event(task)
				}
				e, _ := f.event(task)
				So(*e.Loss, ShouldResemble, Loss{Runs: 1})
			}
		})
		Convey("a worker that was only cut off does not lose its runs", func() {
			a := f.start("q/j1/0", Request{}, true)
			f.silent[a] = true
			f.advance(time.Second)
			f.renewAll()
			f.silent[a] = false
			f.runs[a][0].State = provider.AttemptLeaseExpired
			f.renewAll()
			e, _ := f.event("q/j1/0")
			So(e.Outcome, ShouldEqual, Lost)
			So(e.Loss, ShouldBeNil)
		})
		Convey("the loss of a run of an earlier owner, whose age is unknown, is not described", func() {
			f.runs["w1"] = []provider.AttemptStatus{{Task: "q/j1/0", Token: provider.Token{Term: 4, Attempt: 1}, State: provider.AttemptRunning}}
			f.renewAll()
			f.advance(time.Second)
			f.restart("w1")
			f.renewAll()
			e, _ := f.event("q/j1/0")
			So(e.Outcome, ShouldEqual, Lost)
			So(e.Loss, ShouldBeNil)
		})
		Convey("a worker that is lost before it answers a start is lost with it, also when it returns", func() {
			for _, returns := range []bool{false, true} {
				f := newLossFixture()
				a := f.start("q/j1/0", Request{}, false)
				f.silent[a] = true
				for range 10 {
					f.advance(time.Second)
					f.renewAll()
					if returns && f.silent[a] {
						f.silent[a] = false
						f.restart(a)
					}
				}
				e, _ := f.event("q/j1/0")
				So(e.Outcome, ShouldEqual, Lost)
				So(*e.Loss, ShouldResemble, Loss{Runs: 1})
			}
		})
		Convey("a suspect gets an empty worker, which no other task joins during its probation, and one at a time in a small rack", func() {
			for _, id := range f.ids[:2] {
				f.start("q/j1/"+id, Request{Avoid: without(f.ids, id)}, true)
			}
			So(f.start("q/j2/0", suspect, true), ShouldEqual, "w3")
			So(len(f.s.Summary(f.now, f.c).VMs), ShouldEqual, 2)
			r := f.reserve("q/j3/0", Request{Avoid: f.ids[:2]})
			So(r.Refusals[2].Reason, ShouldEqual, place.VMProbation)
			So(f.reserve("q/j4/0", suspect).Reason, ShouldEqual, TooManyProbations)
			f.renewFor(ProbationAge)
			So(f.reserve("q/j3/0", Request{Avoid: f.ids[:2]}).VM, ShouldEqual, "w3")
			So(f.reserve("q/j4/0", suspect).Refusals[0].Reason, ShouldEqual, place.VMNotEmpty)
		})
	})
}

// TestFailingJobsQuarantineAllWorkers guards against work that waits for the ends of quarantines,
// one after the other, since jobs fail wherever they run.
func TestFailingJobsQuarantineAllWorkers(t *testing.T) {
	Convey("Given a rack of three workers", t, func() {
		f := newLossFixture()
		fail := func(job int, vm string) {
			task := fmt.Sprintf("q/j%d/0", job)
			So(f.start(task, Request{Avoid: without(f.ids, vm)}, true), ShouldEqual, vm)
			f.advance(100 * time.Millisecond)
			f.runs[vm][len(f.runs[vm])-1].State = provider.AttemptFailed
			f.renewAll()
			f.runs[vm] = f.runs[vm][:len(f.runs[vm])-1]
			for _, e := range f.s.Events()["q"] {
				f.s.Acknowledge(e)
			}
			f.renewAll()
		}
		quarantine := func(ids ...string) {
			for i, vm := range ids {
				for k := range 3 {
					fail(10*i+k, vm)
				}
			}
		}

		Convey("of which one is quarantined, the others get all work", func() {
			quarantine(f.ids[0])
			So(f.s.QuarantinedCount(f.now), ShouldEqual, 1)
			So(f.reserve("q/j90/0", Request{Avoid: f.ids[1:]}).Refusals[0].Reason, ShouldEqual, place.VMQuarantined)
		})
		Convey("of which most are quarantined, these get one task at a time", func() {
			quarantine(f.ids...)
			So(f.s.QuarantinedCount(f.now), ShouldEqual, 3)
			So(len(f.s.Summary(f.now, f.c).VMs), ShouldEqual, 3)
			for i := range f.ids {
				So(f.reserve(fmt.Sprintf("q/j9%d/0", i), Request{}).VM, ShouldNotBeEmpty)
			}
			So(f.reserve("q/j99/0", Request{}).Reason, ShouldEqual, NoVM)
		})
	})
}

func without(ids []string, id string) []string {
	var out []string
	for _, other := range ids {
		if other != id {
			out = append(out, other)
		}
	}
	return out
}
