package queue

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
)

// TestCorrectedSizeFitsNowhere guards against tasks that never start since other tasks of their
// kind used more than they declared.
func TestCorrectedSizeFitsNowhere(t *testing.T) {
	Convey("Given a kind whose tasks used four times the declared memory", t, func() {
		m := NewMachine(testTeam)
		spec := testSpec("a", 1)
		apply(m, 1, 0, Record{Kind: Opened}, Record{Kind: Submitted, Spec: spec})
		used := fleet.Resources{MilliCPU: spec.Size.MilliCPU, MemoryMB: 4 * spec.Size.MemoryMB}
		order := Order{Policy: settings.DefaultPolicy().Tasks, History: NewHistory()}
		for range 20 {
			order.History.Observe(*spec, used, spec.RunTime)
		}
		summaries := []rack.Summary{{Rack: "r", VMs: []rack.VMSummary{{ID: "w1", Free: spec.Size.Add(spec.Size)}}}}
		isPlaced := func(now time.Time) bool {
			order.Now = now
			candidates, _ := order.Next(m)
			if len(candidates) == 0 {
				return false
			}
			_, _, ok := NewRackSelector(summaries).Select(candidates[0])
			return ok
		}

		Convey("a task waits for a VM with room for what it is expected to use, and then takes one with the declared size", func() {
			So(isPlaced(testStart.Add(maxCorrectedWait-time.Second)), ShouldBeFalse)
			So(isPlaced(testStart.Add(maxCorrectedWait)), ShouldBeTrue)
		})
		Convey("a quota that has room for the declared size holds it back no longer", func() {
			order.Team.Quota = spec.Size
			So(isPlaced(testStart.Add(maxCorrectedWait-time.Second)), ShouldBeFalse)
			So(isPlaced(testStart.Add(maxCorrectedWait)), ShouldBeTrue)
		})
		Convey("the expected use of the team's other tasks does not hold it back either, what they declared does", func() {
			placed := Record{Kind: Placed, Job: 2, Attempt: 1, VM: "w2", Rack: "r", RackTerm: 7}
			apply(m, 1, 0, Record{Kind: Submitted, Spec: testSpec("b", 1)}, placed)
			order.Team.Quota = spec.Size.Add(spec.Size)
			So(isPlaced(testStart.Add(maxCorrectedWait)), ShouldBeTrue)
			order.Team.Quota = spec.Size
			So(isPlaced(testStart.Add(maxCorrectedWait)), ShouldBeFalse)
		})
	})
}

// TestRetryWithoutOtherVM guards against tasks that never start again since the VMs on which they
// have not failed have no room.
func TestRetryWithoutOtherVM(t *testing.T) {
	for _, c := range []struct {
		name    string
		ended   Record
		maxWait time.Duration
	}{
		{"failed on the only VM with room", Record{Kind: Failed}, maxAvoidWait},
		{"was alone on the only VM with room when that was lost", Record{Kind: Evicted, Loss: &rack.Loss{Runs: 1}}, maxCrashAvoidWait},
	} {
		testRetryWithoutOtherVM(t, "Given a task that "+c.name, c.ended, c.maxWait)
	}
}

func testRetryWithoutOtherVM(t *testing.T, given string, ended Record, maxWait time.Duration) {
	Convey(given, t, func() {
		m := NewMachine(testTeam)
		spec := testSpec("a", 1)
		placed := Record{Kind: Placed, Job: 1, Attempt: 1, VM: "w1", Rack: "r", RackTerm: 7}
		apply(m, 1, 0, Record{Kind: Opened}, Record{Kind: Submitted, Spec: spec}, placed)
		ended.Job, ended.Attempt = 1, 1
		apply(m, 1, 0, ended)
		vm := func(id string) provider.VM {
			return provider.VM{ID: id, Kind: provider.KindWorker, Size: fleet.Resources{MilliCPU: 8000, MemoryMB: 8000}}
		}
		policy := settings.DefaultPolicy().Tasks
		summaries := []rack.Summary{{Rack: "r", VMs: []rack.VMSummary{{ID: "w1", Free: spec.Size}, {ID: "w2"}}}}
		isPlaced := func(waited time.Duration) bool {
			order := Order{Now: testStart.Add(policy.RetryBackoff + waited), Policy: policy, History: NewHistory(), VMs: []provider.VM{vm("w1"), vm("w2")}}
			candidates, _ := order.Next(m)
			So(len(candidates), ShouldEqual, 1)
			_, _, ok := NewRackSelector(summaries).Select(candidates[0])
			return ok
		}

		Convey("it waits for another VM for some time, and then starts there", func() {
			So(isPlaced(maxWait-2*policy.RetryBackoff), ShouldBeFalse)
			So(isPlaced(maxWait), ShouldBeTrue)
		})
	})
}
