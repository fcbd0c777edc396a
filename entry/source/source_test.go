package source

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/wire"
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

func view(revision platform.Offset) *settings.View {
	return &settings.View{
		Revision: revision,
		Domains:  []settings.FailureDomain{{Path: "zavod/kontinent/zagreb-a", Region: "zavod/kontinent", Out: true}},
		Services: []settings.Service{{Path: "zavod/registry", Routes: []settings.Route{{Prefix: "/", Class: fleet.Idempotent}}}},
		Teams:    []settings.Team{{Path: "zavod/releases", Quota: fleet.Resources{MilliCPU: 4000}, Weight: 1.5}},
		Policies: map[fleet.Path]settings.Policy{"": settings.DefaultPolicy()},
		Log:      settings.DefaultLogPolicy(),
		Nodes:    settings.DefaultNodePolicy(),
	}
}

// within waits until check holds.
func within(check func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if check() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func TestSourceOverLoopback(t *testing.T) {
	Convey("A source gets each newer view and list whole, never an older one, and acknowledges it", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		relayed := relay.NewServer(func() time.Duration { return time.Second })
		server := wire.NewServer()
		So(server.Register(relay.ServiceName, relayed.Service()), ShouldBeNil)
		client := wire.NewClient(l.Addr().String())
		var applied atomic.Pointer[Snapshot]
		s := &Source{
			Node:    "n1",
			Client:  client,
			Log:     logr.Discard(),
			Apply:   func(snapshot Snapshot) { applied.Store(&snapshot) },
			Failing: func(error) {},
		}
		var work sync.WaitGroup
		work.Go(func() { server.Serve(ctx, l) })
		work.Go(func() { s.Run(ctx) })
		Reset(func() {
			cancel()
			client.Close()
			work.Wait()
		})

		vms := []platform.VM{{ID: "w1", Kind: platform.KindWorker, Size: fleet.Resources{MilliCPU: 64000}}}
		So(relayed.SetVMs(platform.VMSnapshot{AsOf: time.Unix(9, 0), VMs: vms}), ShouldBeNil)
		relayed.SetView(view(7))
		So(within(func() bool { return applied.Load() != nil }), ShouldBeTrue)
		So(applied.Load(), ShouldResemble, &Snapshot{View: view(7), VMs: vms})
		relayed.SetView(view(6))
		relayed.SetView(view(9))
		So(within(func() bool { return applied.Load().View.Revision == 9 }), ShouldBeTrue)
		So(within(func() bool {
			acks := relayed.Acks()
			return len(acks) == 1 && acks[0].Node == "n1" && acks[0].Process == "entry" && acks[0].Revision == 9
		}), ShouldBeTrue)
	})
}
