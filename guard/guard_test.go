package guard

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/faultnet"
)

// serve serves a handler that returns the length of the body, and returns its guard and address.
func serve(t *testing.T, o Options) (*Guard, string) {
	o.Name, o.Log, o.Metrics = "test", logr.Discard(), metrics.NewSet()
	if o.Limits.Bytes == 0 {
		o.Limits = Machine{}.Callers()
	}
	g := New(o)
	l, err := g.Listen("127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, len(text))
	})}
	g.Configure(s)
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return g, l.Addr().String()
}

// exchange sends a text on a connection and returns the status of each response until the
// connection ends or n responses have come.
func exchange(address, text string, n int) (statuses []int) {
	c, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	defer c.Close()
	go io.WriteString(c, text)
	r := bufio.NewReader(c)
	for len(statuses) < n {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

func TestRequests(t *testing.T) {
	Convey("Given a server with the limits of the smallest machine", t, func() {
		g, address := serve(t, Options{HeaderBytes: func() int { return 16384 }, BodyBytes: func() int { return 1 << 18 }})
		const start = "POST / HTTP/1.1\r\nHost: h\r\n"

		Convey("the largest legal requests are served, also several on a connection and of very many lines", func() {
			body := strings.Repeat("x", 1<<18)
			lines := strings.Repeat("a:\r\n", 16200/4)
			request := start + lines + "Content-Length: 262144\r\n\r\n" + body
			So(exchange(address, strings.Repeat(request, 3), 3), ShouldResemble, []int{200, 200, 200})
			chunked := start + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" + body + "\r\n0\r\n\r\n"
			So(exchange(address, chunked+request, 2), ShouldResemble, []int{200, 200})
		})
		Convey("larger ones are refused", func() {
			So(exchange(address, start+"X: "+strings.Repeat("a", 30_000), 1), ShouldResemble, []int{431})
			So(exchange(address, start+"Content-Length: 262145\r\n\r\n", 1), ShouldResemble, []int{413})
		})
		Convey("what a request has held is free after it", func() {
			before, _ := g.held()
			So(exchange(address, start+"Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000), 1), ShouldResemble, []int{200})
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if held, _ := g.held(); held == before {
					break
				}
			}
			held, connections := g.held()
			So(held, ShouldEqual, before)
			So(connections, ShouldEqual, 0)
		})
	})
}

func TestProgressOfBody(t *testing.T) {
	Convey("Given a server that ends bodies without progress for 300 ms", t, func() {
		_, address := serve(t, Options{ProgressWindow: 300 * time.Millisecond})
		Convey("a body that takes longer is served over a slow link", func() {
			relay, err := faultnet.New(address)
			So(err, ShouldBeNil)
			Reset(relay.Close)
			relay.Set(faultnet.Condition{BytesPerSecond: 60_000})
			response, err := http.Post("http://"+relay.Addr(), "", bytes.NewReader(make([]byte, 90_000)))
			So(err, ShouldBeNil)
			response.Body.Close()
			So(response.StatusCode, ShouldEqual, 200)
		})
		Convey("one that stops short of its end is not waited for", func() {
			So(exchange(address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"+strings.Repeat("x", 99), 1), ShouldResemble, []int{400})
		})
	})
}

func TestHandlerKeepsItsDeadline(t *testing.T) {
	Convey("A handler that ends slow bodies itself keeps its deadline while the body makes progress", t, func() {
		g := New(Options{Name: "test", Limits: Machine{}.Callers(), ProgressWindow: -1, Log: logr.Discard(), Metrics: metrics.NewSet()})
		l, err := g.Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := io.ReadAll(r.Body); errors.Is(err, os.ErrDeadlineExceeded) {
				w.WriteHeader(http.StatusRequestTimeout)
			}
		})}
		g.Configure(s)
		go s.Serve(l)
		Reset(func() { s.Close() })
		So(exchange(l.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 4000), 1), ShouldResemble, []int{408})
	})
}
