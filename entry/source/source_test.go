package source

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/settings"
)

func TestMerge(t *testing.T) {
	Convey("Given a source that holds revision 5 and a list", t, func() {
		s := &Source{}
		list := []platform.VM{{ID: "a"}}
		So(s.revision(), ShouldEqual, noRevision)
		So(s.merge(relay.SnapshotReply{VMs: list, VMsHash: 1}), ShouldBeFalse)
		So(s.merge(relay.SnapshotReply{View: &settings.View{Revision: 5}, VMsHash: 1}), ShouldBeTrue)
		So(s.held.VMs, ShouldResemble, list)

		Convey("an older or equal revision is not taken", func() {
			So(s.merge(relay.SnapshotReply{View: &settings.View{Revision: 4}, VMsHash: 1}), ShouldBeFalse)
			So(s.merge(relay.SnapshotReply{View: &settings.View{Revision: 5}, VMsHash: 1}), ShouldBeFalse)
			So(s.revision(), ShouldEqual, 5)
		})
		Convey("a scheduler without a list leaves the held one in force", func() {
			So(s.merge(relay.SnapshotReply{}), ShouldBeFalse)
			So(s.held.VMs, ShouldResemble, list)
		})
		Convey("a newer list is taken, also an empty one", func() {
			So(s.merge(relay.SnapshotReply{VMsHash: 2}), ShouldBeTrue)
			So(s.held.VMs, ShouldBeEmpty)
		})
	})
}
