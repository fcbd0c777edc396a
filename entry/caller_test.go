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

	"github.com/peridotlock/peridotlock/entry"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/load"
	"github.com/peridotlock/peridotlock/settings"
)

func (b *testbed) dial() net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	So(err, ShouldBeNil)
	conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

func TestCallers(t *testing.T) {
	Convey("Given an entry whose endpoint has one slot", t, func() {
		b := newTestbed(testbedOptions{endpoints: 1, deadline: 5 * time.Second, service: 100 * time.Millisecond, policy: func(p *settings.RequestPolicy) {
			p.WatchLimit = 1
		}})
		Reset(b.close)

		Convey("a request whose caller disconnects while sending the body is not run", func() {
			conn := b.dial()
			fmt.Fprintf(conn, "POST /records HTTP/1.1\r\nHost: a\r\n%s: r\r\nContent-Length: 100\r\n\r\nhalf", load.IDHeader)
			conn.Close()
			So(b.send("POST", "/records", "s", "").status, ShouldEqual, 200)
			So(b.ledger.Runs("r"), ShouldEqual, 0)
			So(b.endpoints[0].Received(), ShouldEqual, 1)
		})
		Convey("a non-idempotent request whose caller disconnects runs once to completion, and its response reaches no other caller", func() {
			conn := b.dial()
			fmt.Fprintf(conn, "POST /records HTTP/1.1\r\nHost: a\r\n%s: r\r\nContent-Length: 4\r\n\r\npipe", load.IDHeader)
			So(eventually(func() bool { return b.ledger.Runs("r") == 1 }), ShouldBeTrue)
			conn.Close()
			for i := range 5 {
				id := fmt.Sprint("s", i)
				So(b.send("POST", "/records", id, "x").body, ShouldEqual, string(load.Body(id, []byte("x"), 0)))
			}
			So(b.ledger.Runs("r"), ShouldEqual, 1)
		})
		Convey("a slow request body is read without holding a slot", func() {
			conn := b.dial()
			defer conn.Close()
			fmt.Fprintf(conn, "POST /records HTTP/1.1\r\nHost: a\r\n%s: r\r\nContent-Length: 4\r\n\r\npi", load.IDHeader)
			So(b.send("POST", "/records", "s", "").status, ShouldEqual, 200)
			fmt.Fprint(conn, "pe")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, string(load.Body("r", []byte("pipe"), 0)))
		})
		Convey("a request whose body misses the deadline is refused with outcome not-run", func() {
			conn := b.dial()
			defer conn.Close()
			fmt.Fprintf(conn, "POST /records HTTP/1.1\r\nHost: a\r\n%s: r\r\n%s: 100\r\nContent-Length: 4\r\n\r\npi", load.IDHeader, entry.DeadlineHeader)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(resp.Header.Get("Peridotlock-Outcome"), ShouldEqual, "not-run")
			So(b.ledger.Runs("r"), ShouldEqual, 0)
		})
		Convey("a slow reader of a large response does not delay other callers", func() {
			conn := b.dial()
			defer conn.Close()
			fmt.Fprintf(conn, "GET /lookups HTTP/1.1\r\nHost: a\r\n%s: big\r\n%s: 30000000\r\n\r\n", load.IDHeader, load.SizeHeader)
			So(eventually(func() bool { return b.ledger.Runs("big") == 1 }), ShouldBeTrue)
			So(b.send("GET", "/lookups", "s", "").status, ShouldEqual, 200)
		})
		Convey("a watch beyond the limit is refused with Retry-After", func() {
			first, err := b.client.Get(b.url + load.WatchPath)
			So(err, ShouldBeNil)
			defer first.Body.Close()
			line, err := bufio.NewReader(first.Body).ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "tick 0\n")
			second := b.send("GET", load.WatchPath, "w", "")
			So(second.outcome, ShouldEqual, "not-run")
			So(second.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("a watch whose endpoint stops ends in a read error", func() {
			watch, err := b.client.Get(b.url + load.WatchPath)
			So(err, ShouldBeNil)
			defer watch.Body.Close()
			b.endpoints[0].Stop()
			_, err = io.ReadAll(watch.Body)
			So(err, ShouldNotBeNil)
		})
		Convey("under overload some requests are refused with Retry-After, and every reported outcome is correct", func() {
			var pending sync.WaitGroup
			replies := make([]reply, 200)
			took := make([]time.Duration, len(replies))
			for i := range replies {
				pending.Go(func() {
					start := time.Now()
					replies[i] = b.send("POST", "/records", fmt.Sprint("r", i), "x", entry.DeadlineHeader, "1000")
					took[i] = time.Since(start)
				})
			}
			pending.Wait()
			refused := 0
			for i, r := range replies {
				id := fmt.Sprint("r", i)
				So(r.verdict(fleet.NonIdempotent, id, "x", b.ledger.Runs(id)).IsViolation(), ShouldBeFalse)
				if r.outcome == "not-run" {
					refused++
					So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
				}
			}
			So(refused, ShouldBeGreaterThan, 0)
			So(refused, ShouldBeLessThan, len(replies))
		})
	})
}

func TestForwardedHeaders(t *testing.T) {
	Convey("Hop-by-hop headers are removed, others are forwarded, and the deadline is reduced", t, func() {
		b := newTestbed(testbedOptions{endpoints: 1})
		Reset(b.close)
		r := b.send("GET", load.EchoPath, "e", "", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers", "X-End", "2",
			"Idempotency-Key", "k", entry.DeadlineHeader, "700", "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
		So(r.status, ShouldEqual, 200)
		seen, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+r.body+"\r\n")), nil)
		So(err, ShouldBeNil)
		So(seen.Header.Get("X-Hop"), ShouldBeEmpty)
		So(seen.Header.Get("Te"), ShouldBeEmpty)
		So(seen.Header.Get("X-End"), ShouldEqual, "2")
		So(seen.Header.Get("Idempotency-Key"), ShouldEqual, "k")
		So(seen.Header.Get("Traceparent"), ShouldStartWith, "00-0af7651916cd43dd8448eb211c80319c-")
		left := seen.Header.Get(entry.DeadlineHeader)
		So(len(left), ShouldEqual, 3)
		So(left, ShouldBeLessThan, "700")
		So(r.header.Get(entry.AttemptHeader), ShouldBeEmpty)
	})
}
