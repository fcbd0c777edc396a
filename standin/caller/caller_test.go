package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/standin/executor"
	"github.com/peridotlock/peridotlock/standin/fault"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

// proxy is an entry under the control of a test.
type proxy func(w http.ResponseWriter, r *http.Request, executor string)

// forward forwards a request with the given id and copies the answer to w.
func forward(w io.Writer, r *http.Request, addr, id string) {
	req, _ := http.NewRequest(r.Method, "http://"+addr+r.URL.String(), strings.NewReader("body of "+id))
	req.Header.Set(executor.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	io.Copy(w, resp.Body)
}

// callThrough sends one request of a class through an entry and returns the
// summary of the callers.
func callThrough(t *testing.T, class fleet.RequestClass, p proxy) Summary {
	l := ledger.New()
	endpoint := httptest.NewServer(executor.New(executor.Options{ID: "e", Slots: 8}, fault.NewRegistry(), l))
	defer endpoint.Close()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p(w, r, endpoint.Listener.Addr().String())
	}))
	defer entry.Close()
	c := New(Options{
		Name: "t", Rate: 1000, Deadline: 50 * time.Millisecond,
		Entries:      []Entry{{Address: entry.Listener.Addr().String()}},
		RequestKinds: []RequestKind{{Class: class, Method: "POST", Path: "/p", Weight: 1, Bytes: 2000}},
	})
	c.exchange(t.Context(), "t-0", c.opts.RequestKinds[0])
	return c.Summary(l.ExecutionCounts())
}

func TestCallersDetectIncorrectEntries(t *testing.T) {
	requestID := func(r *http.Request) string { return r.Header.Get(executor.HeaderRequestID) }
	Convey("Callers", t, func() {
		Convey("report no violation for a correct entry", func() {
			s := callThrough(t, fleet.NonIdempotent, func(w http.ResponseWriter, r *http.Request, addr string) {
				forward(w, r, addr, requestID(r))
			})
			So(s.IsCorrect(), ShouldBeTrue)
			So(s.Outcomes[Answered], ShouldEqual, 1)
		})
		Convey("detect a non-idempotent request that was executed twice", func() {
			double := func(w http.ResponseWriter, r *http.Request, addr string) {
				forward(io.Discard, r, addr, requestID(r))
				forward(w, r, addr, requestID(r))
			}
			So(callThrough(t, fleet.NonIdempotent, double).Doubled, ShouldEqual, 1)
			So(callThrough(t, fleet.Idempotent, double).IsCorrect(), ShouldBeTrue)
		})
		Convey("detect a request reported as not run that was executed", func() {
			falseRefusal := func(w http.ResponseWriter, r *http.Request, addr string) {
				forward(io.Discard, r, addr, requestID(r))
				w.Header().Set(outcomeHeader, notRun)
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			So(callThrough(t, fleet.Idempotent, falseRefusal).Misreported, ShouldEqual, 1)
		})
		Convey("detect the answer to another request, a truncated answer and one without an execution", func() {
			swap := func(w http.ResponseWriter, r *http.Request, addr string) {
				forward(io.Discard, r, addr, requestID(r))
				forward(w, r, addr, "other")
			}
			cut := func(w http.ResponseWriter, r *http.Request, addr string) {
				var answer strings.Builder
				forward(&answer, r, addr, requestID(r))
				io.WriteString(w, answer.String()[:answer.Len()/2])
			}
			invent := func(w http.ResponseWriter, r *http.Request, _ string) {
				w.Write(executor.Answer(requestID(r), r.Method, r.URL.Path, executor.Hash([]byte("body of "+requestID(r))), 2000))
			}
			for _, wrong := range []proxy{swap, cut, invent} {
				So(callThrough(t, fleet.Idempotent, wrong).Misreported, ShouldEqual, 1)
			}
		})
		Convey("count an aborted answer as unknown and a missing answer as lost", func() {
			abort := func(w http.ResponseWriter, _ *http.Request, _ string) {
				w.Header().Set("Content-Length", "2000")
				io.WriteString(w, "request=")
				panic(http.ErrAbortHandler)
			}
			So(callThrough(t, fleet.NonIdempotent, abort).Outcomes[Unknown], ShouldEqual, 1)
			silent := func(_ http.ResponseWriter, r *http.Request, _ string) {
				io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}
			So(callThrough(t, fleet.NonIdempotent, silent).Lost, ShouldEqual, 1)
		})
		Convey("try another entry if one refuses the connection", func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			unreachable := l.Addr().String()
			l.Close()
			live := httptest.NewServer(executor.New(executor.Options{ID: "e", Slots: 8}, fault.NewRegistry(), ledger.New()))
			defer live.Close()
			c := New(Options{Entries: []Entry{{Address: unreachable}, {Address: live.Listener.Addr().String()}}, Deadline: time.Second})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for range 4 {
				outcome, detail := c.sendRequest(ctx, "x", RequestKind{Class: fleet.Idempotent, Method: "GET", Path: "/p"})
				So(detail, ShouldEqual, "")
				So(outcome, ShouldEqual, Answered)
			}
		})
	})
}
