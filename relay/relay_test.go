package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

const patience = 10 * time.Second

// memoryLog is a log in memory without faults; reads don't wait.
type memoryLog struct {
	records []platform.Record
	down    bool
}

func (l *memoryLog) Append(context.Context, string, []platform.NewRecord) (platform.Offset, error) {
	return 0, platform.ErrUnavailable
}

func (l *memoryLog) Read(ctx context.Context, _ string, from platform.Offset, _ int, wait time.Duration) (platform.Batch, error) {
	if l.down {
		return platform.Batch{}, platform.ErrUnavailable
	}
	end := platform.Offset(len(l.records))
	if from >= end {
		<-ctx.Done()
		return platform.Batch{}, ctx.Err()
	}
	return platform.Batch{Records: l.records[from:], Next: end, End: end}, nil
}

// listMachine holds the records in order.
type listMachine struct{ ids []string }

func (m *listMachine) Apply(r platform.Record)   { m.ids = append(m.ids, r.ID+r.Time.UTC().String()) }
func (m *listMachine) Snapshot() ([]byte, error) { return cbor.Marshal(m.ids) }
func (m *listMachine) Restore(data []byte) error { return cbor.Unmarshal(data, &m.ids) }

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
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if check() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func TestRelay(t *testing.T) {
	Convey("Given a scheduler that relays over loopback", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		log := &memoryLog{}
		for i, id := range []string{"a", "b", "c"} {
			log.records = append(log.records, platform.Record{Offset: platform.Offset(i), ID: id, Time: time.Unix(5, 7)})
		}
		first := &listMachine{}
		replica := stream.NewReplica(log, "s", first, stream.ReplicaOptions{Tail: 2})
		relayed := NewServer(func() time.Duration { return time.Second }, replica)
		server := wire.NewServer()
		So(server.Register(ServiceName, relayed.Service()), ShouldBeNil)
		served, followed := make(chan error, 1), make(chan error, 1)
		go func() { served <- server.Serve(ctx, l) }()
		go func() { followed <- replica.Run(ctx) }()
		pool := wire.NewPool()
		Reset(func() {
			cancel()
			pool.Close()
			<-served
			<-followed
		})
		addr := l.Addr().String()

		Convey("a follower gets each newer view and list whole, never an older one, and acknowledges it", func() {
			f := NewFollower(pool.Client(addr), "n1", "entry")
			done := make(chan error, 1)
			go func() { done <- f.Run(ctx) }()
			Reset(func() {
				cancel()
				<-done
			})
			relayed.SetView(view(7))
			vms := []platform.VM{{ID: "w1", Kind: platform.KindWorker, Size: fleet.Resources{MilliCPU: 64000}}}
			So(relayed.SetVMs(platform.VMSnapshot{AsOf: time.Unix(9, 0), VMs: vms}), ShouldBeNil)
			So(within(func() bool { return f.View() != nil && f.VMs() != nil }), ShouldBeTrue)
			So(f.View(), ShouldResemble, view(7))
			So(f.VMs(), ShouldResemble, vms)
			relayed.SetView(view(6))
			relayed.SetView(view(9))
			So(within(func() bool { return f.View().Revision == 9 }), ShouldBeTrue)
			So(within(func() bool {
				acks := relayed.Acks()
				return len(acks) == 1 && acks[0].Node == "n1" && acks[0].Process == "entry" && acks[0].Revision == 9
			}), ShouldBeTrue)
			f.take(SnapshotReply{View: view(8), Seen: 8}, time.Now())
			So(f.View().Revision, ShouldEqual, 9)
			So(f.Age(time.Now()), ShouldBeBetween, time.Second, patience)
		})
		Convey("a peer that starts while the log is down gets a snapshot and then records, with their times", func() {
			So(within(func() bool { ok, _ := replica.Ready(); return ok }), ShouldBeTrue)
			second := &listMachine{}
			source := Peer(pool, addr)
			follower := stream.NewReplica(&memoryLog{down: true}, "s", second, stream.ReplicaOptions{
				Peer: func() stream.Source { return source },
			})
			done := make(chan error, 1)
			go func() { done <- follower.Run(ctx) }()
			Reset(func() {
				cancel()
				<-done
			})
			So(follower.WaitFor(ctx, 2), ShouldBeNil)
			follower.Read(func() { replica.Read(func() { So(second.ids, ShouldResemble, first.ids) }) })
			feed, err := source.Read(ctx, "s", 1, 10, 0)
			So(err, ShouldBeNil)
			So(feed.Batch.Records, ShouldHaveLength, 2)
			So(feed.Batch.Records[0].Time.Equal(time.Unix(5, 7)), ShouldBeTrue)
			_, err = source.Read(ctx, "other", 0, 10, 0)
			So(err, ShouldNotBeNil)
		})
		Convey("a lister takes the peer's list, sends it once, and asks the platform when the peer is silent", func() {
			direct := 0
			list := vmList(func() platform.VMSnapshot {
				direct++
				return platform.VMSnapshot{VMs: []platform.VM{{ID: "direct"}}}
			})
			reader := addr
			lister := NewLister(list, pool, func() string { return reader })
			got, err := lister.VMs(ctx)
			So(err, ShouldBeNil)
			So(got.VMs[0].ID, ShouldEqual, "direct") // the peer knows no list yet

			asOf := time.Now()
			So(relayed.SetVMs(platform.VMSnapshot{AsOf: asOf, VMs: []platform.VM{{ID: "x"}}}), ShouldBeNil)
			for range 2 {
				got, err = lister.VMs(ctx)
				So(err, ShouldBeNil)
				So(got.VMs[0].ID, ShouldEqual, "x")
				So(got.AsOf.Equal(asOf), ShouldBeTrue)
			}
			var reply ListReply
			So(pool.Client(addr).Call(ctx, ServiceName+".List", ListArgs{Hash: lister.hash}, &reply), ShouldBeNil)
			So(reply.VMs, ShouldBeNil)
			So(direct, ShouldEqual, 1)
			reader = "127.0.0.1:1"
			_, err = lister.VMs(ctx)
			So(err, ShouldBeNil)
			So(direct, ShouldEqual, 2)
		})
	})
}

type vmList func() platform.VMSnapshot

func (f vmList) VMs(context.Context) (platform.VMSnapshot, error) { return f(), nil }
