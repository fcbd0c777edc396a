package intake

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

func TestTenantsOfRequests(t *testing.T) {
	Convey("Given a configuration with tenants", t, func() {
		queues := []policy.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s"}, {Name: "p", Host: "h", PathPrefix: "/p/", Service: "s", Public: true}}
		a, b := policy.Tenant{Name: "a", APIKeys: []string{"key-a"}}, policy.Tenant{Name: `b"\`, APIKeys: []string{"key-b"}}
		config, age := policy.New(1, queues, nil, a, b), time.Duration(0)
		submissions, set := cell.NewReplica(), metrics.NewSet()
		var lines bytes.Buffer
		in := New(Options{
			Log: &fakeLog{}, Submissions: submissions, MaxConfigAge: time.Second, Metrics: set,
			Logger:         funcr.New(func(_, args string) { fmt.Fprintln(&lines, args) }, funcr.Options{}),
			Config:         func() (*policy.Config, time.Duration) { return config, age },
			CatchUp:        func(context.Context) error { return nil },
			SubmissionsAge: func() (time.Duration, bool) { return 0, true },
		})
		ctx := context.Background()
		post := func(path, key string) int {
			return in.Submit(ctx, Request{Host: "h", Path: path, APIKey: key}, submission.Submission{Steps: []submission.Step{{Count: 1}}}).Status
		}
		get := func(path, key string) int { return in.Query(ctx, Request{Host: "h", Path: path, APIKey: key}).Status }
		cancel := func(path, key string) int {
			return in.Cancel(ctx, Request{Host: "h", Path: path, APIKey: key}).Status
		}
		const own, public = "/q/00000000000000a1", "/p/00000000000000a2"

		Convey("requests without a known key are refused, after those without a queue or a configuration in force", func() {
			for _, key := range []string{"", "other"} {
				for _, status := range []int{post(own, key), get(own, key), get("/q/", key), cancel(own, key)} {
					So(status, ShouldEqual, http.StatusUnauthorized)
				}
				resp, refused := in.RefuseUnauthorized("submit", Request{Host: "h", Path: own, APIKey: key})
				So(refused, ShouldBeTrue)
				So(resp.Status, ShouldEqual, http.StatusUnauthorized)
				So(post("/none/00000000000000a1", key), ShouldEqual, http.StatusNotFound)
			}
			age = 2 * time.Second
			So(post(own, "other"), ShouldEqual, http.StatusServiceUnavailable)
			So(post(own, "key-a"), ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("a submission belongs to the tenant of its key, also after it has finished", func() {
			So(post(own, "key-a"), ShouldEqual, http.StatusOK)
			entry, _ := submissions.Lookup("00000000000000a1")
			So(entry.Submission.Tenant, ShouldEqual, "a")
			record, err := cell.FinishedRecord(entry.ID, entry.Submission)
			So(err, ShouldBeNil)
			other := cell.NewReplica()
			So(other.Apply(record, 0), ShouldBeNil)
			finished, _ := other.Lookup(entry.ID)
			So(finished.Submission.Tenant, ShouldEqual, "a")
			So(get(own, "key-a"), ShouldEqual, http.StatusOK)
			So(get("/q/", "key-b"), ShouldEqual, http.StatusOK)

			Convey("and other tenants can't see, cancel or repeat it", func() {
				So([]int{get(own, "key-b"), cancel(own, "key-b"), post(own, "key-b")}, ShouldResemble, []int{http.StatusGone, http.StatusGone, http.StatusConflict})
				So(get(own, "key-a"), ShouldEqual, http.StatusOK)
				So(cancel(own, "key-a"), ShouldEqual, http.StatusOK)
			})
			Convey("and its tenant reaches it by another key, but not by one that was taken away", func() {
				a.APIKeys = []string{"key-c"}
				config = policy.New(2, queues, nil, a, b)
				So(get(own, "key-a"), ShouldEqual, http.StatusUnauthorized)
				So(get(own, "key-c"), ShouldEqual, http.StatusOK)
			})
			Convey("and it can be reached without a key once the configuration has no tenants", func() {
				config = policy.New(2, queues, nil)
				So(get(own, ""), ShouldEqual, http.StatusOK)
			})
		})
		Convey("public queues need no key, but an unknown one is refused", func() {
			So([]int{post(public, ""), get(public, ""), get("/p/", "")}, ShouldResemble, []int{200, 200, 200})
			entry, _ := submissions.Lookup("00000000000000a2")
			So(entry.Submission.Tenant, ShouldEqual, "")
			So(post(public, "other"), ShouldEqual, http.StatusUnauthorized)
			So(post("/p/00000000000000a3", "key-a"), ShouldEqual, http.StatusOK)
			So(get("/p/00000000000000a3", ""), ShouldEqual, http.StatusGone)
			So(get("/p/00000000000000a3", "key-a"), ShouldEqual, http.StatusOK)
		})
		Convey("submissions accepted before there were tenants stay within reach", func() {
			config = policy.New(1, queues, nil)
			So(post(own, ""), ShouldEqual, http.StatusOK)
			config = policy.New(2, queues, nil, a, b)
			So(get(own, "key-b"), ShouldEqual, http.StatusOK)
		})
		Convey("lines and metrics name tenants and no keys", func() {
			post(own, "key-a")
			post("/q/00000000000000a4", "key-b")
			post(own, "secret")
			set.WritePrometheus(&lines)
			So(lines.String(), ShouldContainSubstring, `"tenant"="a"`)
			So(lines.String(), ShouldContainSubstring, `peridotlock_tenant_submissions_total{tenant="b\"\\",status="OK"} 1`)
			So(lines.String(), ShouldContainSubstring, `peridotlock_unauthorized_requests_total{reason="unknown key"} 1`)
			So(lines.String(), ShouldNotContainSubstring, "key-")
			So(lines.String(), ShouldNotContainSubstring, "secret")
		})
	})
}
