package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/quota"
)

const (
	cappedTenant  = `{"name":"a","apiKeys":["k"],"cap":{"cpu":6000}},{"name":"b","apiKeys":["l"]}`
	cappedOnRack1 = `{"spec":"x","steps":[{"count":8,"cpu":1000,"memMb":100,"longRunning":true,"affinity":"r1"}]}`
	cappedOnRack2 = `{"spec":"x","steps":[{"count":8,"cpu":1000,"memMb":100,"longRunning":true,"affinity":"r2"}]}`
)

// newCappedCluster returns a store with two cells of one executor of 16 cores each, and a tenant with a cap of 6.
func newCappedCluster(t *testing.T) *cluster {
	c := newStore(t, 2)
	layout, err := cell.LayoutRecord(cell.Layout{Cells: 2, Racks: map[string]int{"r1": 0, "r2": 1}})
	So(err, ShouldBeNil)
	c.store.Put(cell.SubmissionsTopic, layout.Key, string(layout.Value))
	c.store.Put("op", "config", tenantsConfig(2, cappedTenant))
	c.addExecutor("i-0", "r1", 0)
	c.addExecutor("i-1", "r2", 0)
	return c
}

// mostRunning counts runs until it is stopped, which returns the largest number.
func (c *cluster) mostRunning() (stop func() int) {
	end, most := make(chan struct{}), 0
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(5 * time.Millisecond):
				most = max(most, c.running())
			}
		}
	})
	return func() int {
		close(end)
		done.Wait()
		return most
	}
}

// submitFor submits work with a tenant's key until it is accepted.
func (v *vm) submitFor(key, id, body string) bool {
	return eventually(func() bool { return v.callWithKey(http.DefaultClient, "POST", "/q/"+id, key, body) == http.StatusOK })
}

func TestTenantCapAcrossCells(t *testing.T) {
	Convey("Given two VMs that own a cell each, and a tenant with a cap of six tasks", t, func() {
		c := newCappedCluster(t)
		log := newFaultyLog(c, "")
		var cut atomic.Bool
		link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if cut.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			c.store.ServeHTTP(w, r)
		}))
		defer link.Close()
		defer cut.Store(false)
		b := c.start("vm-b")
		direct := c.address
		c.address = strings.TrimPrefix(link.URL, "http://")
		a := c.start("vm-a")
		c.address = direct
		So(eventually(func() bool { return a.ready() && b.ready() }), ShouldBeTrue)
		So(eventually(func() bool { return a.node.ownedCells.Load() == 1 && b.node.ownedCells.Load() == 1 }), ShouldBeTrue)
		first, second := c.executors[0], c.executors[1]
		most := c.mostRunning()

		Convey("work in one cell gets the idle part of the other, and gives it back as it ends", func() {
			So(b.submitFor("k", id1, cappedOnRack1), ShouldBeTrue)
			So(eventually(func() bool { return first.RunningCount() == 6 }), ShouldBeTrue)
			So(b.submitFor("k", id2, cappedOnRack2), ShouldBeTrue)
			time.Sleep(time.Second)
			So(second.RunningCount(), ShouldEqual, 0)
			So(b.callWithKey(http.DefaultClient, "DELETE", "/q/"+id1, "k", ""), ShouldEqual, http.StatusOK)
			So(eventually(func() bool { return second.RunningCount() == 6 && first.RunningCount() == 0 }), ShouldBeTrue)
			So(most(), ShouldEqual, 6)
			So(log.with("share of a tenant's cap given", `"tenant"="a"`), ShouldNotBeEmpty)
		})
		Convey("the part of a cell whose owner is cut off stays unused until it is taken over", func() {
			owned, other, firstBody, secondBody := first, second, cappedOnRack1, cappedOnRack2
			if eventually(func() bool { return a.ownsCell(0) || b.ownsCell(0) }) && b.ownsCell(0) {
				owned, other, firstBody, secondBody = second, first, cappedOnRack2, cappedOnRack1
			}
			So(b.submitFor("k", id1, strings.Replace(firstBody, `"count":8`, `"count":2`, 1)), ShouldBeTrue)
			So(eventually(func() bool { return owned.RunningCount() == 2 }), ShouldBeTrue)
			cut.Store(true)
			c.store.Expire("vm-a")
			So(b.submitFor("k", id2, secondBody), ShouldBeTrue)
			So(eventually(func() bool { return other.RunningCount() == 4 }), ShouldBeTrue)
			time.Sleep(time.Second)
			So(most(), ShouldEqual, 6)
			So(owned.RunningCount(), ShouldEqual, 2)
		})
	})
}

// ownsCell reports whether v has gauges of the tenant's share as the owner of a cell.
func (v *vm) ownsCell(index int) bool {
	return strings.Contains(metricsOf(v.node), fmt.Sprintf(`peridotlock_tenant_share{cell="%d",tenant="a"}`, index))
}

func metricsOf(n *Node) string {
	var out strings.Builder
	n.set.WritePrometheus(&out)
	return out.String()
}

// TestTransferOfFrozenOwner has an owner store a transfer and stop before any other owner reads it: its successor must
// not use the part again.
func TestTransferOfFrozenOwner(t *testing.T) {
	Convey("Given a transfer of a cell whose owner has not come back", t, func() {
		c := newCappedCluster(t)
		given, err := cell.SharesRecord(0, quota.Given{"a": {1: quota.Whole / 2}})
		So(err, ShouldBeNil)
		c.store.Put(cell.SubmissionsTopic, given.Key, string(given.Value))
		most := c.mostRunning()
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)

		Convey("the receiver has it, and the successor none until it gets some back", func() {
			So(vm.submitFor("k", id1, cappedOnRack2), ShouldBeTrue)
			So(eventually(func() bool { return c.executors[1].RunningCount() == 6 }), ShouldBeTrue)
			So(vm.submitFor("k", id2, cappedOnRack1), ShouldBeTrue)
			time.Sleep(1500 * time.Millisecond)
			So(most(), ShouldEqual, 6)
		})
		Convey("the successor's work gets parts of the receiver, which needs none", func() {
			So(vm.submitFor("k", id2, cappedOnRack1), ShouldBeTrue)
			So(eventually(func() bool { return c.executors[0].RunningCount() == 6 }), ShouldBeTrue)
			time.Sleep(time.Second)
			So(most(), ShouldEqual, 6)
		})
	})
	Convey("Transfers that another writer stores in the name of a cell count as given, and those of its owner go on", t, func() {
		c := newCappedCluster(t)
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)
		foreign, err := cell.SharesRecord(0, quota.Given{"a": {1: quota.Whole / 3}})
		So(err, ShouldBeNil)
		c.store.Put(cell.SubmissionsTopic, foreign.Key, string(foreign.Value))
		So(eventually(func() bool { return vm.node.submissions.SharesVersion() > 0 }), ShouldBeTrue)
		most := c.mostRunning()
		So(vm.submitFor("k", id1, cappedOnRack1), ShouldBeTrue)
		So(eventually(func() bool { return c.executors[0].RunningCount() == 6 }), ShouldBeTrue)
		So(vm.callWithKey(http.DefaultClient, "DELETE", "/q/"+id1, "k", ""), ShouldEqual, http.StatusOK)
		So(vm.submitFor("k", id2, cappedOnRack2), ShouldBeTrue)
		So(eventually(func() bool { return c.executors[1].RunningCount() == 6 }), ShouldBeTrue)
		So(most(), ShouldBeLessThanOrEqualTo, 6)
	})
	Convey("A record of transfers that can't be read costs the cell its shares, and it gets others", t, func() {
		c := newCappedCluster(t)
		c.store.Put(cell.SubmissionsTopic, "shares/0", "?")
		most := c.mostRunning()
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)
		So(vm.submitFor("k", id1, cappedOnRack1), ShouldBeTrue)
		So(eventually(func() bool { return c.executors[0].RunningCount() == 3 }), ShouldBeTrue)
		time.Sleep(time.Second)
		So(most(), ShouldEqual, 3)
	})
}

// TestNoRecordsWithoutCaps checks that deployments without capped tenants store nothing about them.
func TestNoRecordsWithoutCaps(t *testing.T) {
	Convey("Without caps, owners of two cells store no transfers and no use", t, func() {
		c := newCappedCluster(t)
		c.store.Put("op", "config", tenantsConfig(3, `{"name":"a","apiKeys":["k"]}`))
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)
		So(vm.submitFor("k", id1, cappedOnRack1), ShouldBeTrue)
		So(eventually(func() bool { return c.executors[0].RunningCount() == 8 }), ShouldBeTrue)
		time.Sleep(time.Second)
		So(vm.node.submissions.SharesVersion(), ShouldEqual, 0)
		for _, use := range vm.node.submissions.Uses(0) {
			So(use.Demands, ShouldBeNil)
		}
	})
}
