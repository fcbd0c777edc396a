package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/entry/source"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/load"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// waitBound bounds every wait for a condition.
const waitBound = 10 * time.Second

func eventually(condition func() bool) bool {
	for end := time.Now().Add(waitBound); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (r reply) verdict(class fleet.RequestClass, id, body string, runs int) load.Verdict {
	request := load.Request{ID: id, Class: class, Body: []byte(body)}
	return load.Check(request, load.Reply{Status: r.status, Outcome: r.outcome, Body: []byte(r.body), Err: r.err}, runs)
}

// firstRun makes the first run of every request suffer fault.
func firstRun(fault load.Fault) func(string, int) load.Fault {
	var seen sync.Map
	return func(id string, _ int) load.Fault {
		if _, again := seen.LoadOrStore(id, true); again {
			return load.FaultNone
		}
		return fault
	}
}

func TestEachFault(t *testing.T) {
	// What a caller of a record sees. A lookup is always answered whole.
	records := map[load.Fault]load.Verdict{
		load.FaultRefuse: load.Open, load.FaultDrop: load.Open, load.FaultCut: load.Open,
		load.FaultHeader: load.Open, load.FaultShort: load.Open, load.FaultLong: load.Open,
		load.FaultNoEnd: load.Open, load.FaultForever: load.Open, load.FaultLate: load.Open,
		load.FaultSilent: load.Open, load.FaultTwice: load.Open, load.FaultLeave: load.Passed,
		load.FaultError: load.Passed, load.FaultErrorRun: load.Passed,
	}
	for _, fault := range load.Faults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			Convey("Given endpoints whose first answer has the fault", t, func() {
				b := newBench(benchOptions{endpoints: 3, deadline: 1200 * time.Millisecond, fault: firstRun(fault)})
				Reset(b.close)
				lookup := b.send("GET", "/lookups/1", "l", "")
				So(lookup.verdict(fleet.Idempotent, "l", "", b.ledger.Runs("l")), ShouldEqual, load.Whole)
				record := b.send("POST", "/records", "r", "pipe")
				So(record.verdict(fleet.NonIdempotent, "r", "pipe", b.ledger.Runs("r")), ShouldEqual, records[fault])
				So(b.ledger.Runs("r"), ShouldBeLessThanOrEqualTo, 1)
			})
		})
	}
}

func TestCutStream(t *testing.T) {
	Convey("A large answer that is cut ends in an aborted connection", t, func() {
		b := newBench(benchOptions{endpoints: 1, fault: firstRun(load.FaultCut)})
		Reset(b.close)
		r := b.send("GET", "/lookups/1", "l", "", load.SizeHeader, "2000000")
		So(r.status, ShouldEqual, 200)
		So(r.err, ShouldNotBeNil)
	})
}

func TestSilentConnections(t *testing.T) {
	Convey("Given connections that all go silent after a good start", t, func() {
		b := newBench(benchOptions{endpoints: 2, deadline: 3 * time.Second})
		Reset(b.close)
		for i := range 40 {
			So(b.send("GET", "/lookups/1", fmt.Sprint("warm", i), "").status, ShouldEqual, 200)
		}
		for _, e := range b.endpoints {
			e.Silence()
		}
		Convey("lookups are answered in a small part of their deadline and the endpoints stay in use", func() {
			start := time.Now()
			for i := range 6 {
				So(b.send("GET", "/lookups/1", fmt.Sprint("l", i), "").status, ShouldEqual, 200)
			}
			So(time.Since(start), ShouldBeLessThan, 2*time.Second)
			So(b.entry.Metrics().Ejections.Get(), ShouldEqual, 0)
			So(eventually(func() bool { return b.entry.Metrics().Renewals.Get() > 0 }), ShouldBeTrue)
		})
		Convey("a record on a silent connection is unknown, the next one on a renewed pool runs", func() {
			r := b.send("POST", "/records", "r0", "pipe")
			So(r.outcome, ShouldEqual, "unknown")
			So(b.ledger.Runs("r0"), ShouldEqual, 0)
		})
	})
}

func TestLeaving(t *testing.T) {
	Convey("Given two endpoints of which one leaves", t, func() {
		b := newBench(benchOptions{endpoints: 2})
		Reset(b.close)
		served := func(from int) int {
			for i := range 20 {
				So(b.send("GET", "/lookups/1", fmt.Sprint(from+i), "").status, ShouldEqual, 200)
			}
			return b.endpoints[0].Served()
		}
		Convey("by the list, it gets no new work", func() {
			vms := b.vms()
			vms[1].State = platform.VMLeaving
			b.entry.Apply(source.Snapshot{View: b.view, VMs: vms})
			So(served(0), ShouldEqual, 0)
		})
		Convey("by the settings, it gets no new work", func() {
			view := *b.view
			view.Domains = []settings.FailureDomain{{Path: domainA, Region: region, Out: true}, b.view.Domains[1]}
			b.entry.Apply(source.Snapshot{View: &view, VMs: b.vms()})
			So(served(0), ShouldEqual, 0)
		})
		Convey("by its own answer, it gets no more work after the first refusal", func() {
			b.endpoints[0].Leave(true)
			served(0)
			asked := b.endpoints[0].Asked()
			So(asked, ShouldBeLessThanOrEqualTo, 1)
			served(100)
			So(b.endpoints[0].Asked(), ShouldEqual, asked)
		})
	})
}

func TestKilledEndpoint(t *testing.T) {
	Convey("An endpoint that is gone costs no answer and is used again after its return", t, func() {
		b := newBench(benchOptions{endpoints: 2, deadline: 5 * time.Second})
		Reset(b.close)
		b.endpoints[0].Stop()
		for i := range 30 {
			So(b.send("POST", "/records", fmt.Sprint("r", i), "pipe").status, ShouldEqual, 200)
			So(b.ledger.Runs(fmt.Sprint("r", i)), ShouldEqual, 1)
		}
		So(b.endpoints[0].Start(), ShouldBeNil)
		before := b.endpoints[0].Served()
		n := 0
		So(eventually(func() bool {
			n++
			b.send("GET", "/lookups/1", fmt.Sprint("l", n), "")
			return b.endpoints[0].Served() > before
		}), ShouldBeTrue)
	})
}

// raw sends bytes on a new connection and returns the first answer.
func (b *bench) raw(request string) reply {
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	So(err, ShouldBeNil)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitBound))
	fmt.Fprint(conn, request)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func TestRefusedForms(t *testing.T) {
	const lengths = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
	forms := map[string]string{
		"both lengths":            "POST /records HTTP/1.1\r\nHost: a\r\n" + lengths + "\r\n0\r\n\r\n",
		"both, hidden by a body":  "POST /records HTTP/1.1\r\nHost: a\r\n" + lengths + "\r\n20\r\nPOST /records HTTP/1.1\r\nHost: a\r\n\r\n",
		"two lengths":             "POST /records HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"signed length":           "POST /records HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd",
		"unknown encoding":        "POST /records HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
		"bad chunk":               "POST /records HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"dot segments":            "GET /lookups/../records HTTP/1.1\r\nHost: a\r\n\r\n",
		"encoded dot segments":    "GET /lookups/%2e%2e/records HTTP/1.1\r\nHost: a\r\n\r\n",
		"large header":            "GET /lookups HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 70<<10) + "\r\n\r\n",
		"large body":              "POST /records HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
		"old protocol":            "GET /lookups HTTP/1.0\r\n\r\n",
		"deadline not understood": "GET /lookups HTTP/1.1\r\nHost: a\r\nPeridotlock-Deadline-Ms: soon\r\n\r\n",
	}
	Convey("Given an entry", t, func() {
		b := newBench(benchOptions{endpoints: 1})
		Reset(b.close)
		for name, form := range forms {
			Convey(name+" is refused and reaches no endpoint", func() {
				r := b.raw(form)
				So(r.err, ShouldBeNil)
				So(r.status, ShouldBeGreaterThanOrEqualTo, 400)
				So(b.endpoints[0].Asked(), ShouldEqual, 0)
			})
		}
		Convey("a plain chunked request is served, again on the same connection", func() {
			req, err := http.NewRequest("POST", b.url+"/records", io.MultiReader(strings.NewReader("pipe")))
			So(err, ShouldBeNil)
			req.Header.Set(load.IDHeader, "x")
			So(b.do(req).body, ShouldEqual, string(load.Body("x", []byte("pipe"), 0)))
			So(b.send("POST", "/records", "y", "").status, ShouldEqual, 200)
		})
	})
}
