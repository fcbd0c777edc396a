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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/daemon"
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

// Ports outside the range that the kernel gives to outgoing connections, and
// of a part that differs by process.
const (
	firstPort    = 12000
	portsEach    = 100
	portProcess  = 180
	portAttempts = 100
)

var portsGiven atomic.Int32

func freeAddr() string {
	for range portAttempts {
		port := firstPort + os.Getpid()%portProcess*portsEach + int(portsGiven.Add(1))%portsEach
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic("no free port")
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

// daemonBench is a running daemon in front of one endpoint.
type daemonBench struct {
	ctx                         context.Context
	cancel                      func()
	callers, operators, control string
	ledger                      *load.Ledger
	endpoint                    *load.Endpoint
	ended                       chan int
}

func newDaemonBench(t *testing.T, serviceTime time.Duration) *daemonBench {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemonBench{
		ctx: ctx, cancel: cancel, callers: freeAddr(), operators: freeAddr(), control: freeAddr(),
		ledger: load.NewLedger(), ended: make(chan int, 1),
	}
	file := filepath.Join(t.TempDir(), "node.yaml")
	node := fmt.Sprintf("name: entry-1\nfailure-domain: %s\ncallers: %s\nentry-operators: %s\ncontrol: %s\n"+
		"operators: 127.0.0.1:1\nlog: [127.0.0.1:1]\nvms: [127.0.0.1:1]\ndrain-milliseconds: 300\n", domain, d.callers, d.operators, d.control)
	So(os.WriteFile(file, []byte(node), 0o600), ShouldBeNil)
	var err error
	d.endpoint, err = load.NewEndpoint(load.EndpointOptions{Slots: 8, Connections: 64, ServiceTime: serviceTime, Ledger: d.ledger})
	So(err, ShouldBeNil)
	go func() { d.ended <- Run(ctx, []string{"--config", file}, io.Discard, io.Discard) }()
	return d
}

func (d *daemonBench) stop() {
	d.cancel()
	d.endpoint.Stop()
}

func (d *daemonBench) ready() (int, string) { return get("http://" + d.operators + "/readyz") }

func (d *daemonBench) scheduler() { serveScheduler(d.ctx, d.control, d.endpoint.Addr()) }

func TestRun(t *testing.T) {
	Convey("Given an entry daemon whose scheduler is not there", t, func() {
		d := newDaemonBench(t, 800*time.Millisecond)
		Reset(d.stop)

		Convey("it is not ready and says why, and is ready once the scheduler answers", func() {
			So(eventually(func() bool {
				status, body := d.ready()
				return status == 503 && strings.Contains(body, "no snapshot yet: snapshot from scheduler")
			}), ShouldBeTrue)
			d.scheduler()
			So(eventually(func() bool { status, _ := d.ready(); return status == 200 }), ShouldBeTrue)

			Convey("and a drain cuts neither a request in flight nor a watch without notice", func() {
				watch, err := http.Get("http://" + d.callers + load.WatchPath)
				So(err, ShouldBeNil)
				defer watch.Body.Close()
				reader := bufio.NewReader(watch.Body)
				first, err := reader.ReadString('\n')
				So(err, ShouldBeNil)
				So(first, ShouldEqual, "tick 0\n")
				answered := make(chan load.Reply, 1)
				request := load.Request{ID: "r", Class: fleet.NonIdempotent, Body: []byte("pipe")}
				go func() {
					reply, _ := load.NewClient(5*time.Second).Send(context.Background(), "http://"+d.callers, request)
					answered <- reply
				}()
				So(eventually(func() bool { return d.ledger.Runs("r") == 1 }), ShouldBeTrue)
				d.cancel()
				So(eventually(func() bool { status, _ := d.ready(); return status == 503 }), ShouldBeTrue)
				So(load.Check(request, <-answered, d.ledger.Runs("r")), ShouldEqual, load.Whole)
				_, err = io.ReadAll(reader)
				So(err, ShouldBeNil)
				So(watch.Trailer.Get("Retry-After"), ShouldEqual, "1")
				So(<-d.ended, ShouldEqual, daemon.ExitOK)
				_, err = net.Dial("tcp", d.callers)
				So(err, ShouldNotBeNil)
			})
		})
	})
}

func TestDrainUnderLoad(t *testing.T) {
	Convey("Given a ready daemon with many callers", t, func() {
		d := newDaemonBench(t, 20*time.Millisecond)
		Reset(d.stop)
		d.scheduler()
		So(eventually(func() bool { status, _ := d.ready(); return status == 200 }), ShouldBeTrue)
		Convey("a drain cuts none of the requests that are sent until it is seen as not ready", func() {
			client := load.NewClient(5 * time.Second)
			var draining atomic.Bool
			var pending sync.WaitGroup
			verdicts := make(chan load.Verdict, 1<<16)
			for worker := range 20 {
				pending.Go(func() {
					for i := 0; !draining.Load(); i++ {
						r := load.Request{ID: fmt.Sprint(worker, "-", i), Class: fleet.NonIdempotent, Body: []byte("pipe")}
						reply, _ := client.Send(context.Background(), "http://"+d.callers, r)
						verdicts <- load.Check(r, reply, d.ledger.Runs(r.ID))
					}
				})
			}
			So(eventually(func() bool { return len(verdicts) > 100 }), ShouldBeTrue)
			d.cancel()
			So(eventually(func() bool { status, _ := d.ready(); return status == 503 }), ShouldBeTrue)
			draining.Store(true)
			pending.Wait()
			close(verdicts)
			for v := range verdicts {
				So(v, ShouldEqual, load.Whole)
			}
			So(<-d.ended, ShouldEqual, daemon.ExitOK)
		})
	})
}

func TestBadFile(t *testing.T) {
	Convey("An unreadable file gives all findings and exit code 2", t, func() {
		file := filepath.Join(t.TempDir(), "node.yaml")
		So(os.WriteFile(file, []byte("name: a\ncallers: localhost:1\nwrong: 1\n"), 0o600), ShouldBeNil)
		var out, log bytes.Buffer
		So(Run(context.Background(), []string{"--config", file}, &out, &log), ShouldEqual, daemon.ExitUsage)
		So(log.String(), ShouldContainSubstring, "not an IP number")
		So(log.String(), ShouldContainSubstring, "wrong")
	})
}
