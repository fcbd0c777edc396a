package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/api/client"
	"github.com/peridotlock/peridotlock/api/command"
	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

// stub answers commands as told and keeps what reached it.
type stub struct {
	err   error
	edits []command.Edit
	jobs  []job.Spec
}

func (s *stub) Publish(_ context.Context, e command.Edit) (command.Receipt, error) {
	s.edits = append(s.edits, e)
	return command.Receipt{Key: e.Key, Revision: 4, Change: settings.Change{Result: settings.Applied}}, s.err
}

func (s *stub) Submit(_ context.Context, jobs []job.Spec) ([]command.Submission, error) {
	s.jobs = append(s.jobs, jobs...)
	return make([]command.Submission, len(jobs)), s.err
}

func (s *stub) Cancel(_ context.Context, id string) (command.Cancellation, error) {
	return command.Cancellation{ID: id}, s.err
}

// request is one request to the interface and what is expected of the answer.
type request struct {
	method, path, key, token, remote, body string
}

func (q request) send(h http.Handler) (int, problem.Problem) {
	r := httptest.NewRequest(q.method, q.path, strings.NewReader(q.body))
	r.RemoteAddr = "127.0.0.1:9"
	if q.remote != "" {
		r.RemoteAddr = q.remote
	}
	if q.key != "" {
		r.Header.Set(command.KeyHeader, q.key)
	}
	if q.token != "" {
		r.Header.Set("Authorization", "Bearer "+q.token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var p problem.Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p)
	return w.Code, p
}

const (
	editBody = `{"branch":"a","base":3,"author":"ana","operation":"take-out"}`
	jobBody  = `{"jobs":[{"name":"x","team":"t","kind":"k","class":"batch","count":1,"size":{"milli_cpu":1,"memory_mb":1},"run_time":1000000000,"idempotency_key":""}]}`
)

func TestAuthorisation(t *testing.T) {
	Convey("Without a token only loopback peers are allowed", t, func() {
		s := &stub{}
		h := New(Options{Settings: s, Jobs: s})
		edit := request{method: "POST", path: "/v1/settings/edits", key: "k", body: editBody}
		code, _ := edit.send(h)
		So(code, ShouldEqual, http.StatusOK)
		edit.remote = "10.0.0.8:1"
		code, p := edit.send(h)
		So(code, ShouldEqual, http.StatusForbidden)
		So(p.Type, ShouldEqual, problem.Unauthorised)
		So(s.edits, ShouldHaveLength, 1)
	})
	Convey("With a token every peer must give it", t, func() {
		s := &stub{}
		h := New(Options{Token: "right", Settings: s, Jobs: s})
		for token, want := range map[string]int{"right": http.StatusOK, "wrong": http.StatusUnauthorized, "": http.StatusUnauthorized} {
			code, _ := request{method: "POST", path: "/v1/settings/edits", key: "k", token: token, body: editBody, remote: "10.0.0.8:1"}.send(h)
			So(code, ShouldEqual, want)
		}
		So(s.edits, ShouldHaveLength, 1)
	})
}

func TestRequestsAreChecked(t *testing.T) {
	Convey("A bad request reaches no command", t, func() {
		s := &stub{}
		h := New(Options{Settings: s, Jobs: s})
		edits := request{method: "POST", path: "/v1/settings/edits", key: "k"}
		for body, want := range map[string]int{
			`{`:                              http.StatusBadRequest,
			`{"brunch":"a"}`:                 http.StatusBadRequest,
			editBody + `{}`:                  http.StatusBadRequest,
			`{"author":"a"}`:                 http.StatusBadRequest,
			strings.Repeat(" ", 3<<20) + "{": http.StatusRequestEntityTooLarge,
		} {
			edits.body = body
			code, p := edits.send(h)
			So(code, ShouldEqual, want)
			So(p.Outcome, ShouldEqual, problem.Refused)
		}
		for _, key := range []string{"", "!x", "a~b", strings.Repeat("k", 200)} {
			code, _ := request{method: "POST", path: "/v1/settings/edits", key: key, body: editBody}.send(h)
			So(code, ShouldEqual, http.StatusBadRequest)
		}
		code, p := request{method: "POST", path: "/v1/jobs", key: "k", body: strings.Replace(jobBody, `"count":1`, `"count":-1`, 1)}.send(h)
		So(code, ShouldEqual, http.StatusUnprocessableEntity)
		So(p.Findings, ShouldResemble, finding.List{{Path: "jobs[0].count", Message: "-1 is not between 1 and 100000"}})
		So(s.edits, ShouldBeEmpty)
		So(s.jobs, ShouldBeEmpty)
	})
	Convey("A job without a key gets one that follows from the request's", t, func() {
		s := &stub{}
		h := New(Options{Settings: s, Jobs: s})
		submit := request{method: "POST", path: "/v1/jobs", key: "k", body: jobBody}
		for range 2 {
			code, _ := submit.send(h)
			So(code, ShouldEqual, http.StatusOK)
		}
		So(s.jobs[0].IdempotencyKey, ShouldEqual, "k-0")
		So(s.jobs[1].IdempotencyKey, ShouldEqual, "k-0")
	})
}

func TestErrorsBecomeProblems(t *testing.T) {
	Convey("A problem says refused only when that is certain", t, func() {
		for _, c := range []struct {
			err     error
			status  int
			outcome problem.Outcome
		}{
			{fmt.Errorf("x: %w", platform.ErrUnavailable), http.StatusServiceUnavailable, problem.Refused},
			{fmt.Errorf("x: %w", wire.ErrNotSent), http.StatusServiceUnavailable, problem.Refused},
			{fmt.Errorf("x: %w", platform.ErrInDoubt), http.StatusGatewayTimeout, problem.Unknown},
			{fmt.Errorf("x: %w", wire.ErrUnanswered), http.StatusGatewayTimeout, problem.Unknown},
			{fmt.Errorf("x: %w", stream.ErrInvalidEntry), http.StatusRequestEntityTooLarge, problem.Refused},
			{context.DeadlineExceeded, http.StatusGatewayTimeout, problem.Unknown},
			{errors.New("other"), http.StatusInternalServerError, problem.Unknown},
			{problem.Missing("job"), http.StatusNotFound, problem.Refused},
			{finding.List{{Message: "m"}}, http.StatusUnprocessableEntity, problem.Refused},
		} {
			s := &stub{err: c.err}
			code, p := request{method: "DELETE", path: "/v1/jobs/zavod%2Fruns%2Fj1"}.send(New(Options{Settings: s, Jobs: s}))
			So(code, ShouldEqual, c.status)
			So(p.Outcome, ShouldEqual, c.outcome)
		}
	})
}

func TestClientTellsUnknownFromRefused(t *testing.T) {
	Convey("Given servers that break at different moments", t, func() {
		s := &stub{}
		good := httptest.NewServer(New(Options{Settings: s, Jobs: s}))
		cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		down := httptest.NewServer(New(Options{Settings: &stub{err: platform.ErrUnavailable}, Jobs: s}))
		Reset(func() {
			good.Close()
			cut.Close()
			down.Close()
		})
		publish := func(urls ...string) error {
			var servers []string
			for _, u := range urls {
				servers = append(servers, strings.TrimPrefix(u, "http://"))
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := client.New(client.Options{Servers: servers}).Publish(ctx, "k", settings.Edit{Author: "a", Operation: settings.TakeOut})
			return err
		}
		outcome := func(err error) problem.Outcome {
			var unreachable *client.UnreachableError
			So(errors.As(err, &unreachable), ShouldBeTrue)
			return unreachable.Outcome
		}
		Convey("a connection cut after the request leaves the outcome unknown", func() {
			So(outcome(publish(cut.URL)), ShouldEqual, problem.Unknown)
		})
		Convey("a later refusal for want of the log does not make it known", func() {
			So(outcome(publish(cut.URL, down.URL)), ShouldEqual, problem.Unknown)
		})
		Convey("servers that certainly did nothing mean refused", func() {
			So(outcome(publish("http://127.0.0.1:1", down.URL)), ShouldEqual, problem.Refused)
		})
		Convey("the next server settles it under the same key", func() {
			So(publish(cut.URL, good.URL), ShouldBeNil)
			So(s.edits[0].Key, ShouldEqual, "k")
		})
	})
}
