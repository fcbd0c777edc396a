package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/peridotlock/peridotlock/entry"
	"github.com/peridotlock/peridotlock/entry/source"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/load"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

const (
	region  = fleet.Path("zavod/kontinent")
	domainA = fleet.Path("zavod/kontinent/zagreb-a")
	domainB = fleet.Path("zavod/kontinent/osijek-a")
	service = fleet.Path("zavod/registry")
)

// bench is an entry in front of endpoints, on loopback.
type bench struct {
	entry     *entry.Entry
	server    *http.Server
	url       string
	ledger    *load.Ledger
	endpoints []*load.Endpoint
	view      *settings.View
	client    *http.Client
	tracer    trace.Tracer
}

type benchOptions struct {
	endpoints int
	deadline  time.Duration
	service   time.Duration
	fault     func(id string, run int) load.Fault
	policy    func(*settings.RequestPolicy)
	tracer    trace.Tracer
}

func newBench(o benchOptions) *bench {
	b := &bench{ledger: load.NewLedger(), tracer: o.tracer, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for range o.endpoints {
		e, err := load.NewEndpoint(load.EndpointOptions{
			Slots: 8, Connections: 64, ServiceTime: max(o.service, time.Millisecond), Ledger: b.ledger, Fault: o.fault,
		})
		So(err, ShouldBeNil)
		b.endpoints = append(b.endpoints, e)
	}
	b.start(max(o.deadline, time.Second), o.policy)
	return b
}

// start puts an entry in front of the endpoints.
func (b *bench) start(deadline time.Duration, adjust func(*settings.RequestPolicy)) {
	policy := settings.DefaultPolicy()
	policy.Requests.Deadline = deadline
	if adjust != nil {
		adjust(&policy.Requests)
	}
	b.view = &settings.View{
		Domains: []settings.FailureDomain{{Path: domainA, Region: region}, {Path: domainB, Region: region}},
		Services: []settings.Service{{Path: service, Routes: []settings.Route{
			{Prefix: "/lookups", Class: fleet.Idempotent},
			{Prefix: "/records", Class: fleet.NonIdempotent},
			{Prefix: load.WatchPath, Class: fleet.Watch},
		}}},
		Policies: map[fleet.Path]settings.Policy{"": policy},
	}
	if b.tracer == nil {
		b.tracer = noop.NewTracerProvider().Tracer("")
	}
	b.entry = entry.New(entry.Options{Name: "entry-1", FailureDomain: domainA, Log: logr.Discard(), Tracer: b.tracer})
	b.entry.Apply(source.Snapshot{View: b.view, VMs: b.vms()})
	b.listen()
}

func (b *bench) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b.url = "http://" + l.Addr().String()
	b.server = &http.Server{Handler: b.entry, ConnContext: entry.ConnContext}
	go b.server.Serve(entry.Listener(l))
}

func (b *bench) vms() []platform.VM {
	vms := []platform.VM{{ID: "entry-1", Kind: platform.KindEntry, State: platform.VMLive}}
	for i, e := range b.endpoints {
		domain := domainA
		if i%2 == 1 {
			domain = domainB
		}
		vms = append(vms, platform.VM{
			ID: fmt.Sprintf("endpoint-%d", i), Kind: platform.KindEndpoint, State: platform.VMLive,
			FailureDomain: domain, Service: service, Address: e.Addr(), Slots: 8, Connections: 64,
		})
	}
	return vms
}

func (b *bench) close() {
	b.client.CloseIdleConnections()
	b.server.Close()
	for _, e := range b.endpoints {
		e.Stop()
	}
}

// reply is what a caller sees of an answer.
type reply struct {
	status  int
	header  http.Header
	body    string
	outcome string
	err     error
}

func (b *bench) send(method, path, id, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(context.Background(), method, b.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(load.IDHeader, id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return b.do(req)
}

func (b *bench) do(req *http.Request) reply {
	resp, err := b.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var doc struct{ Outcome string }
		r.err = json.Unmarshal(data, &doc)
		r.outcome = doc.Outcome
	}
	return r
}

func TestPath(t *testing.T) {
	Convey("Given an entry with two endpoints", t, func() {
		b := newBench(benchOptions{endpoints: 2})
		Reset(b.close)

		Convey("a lookup and a record come back whole and ran once", func() {
			r := b.send("GET", "/lookups/7", "a", "")
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, 200)
			So(r.body, ShouldEqual, string(load.Body("a", nil, 0)))
			r = b.send("POST", "/records", "b", "one pipe", load.SizeHeader, "1000000")
			So(r.status, ShouldEqual, 200)
			So(r.body, ShouldEqual, string(load.Body("b", []byte("one pipe"), 1000000)))
			So(b.ledger.Runs("a"), ShouldEqual, 1)
			So(b.ledger.Runs("b"), ShouldEqual, 1)
		})
		Convey("a path without a route is refused and was not run", func() {
			r := b.send("GET", "/nowhere", "c", "")
			So(r.status, ShouldEqual, 404)
			So(r.outcome, ShouldEqual, "not-run")
		})
		Convey("a domain that is out gets nothing more, and without endpoints the refusal is true", func() {
			b.view.Domains[0].Out = true
			b.view.Domains[1].Out = true
			b.entry.Apply(source.Snapshot{View: b.view, VMs: b.vms()})
			r := b.send("POST", "/records", "d", "")
			So(r.status, ShouldEqual, 503)
			So(r.outcome, ShouldEqual, "not-run")
			So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(b.ledger.Runs("d"), ShouldEqual, 0)
		})
	})
}
