package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/platform"
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
