package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/load"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	waitBound = 10 * time.Second
	service   = fleet.Path("zavod/registry")
	domain    = fleet.Path("zavod/kontinent/zagreb-a")
)

// scheduler answers snapshot polls.
type scheduler struct{ reply relay.SnapshotReply }

// Snapshot answers at once where the caller holds nothing, else after its wait.
func (s *scheduler) Snapshot(a relay.SnapshotArgs, r *relay.SnapshotReply) error {
	if a.Revision == s.reply.Seen {
		time.Sleep(min(a.Wait, 50*time.Millisecond))
		r.VMsHash = a.VMsHash
		return nil
	}
	*r = s.reply
	return nil
}

func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer l.Close()
	return l.Addr().String()
}

func eventually(condition func() bool) bool {
	for end := time.Now().Add(waitBound); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func serveScheduler(ctx context.Context, addr, endpoint string) {
	policy := settings.DefaultPolicy()
	view := &settings.View{
		Revision: 3,
		Domains:  []settings.FailureDomain{{Path: domain, Region: domain.Parent()}},
		Services: []settings.Service{{Path: service, Routes: []settings.Route{
			{Prefix: load.NonIdempotentPath, Class: fleet.NonIdempotent}, {Prefix: load.WatchPath, Class: fleet.Watch},
		}}},
		Policies: map[fleet.Path]settings.Policy{"": policy},
	}
	vms := []platform.VM{
		{ID: "entry-1", Kind: platform.KindEntry, State: platform.VMLive},
		{ID: "e", Kind: platform.KindEndpoint, State: platform.VMLive, FailureDomain: domain, Service: service, Address: endpoint, Slots: 8, Connections: 64},
	}
	server := wire.NewServer()
	So(server.Register(relay.ServiceName, &scheduler{relay.SnapshotReply{View: view, VMs: vms, VMsHash: 1, Seen: 3}}), ShouldBeNil)
	l, err := net.Listen("tcp", addr)
	So(err, ShouldBeNil)
	go server.Serve(ctx, l)
}

func TestRun(t *testing.T) {
	Convey("Given an entry daemon whose scheduler is not there", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		callers, operators, control := freeAddr(), freeAddr(), freeAddr()
		file := filepath.Join(t.TempDir(), "node.yaml")
		node := fmt.Sprintf("name: entry-1\nfailure-domain: %s\ncallers: %s\nentry-operators: %s\ncontrol: %s\n"+
			"operators: 127.0.0.1:1\nlog: [127.0.0.1:1]\nvms: [127.0.0.1:1]\ndrain-milliseconds: 300\n", domain, callers, operators, control)
		So(os.WriteFile(file, []byte(node), 0o600), ShouldBeNil)
		ledger := load.NewLedger()
		endpoint, err := load.NewEndpoint(load.EndpointOptions{Slots: 8, Connections: 64, ServiceTime: 800 * time.Millisecond, Ledger: ledger})
		So(err, ShouldBeNil)
		ended := make(chan int, 1)
		var out, log bytes.Buffer
		go func() { ended <- Run(ctx, []string{"--config", file}, &out, &log) }()
		Reset(func() {
			cancel()
			endpoint.Stop()
		})
		ready := func() (int, string) { return get("http://" + operators + "/readyz") }

		Convey("it is not ready and says why, and is ready once the scheduler answers", func() {
			So(eventually(func() bool {
				status, body := ready()
				return status == 503 && strings.Contains(body, "no snapshot yet: snapshot from scheduler")
			}), ShouldBeTrue)
			serveScheduler(ctx, control, endpoint.Addr())
			So(eventually(func() bool { status, _ := ready(); return status == 200 }), ShouldBeTrue)

			Convey("and a drain cuts neither a request in flight nor a watch without notice", func() {
				watch, err := http.Get("http://" + callers + load.WatchPath)
				So(err, ShouldBeNil)
				defer watch.Body.Close()
				reader := bufio.NewReader(watch.Body)
				first, err := reader.ReadString('\n')
				So(err, ShouldBeNil)
				So(first, ShouldEqual, "tick 0\n")
				answered := make(chan load.Reply, 1)
				client := load.NewClient(5 * time.Second)
				request := load.Request{ID: "r", Class: fleet.NonIdempotent, Body: []byte("pipe")}
				go func() {
					reply, _ := client.Send(context.Background(), "http://"+callers, request)
					answered <- reply
				}()
				So(eventually(func() bool { return ledger.Runs("r") == 1 }), ShouldBeTrue)
				cancel()
				So(eventually(func() bool { status, _ := ready(); return status == 503 }), ShouldBeTrue)
				So(load.Check(request, <-answered, ledger.Runs("r")), ShouldEqual, load.Whole)
				_, err = io.ReadAll(reader)
				So(err, ShouldBeNil)
				So(watch.Trailer.Get("Retry-After"), ShouldEqual, "1")
				So(<-ended, ShouldEqual, exitOK)
				_, err = net.Dial("tcp", callers)
				So(err, ShouldNotBeNil)
			})
		})
	})
}

func TestBadFile(t *testing.T) {
	Convey("An unreadable file gives all findings and exit code 2", t, func() {
		file := filepath.Join(t.TempDir(), "node.yaml")
		So(os.WriteFile(file, []byte("name: a\ncallers: localhost:1\nwrong: 1\n"), 0o600), ShouldBeNil)
		var out, log bytes.Buffer
		So(Run(context.Background(), []string{"--config", file}, &out, &log), ShouldEqual, exitUsage)
		So(log.String(), ShouldContainSubstring, "not an IP number")
		So(log.String(), ShouldContainSubstring, "wrong")
	})
}
