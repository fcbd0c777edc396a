package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/submission"
)

// TestCellWithoutRoomOfService guards against a submission that moves to a cell whose free executors
// are of another service, and waits there.
func TestCellWithoutRoomOfService(t *testing.T) {
	Convey("Given a cell that is full, one with room of another service, and one with some of its own", t, func() {
		replica := NewReplica()
		layout, err := LayoutRecord(Layout{Cells: 4})
		So(err, ShouldBeNil)
		So(replica.Apply(layout, 0), ShouldBeNil)
		room := fleet.Resources{MilliCPU: 400_000, MemoryMB: 400_000}
		some := fleet.Resources{MilliCPU: 10_000, MemoryMB: 10_000}
		services := []ServiceLoad{
			{Service: "a", Size: room, Used: room},
			{Service: "b", Labels: []string{"x"}, Size: room, Free: room, SpareMilliCPU: room.MilliCPU},
			{Service: "a", Labels: []string{"x"}, Size: room, Used: room.Sub(some), Free: some, SpareMilliCPU: some.MilliCPU},
		}
		for i, l := range services {
			record, err := LoadRecord(i, Load{Free: l.Free, SpareMilliCPU: l.SpareMilliCPU, Labels: l.Labels, Services: []ServiceLoad{l}})
			So(err, ShouldBeNil)
			So(replica.Apply(record, time.Second), ShouldBeNil)
		}
		step := submission.Step{Count: 4, Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}}
		s := submission.Submission{Service: "a", Steps: []submission.Step{step}}

		Convey("work of the service moves to the last one", func() {
			to, ok := replica.ChooseOtherCell(s, 0)
			So(ok, ShouldBeTrue)
			So(to, ShouldEqual, 2)
			_, ok = replica.ChooseOtherCell(s, 2)
			So(ok, ShouldBeFalse)
			s.Steps[0].BestEffort, s.Steps[0].RequiredLabel = true, "x"
			to, ok = replica.ChooseOtherCell(s, 0)
			So(ok, ShouldBeTrue)
			So(to, ShouldEqual, 2)
		})
		Convey("new work of the service never gets to the second one", func() {
			for range 1000 {
				So(replica.ChooseCell(s), ShouldNotEqual, 1)
			}
		})
		Convey("a load of an owner that names no services counts for all", func() {
			record, err := LoadRecord(3, Load{Free: room})
			So(err, ShouldBeNil)
			So(replica.Apply(record, 0), ShouldBeNil)
			to, ok := replica.ChooseOtherCell(s, 0)
			So(ok, ShouldBeTrue)
			So(to, ShouldEqual, 3)
		})
		Convey("the size and use of a service in other cells is known while their loads are fresh", func() {
			others := replica.OtherCells(0, time.Second+maxLoadAge)
			So(others["a"].Size, ShouldResemble, room)
			So(others["a"].Used, ShouldResemble, room.Sub(some))
			So(replica.OtherCells(3, 2*time.Second)["a"].Size, ShouldResemble, room.Add(room))
			So(replica.OtherCells(0, 2*time.Second+maxLoadAge), ShouldBeEmpty)
		})
	})
	Convey("A load of a service that is out of range is an error", t, func() {
		record, err := LoadRecord(0, Load{Services: []ServiceLoad{{Used: fleet.Resources{MemoryMB: 2 * maxCellAmount}}}})
		So(err, ShouldBeNil)
		So(NewReplica().Apply(record, 0), ShouldNotBeNil)
	})
}
