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
			for i := range 1000 {
				So(replica.ChooseCell(s, i%4), ShouldNotEqual, 1)
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

// TestRoomInPieces replays a cell that long-running tasks have filled up to a few cores on each executor, beside one with
// less that is free in whole executors.
func TestRoomInPieces(t *testing.T) {
	Convey("Given a full cell, one with 400 cores free in pieces of 3, and one with 192 free in whole executors", t, func() {
		replica := NewReplica()
		layout, err := LayoutRecord(Layout{Cells: 3})
		So(err, ShouldBeNil)
		So(replica.Apply(layout, 0), ShouldBeNil)
		memory := int64(1e9)
		publish := func(cell int, l ServiceLoad) error {
			l.Service = "s"
			record, err := LoadRecord(cell, Load{Free: l.Free, Services: []ServiceLoad{l}})
			So(err, ShouldBeNil)
			return replica.Apply(record, time.Second)
		}
		pieces := ServiceLoad{Free: fleet.Resources{MilliCPU: 399_000, MemoryMB: memory}, SpareMilliCPU: 3_000_000}
		for range 133 {
			pieces.Room = AddRoom(pieces.Room, 3000)
		}
		whole := ServiceLoad{Free: fleet.Resources{MilliCPU: 192_000, MemoryMB: memory}}
		for range 3 {
			whole.Room = AddRoom(whole.Room, 64_000)
		}
		So(publish(0, ServiceLoad{Room: AddRoom(nil, 0)}), ShouldBeNil)
		So(publish(1, pieces), ShouldBeNil)
		So(publish(2, whole), ShouldBeNil)
		work := func(count int, milliCPU int64) submission.Submission {
			return submission.Submission{Service: "s", Steps: []submission.Step{{Count: count, Size: fleet.Resources{MilliCPU: milliCPU, MemoryMB: 1}}}}
		}

		Convey("tasks of 7.7 cores go to the whole executors", func() {
			to, ok := replica.ChooseOtherCell(work(9, 7700), 0)
			So(ok, ShouldBeTrue)
			So(to, ShouldEqual, 2)
			_, ok = replica.ChooseOtherCell(work(9, 7700), 2)
			So(ok, ShouldBeFalse)
			chosen := [3]int{}
			for i := range 10_000 {
				chosen[replica.ChooseCell(work(9, 7700), i%3)]++
			}
			So(chosen[2], ShouldBeGreaterThan, 9900)
		})
		Convey("small tasks go to where most is free", func() {
			to, ok := replica.ChooseOtherCell(work(9, 900), 0)
			So(ok, ShouldBeTrue)
			So(to, ShouldEqual, 1)
		})
		Convey("demand that waits there counts as well", func() {
			whole.Free.MilliCPU -= 150_000
			So(publish(2, whole), ShouldBeNil)
			_, ok := replica.ChooseOtherCell(work(9, 7700), 0)
			So(ok, ShouldBeFalse)
		})
		Convey("a load of an earlier version or with other sizes counts as free, and one out of range is refused", func() {
			for _, room := range [][]int64{nil, {1, 2}} {
				pieces.Room = room
				So(publish(1, pieces), ShouldBeNil)
				to, ok := replica.ChooseOtherCell(work(9, 7700), 0)
				So(ok, ShouldBeTrue)
				So(to, ShouldEqual, 1)
			}
			pieces.Room = []int64{maxCellAmount + 1}
			So(publish(1, pieces), ShouldNotBeNil)
		})
	})
}
