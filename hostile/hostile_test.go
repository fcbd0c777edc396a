package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/load"
	"github.com/peridotlock/peridotlock/platform/standin"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/wire"
)

// answerTimeout is not a bound on the speed of an answer: a process that gives none in it hangs.
const (
	answerTimeout  = 90 * time.Second
	requestTimeout = 5 * time.Second
	runTime        = 100 * time.Millisecond
)

const configDocument = `{"version":1,"routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":400,"backend":"s","attempts":3,"stretch":1.5}],` +
	`"services":[{"name":"s","rejectsOverload":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const vmSettings = `name: vm-0
failure-domain: d
region: r
callers: "%s"
readiness: "%s"
operators: "%s"
metrics: "%s"
peers: "%s"
log: "%s"
partitions: 2
memory-mb: %d
max-fds: %d
bounds: {config-ms: 2500, max-lease-ms: 6000, grace-s: 4}
`

// vm is a VM with one executor.
type vm struct {
	*process
	callers, readiness, operators, metrics, peers string
}

func startVM(t *testing.T) *vm {
	store := standin.NewStore(2)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("op", "config", configDocument)
	executor := standin.NewExecutor("i-0", runTime)
	executors := httptest.NewServer(executor)
	t.Cleanup(executors.Close)
	store.Put("servers", "i-0", executor.RegistryEntry("s", strings.TrimPrefix(executors.URL, "http://"), "d"))
	v := &vm{callers: freeAddress(t), readiness: freeAddress(t), operators: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t)}
	text := fmt.Sprintf(vmSettings, v.callers, v.readiness, v.operators, v.metrics, v.peers, strings.TrimPrefix(server.URL, "http://"), machineMB, machineFDs)
	v.process = start(t, "peridotlock", text, v.callers, v.readiness, v.operators, v.metrics, v.peers)
	v.serves("before the crowd", 0)
	return v
}

// answered sends a request on a new connection until it has the wanted status, as a caller
// does that is refused or gets no response.
func (p *process) answered(what, method, url, host, body string, want int) {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	last := "no attempt"
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		select {
		case <-p.exited:
			return // check reports it
		default:
		}
		request, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			p.t.Fatal(err)
		}
		request.Host = host
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == want {
			return
		}
		last = response.Status
	}
	p.t.Errorf("%s: %s %s is not answered with %d: %s", what, method, url, want, last)
}

// serves checks that an ordinary submission is accepted and its state known, and that the
// VM reports itself as ready.
func (v *vm) serves(when string, n int) {
	v.t.Helper()
	url := "http://" + v.callers + "/q/" + fmt.Sprintf("%016x", 0xffff0000+n)
	v.answered(when, "POST", url, "h.example", `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":100}]}`, http.StatusOK)
	v.answered(when, "GET", url, "h.example", "", http.StatusOK)
	v.answered(when, "GET", "http://"+v.readiness+"/api/ready", "", "", http.StatusOK)
	v.answered(when, "GET", "http://"+v.operators+"/metrics", "", "", http.StatusOK)
	v.answered(when, "GET", "http://"+v.metrics+"/metrics", "", "", http.StatusOK)
}

// endure lets a crowd loose on an address of a new VM.
func endure(t *testing.T, address func(*vm) string, c client) {
	v := startVM(t)
	w := connect(address(v), c)
	v.serves("while the crowd is connected", 1)
	w.disperse()
	v.serves("after the crowd", 2)
	v.check()
}

func callers(v *vm) string { return v.callers }

func TestManyHeaderLines(t *testing.T)      { endure(t, callers, manyHeaderLines) }
func TestManyHeaderLinesWhole(t *testing.T) { endure(t, callers, manyHeaderLinesWhole) }
func TestHeaderWithoutEnd(t *testing.T)     { endure(t, callers, headerWithoutEnd) }
func TestEmptyLinesWithoutEnd(t *testing.T) { endure(t, callers, emptyLinesWithoutEnd) }
func TestLargeBodies(t *testing.T)          { endure(t, callers, largeBodies) }
func TestUnfinishedBodies(t *testing.T)     { endure(t, callers, unfinishedBodies) }
func TestExpandingBodies(t *testing.T)      { endure(t, callers, expandingBodies) }
func TestLargeSubmissions(t *testing.T)     { endure(t, callers, largeSubmissions) }
func TestManyTasks(t *testing.T)            { endure(t, callers, manyTasks) }
func TestSilentConnections(t *testing.T)    { endure(t, callers, silent) }

// The other listeners serve the platform and operators, and are reached by the same network.
func TestOtherListeners(t *testing.T) {
	for _, l := range []struct {
		name    string
		address func(*vm) string
	}{
		{"readiness", func(v *vm) string { return v.readiness }},
		{"operators", func(v *vm) string { return v.operators }},
		{"metrics", func(v *vm) string { return v.metrics }},
	} {
		t.Run(l.name+"/headers", func(t *testing.T) { endure(t, l.address, headerWithoutEnd) })
		t.Run(l.name+"/lines", func(t *testing.T) { endure(t, l.address, manyHeaderLines) })
		t.Run(l.name+"/bodies", func(t *testing.T) { endure(t, l.address, unfinishedBodies) })
	}
	peers := func(v *vm) string { return v.peers }
	t.Run("peers/messages", func(t *testing.T) { endure(t, peers, endlessMessage) })
	t.Run("peers/silent", func(t *testing.T) { endure(t, peers, silent) })
}

const entrySettings = `name: entry-1
failure-domain: d
callers: %s
entry-operators: %s
control: %s
operators: 127.0.0.1:1
log: [127.0.0.1:1]
vms: [127.0.0.1:1]
memory-mb: %d
max-fds: %d
`

// stubScheduler serves one snapshot.
type stubScheduler struct{ reply relay.SnapshotReply }

// Snapshot answers at once if the caller holds another revision.
func (s *stubScheduler) Snapshot(a relay.SnapshotArgs, r *relay.SnapshotReply) error {
	if a.Revision == s.reply.SenderRevision {
		time.Sleep(min(a.Wait, 50*time.Millisecond))
		r.VMsHash = a.VMsHash
		return nil
	}
	*r = s.reply
	return nil
}

// serveScheduler serves a snapshot with one service and one endpoint, and returns its address.
func serveScheduler(t *testing.T) string {
	const (
		service = fleet.Path("s")
		domain  = fleet.Path("d")
	)
	endpoint, err := load.NewEndpoint(load.EndpointOptions{Slots: 8, Connections: 64, Ledger: load.NewLedger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Stop)
	view := &settings.View{
		Revision: 3,
		Domains:  []settings.FailureDomain{{Path: domain}},
		Services: []settings.Service{{Path: service, Routes: []settings.Route{{Prefix: "/", Class: fleet.Idempotent}}}},
		Policies: map[fleet.Path]settings.Policy{"": settings.DefaultPolicy()},
	}
	vms := []provider.VM{
		{ID: "entry-1", Kind: provider.KindEntry, State: provider.VMLive},
		{ID: "e", Kind: provider.KindEndpoint, State: provider.VMLive, FailureDomain: domain, Service: service, Address: endpoint.Addr(), Slots: 8, Connections: 64},
	}
	server := wire.NewServer()
	if err := server.Register(relay.ServiceName, &stubScheduler{relay.SnapshotReply{View: view, VMs: vms, VMsHash: 1, SenderRevision: 3}}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go server.Serve(ctx, l)
	return l.Addr().String()
}

func TestEntry(t *testing.T) {
	for _, c := range []struct {
		name   string
		client client
	}{
		{"header lines", manyHeaderLines}, {"headers", headerWithoutEnd}, {"empty lines", emptyLinesWithoutEnd},
		{"bodies", largeBodies}, {"unfinished bodies", unfinishedBodies}, {"silent", silent},
	} {
		for _, listener := range []string{"callers", "operators"} {
			t.Run(listener+"/"+c.name, func(t *testing.T) {
				addresses := map[string]string{"callers": freeAddress(t), "operators": freeAddress(t)}
				text := fmt.Sprintf(entrySettings, addresses["callers"], addresses["operators"], serveScheduler(t), machineMB, machineFDs)
				p := start(t, "peridotlock-entry", text, addresses["callers"], addresses["operators"])
				serves := func(when string) {
					p.answered(when, "GET", "http://"+addresses["callers"]+"/x", "h.example", "", http.StatusOK)
					p.answered(when, "GET", "http://"+addresses["operators"]+"/readyz", "", "", http.StatusOK)
				}
				serves("before the crowd")
				w := connect(addresses[listener], c.client)
				serves("while the crowd is connected")
				w.disperse()
				serves("after the crowd")
				p.check()
			})
		}
	}
}
