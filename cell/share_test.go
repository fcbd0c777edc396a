package cell

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/quota"
)

func TestShareRecords(t *testing.T) {
	Convey("Given a replica of three cells", t, func() {
		r := NewReplica()
		apply := func(record provider.KeyedRecord, err error) error {
			So(err, ShouldBeNil)
			return r.Apply(record, time.Second)
		}
		So(apply(LayoutRecord(Layout{Cells: 3})), ShouldBeNil)

		Convey("transfers only grow, and an earlier record in place of the newest is noticed", func() {
			So(apply(SharesRecord(0, quota.Given{"t": {1: 5}})), ShouldBeNil)
			So(apply(SharesRecord(0, quota.Given{"t": {1: 9, 2: 1}})), ShouldBeNil)
			So(r.Shares().Given[0], ShouldResemble, quota.Given{"t": {1: 9, 2: 1}})
			So(r.Shares().Replaced[0], ShouldBeFalse)
			version := r.SharesVersion()
			So(apply(SharesRecord(0, quota.Given{"t": {1: 5}})), ShouldBeNil)
			So(r.Shares().Given[0], ShouldResemble, quota.Given{"t": {1: 9, 2: 1}})
			So(r.Shares().Replaced[0], ShouldBeTrue)
			So(r.SharesVersion(), ShouldNotEqual, version)
		})
		Convey("a record that can't be read is told apart from one that follows known transfers", func() {
			odd := provider.KeyedRecord{Key: "shares/1", Value: []byte("?")}
			So(r.Apply(odd, time.Second), ShouldNotBeNil)
			So(r.Shares().Unreadable[1], ShouldBeTrue)
			So(apply(SharesRecord(1, quota.Given{"t": {0: 7}})), ShouldBeNil)
			So(r.Shares().Unreadable[1], ShouldBeFalse)
			So(r.Apply(odd, time.Second), ShouldNotBeNil)
			So(r.Shares().Unreadable[1], ShouldBeFalse)
			So(r.Shares().Replaced[1], ShouldBeTrue)
			So(r.Shares().Given[1], ShouldResemble, quota.Given{"t": {0: 7}})
		})
		Convey("transfers to oneself, to unknown cells and of negative amounts are refused", func() {
			for _, to := range []map[int]int64{{2: 1}, {-1: 1}, {maxCells: 1}, {0: -1}, {0: 1 << 60}} {
				So(apply(SharesRecord(2, quota.Given{"t": to})), ShouldNotBeNil)
			}
		})
		Convey("the use of a cell counts while its owner publishes loads", func() {
			demands := map[string]quota.Demand{"t": {Used: 1, Next: 2, Need: 3}}
			So(apply(UseRecord(2, demands)), ShouldBeNil)
			So(apply(LoadRecord(2, Load{})), ShouldBeNil)
			So(r.Uses(2 * time.Second)[2], ShouldResemble, CellUse{Demands: demands, Reachable: true})
			So(r.Uses(2*time.Second + maxLoadAge)[2].Reachable, ShouldBeFalse)
			So(apply(UseRecord(2, map[string]quota.Demand{"t": {Used: 5, Next: 2, Need: 3}})), ShouldNotBeNil)
		})
		Convey("the record of transfers is bounded", func() {
			g := quota.Given{}
			for i := range 8000 {
				g[fmt.Sprint("tenant-", i)] = map[int]int64{1: 1 << 40}
			}
			_, err := SharesRecord(0, g)
			So(errors.Is(err, ErrTooManyTransfers), ShouldBeTrue)
		})
	})
}
