package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/rack"
)

// TestAvoidingTaskBlocksItsJob guards against tasks that wait although there is room, since another
// task of their job finds none on the VMs that it does not avoid.
func TestAvoidingTaskBlocksItsJob(t *testing.T) {
	Convey("Given one VM with room, and a job of which one task avoids that VM", t, func() {
		spec := testSpec("a", 2)
		j := &Job{Number: 1, Spec: *spec}
		selector := NewRackSelector([]rack.Summary{{Rack: "r", VMs: []rack.VMSummary{
			{ID: "w1", Free: spec.Size}, {ID: "w2", Free: fleet.Resources{}},
		}}})
		_, _, ok := selector.Select(Candidate{Ref: TaskRef{Job: 1}, Job: j, Size: spec.Size, Avoid: []string{"w1"}})
		So(ok, ShouldBeFalse)

		Convey("the other tasks of the job get it", func() {
			path, _, ok := selector.Select(Candidate{Ref: TaskRef{Job: 1, Index: 1}, Job: j, Size: spec.Size})
			So(ok, ShouldBeTrue)
			So(path, ShouldEqual, fleet.Path("r"))
		})
	})
}

// TestLargerTaskBlocksItsJob guards against tasks that wait although there is room for them, since there
// is none for a task of their job that is expected to use more than they declare.
func TestLargerTaskBlocksItsJob(t *testing.T) {
	Convey("Given a VM with room for the declared size of a job's tasks, and one that needs more", t, func() {
		spec := testSpec("a", 2)
		j := &Job{Number: 1, Spec: *spec}
		selector := NewRackSelector([]rack.Summary{{Rack: "r", VMs: []rack.VMSummary{{ID: "w1", Free: spec.Size}}}})
		_, _, ok := selector.Select(Candidate{Ref: TaskRef{Job: 1}, Job: j, Size: spec.Size.Add(spec.Size)})
		So(ok, ShouldBeFalse)

		Convey("a task of the declared size gets it", func() {
			_, _, ok := selector.Select(Candidate{Ref: TaskRef{Job: 1, Index: 1}, Job: j, Size: spec.Size})
			So(ok, ShouldBeTrue)
		})
	})
}
