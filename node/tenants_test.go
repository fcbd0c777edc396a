package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/platform/standin"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

// tenantsConfig returns a version of configV1 in which queue q needs a key of a tenant.
func tenantsConfig(version int, tenants string) string {
	return strings.Replace(configV1, `"version":1`, fmt.Sprintf(`"version":%d,"tenants":[%s]`, version, tenants), 1)
}

// callWithKey sends a request with an API key, and returns the status.
func (v *vm) callWithKey(client *http.Client, method, path, key, body string) int {
	req, err := http.NewRequest(method, "http://"+v.callers+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	req.Host = "h.example"
	req.Header.Set("X-Api-Key", key)
	reply, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer reply.Body.Close()
	io.Copy(io.Discard, reply.Body)
	return reply.StatusCode
}

func TestKeysOfTenants(t *testing.T) {
	Convey("Given two VMs and a submission of a tenant", t, func() {
		c := newStore(t, 1)
		c.addExecutor("i-0", "r1", 0)
		c.store.Put("op", "config", tenantsConfig(2, `{"name":"a","apiKeys":["k1"]},{"name":"b","apiKeys":["other"]}`))
		a, b := c.start("vm-0"), c.start("vm-1")
		So(eventually(func() bool { return a.ready() && b.ready() }), ShouldBeTrue)
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		defer client.CloseIdleConnections()
		So(eventually(func() bool {
			return a.callWithKey(client, "POST", "/q/"+id1, "k1", longRunningSubmission) == 200
		}), ShouldBeTrue)
		So(eventually(func() bool { return c.running() == 4 }), ShouldBeTrue)
		all := func(key string, status int) func() bool {
			return func() bool {
				for _, v := range c.vms {
					if v.callWithKey(client, "GET", "/q/"+id1, key, "") != status {
						return false
					}
				}
				return true
			}
		}
		So(eventually(all("k1", 200)), ShouldBeTrue)
		So(eventually(all("other", http.StatusGone)), ShouldBeTrue)
		So(all("", http.StatusUnauthorized)(), ShouldBeTrue)

		Convey("a key that is replaced stops on open connections, and the new one is known", func() {
			c.store.Put("op", "config", tenantsConfig(3, `{"name":"a","apiKeys":["k2"]},{"name":"a","apiKeys":["k1"]}`))
			So(eventually(all("k2", 200)), ShouldBeTrue)
			So(all("k1", http.StatusUnauthorized)(), ShouldBeTrue)
			So(a.callWithKey(client, "DELETE", "/q/"+id1, "k1", ""), ShouldEqual, http.StatusUnauthorized)
			So(c.running(), ShouldEqual, 4)
		})
		Convey("the work of a tenant that is removed goes on, and its keys are refused", func() {
			c.store.Put("op", "config", tenantsConfig(3, `{"name":"b","apiKeys":["other"]}`))
			So(eventually(all("k1", http.StatusUnauthorized)), ShouldBeTrue)
			So(all("other", http.StatusGone)(), ShouldBeTrue)
			time.Sleep(300 * time.Millisecond)
			So(c.running(), ShouldEqual, 4)
		})
		Convey("VMs whose configuration is too old refuse known and unknown keys alike, as unavailable", func() {
			c.store.SetFaults(standin.Faults{Unavailable: true})
			So(eventually(all("k1", http.StatusServiceUnavailable)), ShouldBeTrue)
			So(all("unknown", http.StatusServiceUnavailable)(), ShouldBeTrue)
			c.store.SetFaults(standin.Faults{})
			So(eventually(all("k1", 200)), ShouldBeTrue)
		})
	})
}

func TestTenantRates(t *testing.T) {
	Convey("Given submissions of a tenant of weight 2", t, func() {
		config := policy.New(1, nil, nil, policy.Tenant{Name: "a", Weight: 2})
		r := tenantRates{config: func() *policy.Config { return config }}
		submissions := cell.NewReplica()
		submissions.SetExceeds(r.exceeds)
		next := 0
		beyond := func(n int, tenant string, now time.Duration) int {
			count := 0
			for range n {
				next++
				id := submission.ID(fmt.Sprintf("%016x", next))
				record, err := cell.SubmissionRecord(id, submission.Submission{Tenant: tenant, Steps: []submission.Step{{Count: 1}}})
				So(err, ShouldBeNil)
				So(submissions.Apply(record, now), ShouldBeNil)
				So(submissions.Apply(record, now), ShouldBeNil) // counts once
				if e, _ := submissions.Lookup(id); e.Submission.BeyondWeight {
					count++
				}
			}
			return count
		}
		So(beyond(10, "a", time.Second), ShouldEqual, 0)
		r.read(true, 2*time.Second)
		So(beyond(10, "a", 2*time.Second), ShouldEqual, 0)
		r.read(false, 3*time.Second)
		So(beyond(18, "a", 3*time.Second), ShouldEqual, 8)
		So(beyond(10, "", 3*time.Second), ShouldEqual, 0)
		So(beyond(10, "removed", 3*time.Second), ShouldEqual, 0)
		Convey("those of a long gap between two reads are not taken for a burst", func() {
			r.read(false, 12*time.Second)
			So(beyond(18, "a", 12*time.Second), ShouldEqual, 0)
		})
		Convey("all are within it once the configuration has no tenants", func() {
			config = policy.New(2, nil, nil)
			So(beyond(10, "a", 3*time.Second), ShouldEqual, 0)
		})
	})
}
