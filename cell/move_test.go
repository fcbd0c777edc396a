package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// TestMoveWithProgress guards against a submission that runs again in its new cell what it has run in the earlier one.
func TestMoveWithProgress(t *testing.T) {
	const id = "00000000000000aa"
	Convey("Given a submission that was moved with its progress", t, func() {
		r := NewReplica()
		apply := func(record provider.KeyedRecord, err error) error {
			So(err, ShouldBeNil)
			return r.Apply(record, 0)
		}
		So(apply(LayoutRecord(Layout{Cells: 3})), ShouldBeNil)
		move := func(to int, progress string, origins ...int) (provider.KeyedRecord, error) {
			return ProgressMoveRecord(id, to, []byte(progress), origins)
		}
		So(apply(move(1, "first", 0)), ShouldBeNil) // read before the submission
		So(apply(SubmissionRecord(id, submission.Submission{Queue: "q"})), ShouldBeNil)
		e, _ := r.Lookup(id)
		So(e.Cell, ShouldEqual, 1)
		So(string(e.Progress), ShouldEqual, "first")

		Convey("the newest move has effect", func() {
			So(apply(move(2, "second", 0, 1)), ShouldBeNil)
			e, _ := r.Lookup(id)
			So(e.Cell, ShouldEqual, 2)
			So(string(e.Progress), ShouldEqual, "second")
			So(e.Origins, ShouldResemble, []int{0, 1})
		})
		Convey("cells with a record of its progress are named once it has expired", func() {
			So(r.Apply(StateRecord(id, submission.Completed), 0), ShouldBeNil)
			for cell, n := range []int{1, 1, 0} {
				So(r.Expired(cell, 2*FinalStateRetention), ShouldHaveLength, n)
			}
		})
		Convey("a move record that can't be read changes nothing", func() {
			valid, err := move(2, "second", 0)
			So(err, ShouldBeNil)
			for _, value := range [][]byte{valid.Value[:len(valid.Value)-1], {2, 0xa0}, append([]byte{9}, valid.Value[1:]...)} {
				So(r.Apply(provider.KeyedRecord{Key: valid.Key, Value: value}, 0), ShouldNotBeNil)
				e, _ := r.Lookup(id)
				So(e.Cell, ShouldEqual, 1)
				So(string(e.Progress), ShouldEqual, "first")
			}
		})
	})
	Convey("A submission is held while its only move can't be read", t, func() {
		r := NewReplica()
		record, err := SubmissionRecord(id, submission.Submission{Queue: "q"})
		So(err, ShouldBeNil)
		So(r.Apply(record, 0), ShouldBeNil)
		So(r.Apply(provider.KeyedRecord{Key: id + moveSuffix, Value: []byte{1, 0xff}}, 0), ShouldNotBeNil)
		e, _ := r.Lookup(id)
		So(e.Unreadable, ShouldBeTrue)
	})
	Convey("Progress that is too large for a record is refused", t, func() {
		_, err := ProgressMoveRecord(id, 1, make([]byte, maxMoveProgressBytes+1), nil)
		So(err, ShouldNotBeNil)
	})
}

// TestUnownedCell guards against a silent log that looks like a cell without an owner.
func TestUnownedCell(t *testing.T) {
	Convey("Given the loads of two of three cells", t, func() {
		r := NewReplica()
		now := time.Hour
		apply := func(record provider.KeyedRecord, err error) {
			So(err, ShouldBeNil)
			So(r.Apply(record, now), ShouldBeNil)
		}
		apply(LayoutRecord(Layout{Cells: 3}))
		apply(LoadRecord(0, Load{}))
		apply(LoadRecord(1, Load{}))
		So(r.HasUnownedCell(now), ShouldBeTrue)
		apply(LoadRecord(2, Load{}))
		So(r.HasUnownedCell(now), ShouldBeFalse)
		now += silentLoadAge
		Convey("none has an owner, or the log is silent: nothing is known", func() {
			So(r.HasUnownedCell(now), ShouldBeFalse)
		})
		Convey("the one that is silent while another is not has none", func() {
			apply(LoadRecord(0, Load{}))
			apply(LoadRecord(1, Load{}))
			So(r.HasUnownedCell(now), ShouldBeTrue)
			apply(LoadRecord(2, Load{}))
			So(r.HasUnownedCell(now), ShouldBeFalse)
			apply(LoadRecord(2, Load{Unclaimed: true}))
			So(r.HasUnownedCell(now), ShouldBeTrue)
		})
	})
}
