package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/provider"
)

// A member released its cell as soon as the group dealt it to another one. While the store
// lost answers that happened several times in a second, and the cell had no owner for
// seconds though nothing had failed.
func TestTenureKeepsCellWhileGroupDealsAnew(t *testing.T) {
	const ms = time.Millisecond
	cells := func(numbers ...int) map[int]bool {
		out := map[int]bool{}
		for _, c := range numbers {
			out[c] = true
		}
		return out
	}
	Convey("Given a member that holds cell 0 since generation 50", t, func() {
		now := 10 * time.Second
		tn := tenure{}
		So(tn.observe(now, 50, []int{0}, cells(0), false), ShouldBeEmpty)
		So(tn.named, ShouldEqual, 50)

		Convey("it keeps its only cell, and names the generation under which it held it", func() {
			for generation := int64(51); generation < 80; generation++ {
				now += 200 * ms
				So(tn.observe(now, generation, []int{0}, nil, false), ShouldBeEmpty)
				So(tn.named, ShouldEqual, 50)
			}
			now += time.Hour
			So(tn.observe(now, 79, []int{0}, nil, false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 50)
			So(tn.observe(now, 80, []int{0}, cells(0), false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 80)
		})
		Convey("it names the newest generation once it holds no cell", func() {
			So(tn.observe(now, 51, []int{0}, nil, false), ShouldBeEmpty)
			tn.forget(0)
			So(tn.observe(now, 51, nil, nil, false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 51)
		})
		Convey("it gives one of two cells up once the group has settled, and serves it on meanwhile", func() {
			So(tn.observe(now, 51, []int{0, 1}, cells(1), false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 50)
			now += settleTime - ms
			So(tn.observe(now, 52, []int{0, 1}, cells(1), false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 50)
			now += settleTime - ms
			So(tn.observe(now, 52, []int{0, 1}, cells(1), false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 50)
			now += ms
			So(tn.observe(now, 52, []int{0, 1}, cells(1), false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 52)

			Convey("it releases the cell if no new owner has fenced it within handoverTime", func() {
				So(tn.observe(now+handoverTime-ms, 52, []int{0, 1}, cells(1), false), ShouldBeEmpty)
				So(tn.observe(now+handoverTime, 52, []int{0, 1}, cells(1), false), ShouldResemble, []int{0})
				tn.forget(0)
				So(tn.observe(now+handoverTime, 52, []int{0, 1}, cells(1), false), ShouldBeEmpty)
			})
			Convey("it keeps the cell if the group lists it again", func() {
				So(tn.observe(now+100*ms, 53, []int{0, 1}, cells(0, 1), false), ShouldBeEmpty)
				So(tn.observe(now+handoverTime, 54, []int{0, 1}, cells(1), false), ShouldBeEmpty)
				So(tn.named, ShouldEqual, 53)
			})
		})
		Convey("it gives its cell up for another one that the group lists for it", func() {
			So(tn.observe(now, 51, []int{0}, cells(1), false), ShouldBeEmpty)
			So(tn.observe(now+settleTime, 51, []int{0, 1}, cells(1), false), ShouldBeEmpty)
			So(tn.named, ShouldEqual, 51)
		})
	})
}

// A term that the group does not list ends ownerStoreTimeout after the last moment at which no
// newer claim was stored: a new owner waits no longer for executors that only the old one
// reaches.
func TestUnlistedTermEndsUnconfirmed(t *testing.T) {
	Convey("Given a term whose claim began at 10 s", t, func() {
		const at, limit = 10 * time.Second, ownerStoreTimeout
		var tm term
		tm.begin(7, at)
		So(tm.beginConfirmation(at+time.Hour), ShouldBeFalse)
		So(tm.isValid(at+time.Hour), ShouldBeTrue)
		tm.confirmWithGroup(at + time.Second)
		So(tm.leaveGroup(), ShouldBeTrue)
		So(tm.leaveGroup(), ShouldBeFalse)
		So(tm.beginConfirmation(at+time.Second+confirmInterval-1), ShouldBeFalse)
		So(tm.beginConfirmation(at+time.Second+confirmInterval), ShouldBeTrue)
		So(tm.beginConfirmation(at+time.Second+confirmInterval), ShouldBeFalse) // one read at a time

		Convey("it lasts ownerStoreTimeout from the last join that listed it", func() {
			So(tm.isValid(at+time.Second+limit-1), ShouldBeTrue)
			So(tm.isValid(at+time.Second+limit), ShouldBeFalse)
		})
		Convey("a read that returns its own claim extends it from the moment of the read", func() {
			tm.confirmWithLog(storedClaim{fence: 7}, at+3*time.Second)
			So(tm.isValid(at+3*time.Second+limit-1), ShouldBeTrue)
			So(tm.isValid(at+3*time.Second+limit), ShouldBeFalse)
		})
		Convey("a read that returns a newer claim does not", func() {
			tm.confirmWithLog(storedClaim{fence: 9}, at+3*time.Second)
			So(tm.isValid(at+time.Second+limit), ShouldBeFalse)
		})
	})
}

// TestCellThatCannotBeClaimedIsGivenUp guards against a VM that can join but not claim, and keeps
// the group from assigning its only cell to another one.
func TestCellThatCannotBeClaimedIsGivenUp(t *testing.T) {
	Convey("Given a member that has not claimed its only cell, which is then assigned to another VM", t, func() {
		m := newMember(New(config.VM{Name: "vm-1", Log: "127.0.0.1:1"}, logr.Discard()))
		stopped := make(chan struct{})
		close(stopped)
		o := &ownership{stop: func() {}, stopped: stopped}
		m.owned[0] = o
		elsewhere := provider.Assignment{Generation: 51}
		now := boottime.Now()
		m.tenure.observe(now, 50, []int{0}, map[int]bool{0: true}, false)
		m.applyAssignment(context.Background(), elsewhere, now)
		So(m.owned, ShouldContainKey, 0)
		So(m.tenure.named, ShouldEqual, 50)

		Convey("once the group has settled, it names the generation that took the cell away", func() {
			m.tenure.changedAt -= settleTime
			m.applyAssignment(context.Background(), elsewhere, now)
			So(m.owned, ShouldBeEmpty)
			So(m.tenure.named, ShouldEqual, 51)
		})
		Convey("it keeps a cell that it has claimed", func() {
			o.begin(7, now)
			m.tenure.changedAt -= settleTime
			m.applyAssignment(context.Background(), elsewhere, now)
			So(m.owned, ShouldContainKey, 0)
			So(m.tenure.named, ShouldEqual, 50)
		})
	})
}
