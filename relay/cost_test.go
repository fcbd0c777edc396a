package relay_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/platform/client"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/standin/logsvc"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	costNodes   = 70
	costDomains = 11
	changeBytes = 600
)

// countMachine keeps nothing.
type countMachine struct{}

func (countMachine) Apply(platform.Record)     {}
func (countMachine) Snapshot() ([]byte, error) { return nil, nil }
func (countMachine) Restore([]byte) error      { return nil }

func counters(part string) float64 {
	sum := 0.0
	for _, name := range metrics.ListMetricNames() {
		if strings.Contains(name, part) {
			sum += float64(metrics.GetOrCreateCounter(name).Get())
		}
	}
	return sum
}

// BenchmarkChange measures what one change of the settings costs until all 70
// nodes have it: with one reader of the log per failure domain, and with a
// reader in each scheduler and each entry (naive).
func BenchmarkChange(b *testing.B) {
	b.Run("relayed", func(b *testing.B) { benchmarkChange(b, false) })
	b.Run("naive", func(b *testing.B) { benchmarkChange(b, true) })
}

func benchmarkChange(b *testing.B, naive bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	service := httptest.NewServer(logsvc.NewServer(logsvc.NewStore(time.Hour), 400).Handler())
	defer service.Close()
	defer http.DefaultClient.CloseIdleConnections()
	addr := []string{service.Listener.Addr().String()}

	var replicas []*stream.Replica
	follow := func(peer func() stream.Source) *stream.Replica {
		r := stream.NewReplica(client.NewLog(addr), stream.SettingsStream, countMachine{}, stream.ReplicaOptions{Peer: peer})
		replicas = append(replicas, r)
		running.Go(func() { r.Run(ctx) })
		return r
	}
	if naive {
		for range 2 * costNodes {
			follow(nil)
		}
	} else {
		for range costDomains {
			first := follow(nil)
			for ok := false; !ok; ok, _ = first.Ready() {
				time.Sleep(time.Millisecond)
			}
			reader := serve(ctx, b, first)
			for range (costNodes - costDomains) / costDomains {
				pool := wire.NewPool()
				source := relay.Peer(pool, reader)
				follow(func() stream.Source { return source })
			}
		}
		for range (costNodes - costDomains) % costDomains {
			follow(nil)
		}
	}
	writer := stream.NewWriter(client.NewLog(addr), stream.WriterOptions{AppendsPerSecond: 1000})
	running.Go(func() { writer.Run(ctx) })
	change(ctx, b, writer, replicas) // connects all

	logBytes, peerBytes, appends := counters(`service="log"`), counters("peer_bytes"), counters("log_appends")
	for b.Loop() {
		change(ctx, b, writer, replicas)
	}
	n := float64(b.N)
	b.ReportMetric((counters(`service="log"`)-logBytes)/n, "log-B/change")
	b.ReportMetric((counters("peer_bytes")-peerBytes)/n/2, "peer-B/change") // both ends count
	b.ReportMetric((counters("log_appends")-appends)/n, "appends/change")
}

func serve(ctx context.Context, b *testing.B, r *stream.Replica) string {
	server := wire.NewServer()
	s := relay.NewServer(func() time.Duration { return 0 }, r)
	if err := server.Register(relay.ServiceName, s.Service()); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(ctx, l)
	return l.Addr().String()
}

func change(ctx context.Context, b *testing.B, w stream.Writer, replicas []*stream.Replica) {
	data := make([]byte, changeBytes)
	rand.Read(data)
	offset, err := w.Append(ctx, stream.SettingsStream, stream.Entry{ID: stream.NewID("n"), Data: data})
	if err != nil {
		b.Fatal(err)
	}
	for _, r := range replicas {
		if err := r.WaitFor(ctx, offset); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeap measures the memory of one more unit, member, stream and
// remembered id.
func BenchmarkHeap(b *testing.B) {
	const count = 10000
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	measure := func(name string, build func() any) {
		b.Run(name, func(b *testing.B) {
			before := heap()
			kept := build()
			after := heap()
			runtime.KeepAlive(kept)
			for b.Loop() {
			}
			b.ReportMetric(float64(after-before)/count, "B/item")
		})
	}
	at := time.Unix(1, 0)
	measure("unit", func() any {
		m := ownership.NewMachine()
		for i := range count {
			u := ownership.Unit{Kind: ownership.Rack, Path: fleet.Path(fmt.Sprintf("zavod/kontinent/zagreb-a/rack-%d", i))}
			data, _ := ownership.Record{Op: ownership.OpClaim, Unit: u, Node: "node-1", Supersedes: ownership.None}.Encode()
			m.Apply(platform.Record{Offset: platform.Offset(i), Time: at, Data: data})
		}
		return m
	})
	measure("member", func() any {
		t := membership.NewTable(membership.Update{ID: "self"}, membership.Options{}, at)
		list := platform.VMSnapshot{AsOf: at}
		for i := range count {
			id := fmt.Sprintf("node-%d", i)
			list.VMs = append(list.VMs, platform.VM{ID: id, Kind: platform.KindEntry, FailureDomain: "zavod/kontinent/zagreb-a", Control: id})
		}
		t.ApplyList(list, at)
		return t
	})
	measure("stream", func() any {
		var all []*stream.Replica
		for i := range count {
			all = append(all, stream.NewReplica(nil, fmt.Sprintf("jobs-%d", i), countMachine{}, stream.ReplicaOptions{}))
		}
		return all
	})
	measure("seen-id", func() any {
		var records []platform.Record
		for i := range count {
			records = append(records, platform.Record{Offset: platform.Offset(i), Time: at, ID: fmt.Sprintf("e%d", i)})
		}
		r := stream.NewReplica(fixedLog(records), "s", countMachine{}, stream.ReplicaOptions{Tail: 1, Batch: count})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go r.Run(ctx)
		r.WaitFor(ctx, count-1)
		return r
	})
}

type fixedLog []platform.Record

func (l fixedLog) Append(context.Context, string, []platform.NewRecord) (platform.Offset, error) {
	return 0, platform.ErrUnavailable
}

func (l fixedLog) Read(ctx context.Context, _ string, from platform.Offset, _ int, _ time.Duration) (platform.Batch, error) {
	end := platform.Offset(len(l))
	if from == end {
		<-ctx.Done()
		return platform.Batch{}, ctx.Err()
	}
	return platform.Batch{Records: l[from:], Next: end, End: end}, nil
}
