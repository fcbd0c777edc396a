package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/platform/standin"
)

// A cell changed hands whenever the group dealt the cells anew, although its owner was alive.
// Each time it had no owner until the next one had joined, claimed it and read its state.
func TestOwnerKeepsCellWhileGroupDealsAnew(t *testing.T) {
	Convey("Given two VMs and a cell with long-running tasks", t, func() {
		c := newStore(t, 1)
		log := newFaultyLog(c, "")
		ledger := standin.NewLedger()
		for i := range 3 {
			c.addExecutorOf(ledger, fmt.Sprintf("i-%d", i), "r1", 0)
		}
		a, b := c.start("vm-0"), c.start("vm-1")
		So(eventually(a.ready), ShouldBeTrue)
		So(eventually(b.ready), ShouldBeTrue)
		status, _ := b.call("POST", "/q/"+id1, longRunningSubmission)
		So(status, ShouldEqual, http.StatusOK)
		So(eventually(func() bool { return c.running() == 4 }), ShouldBeTrue)
		owners := len(log.with(ownerStarted))

		Convey("its owner keeps it while the group deals the cells anew several times in a second", func() {
			for range 15 {
				c.store.Redeal(false)
				time.Sleep(200 * time.Millisecond)
			}
			So(log.with(ownerStarted), ShouldHaveLength, owners)
			So(log.with(`"msg"="owner stopped"`), ShouldBeEmpty)
			So(ledger.StartCount(id1), ShouldEqual, 4)

			Convey("and beyond ownerStoreTimeout, as it reads that no other VM has claimed it", func() {
				c.store.Redeal(false)
				time.Sleep(ownerStoreTimeout + time.Second)
				So(log.with(ownerStarted), ShouldHaveLength, owners)
				So(log.with(`"msg"="owner stopped"`), ShouldBeEmpty)
			})
		})
		Convey("an owner from which it is taken at once serves until the next one fences it", func() {
			for i := range 4 {
				// The first deal changes nothing if the VM that joined first has the cell already.
				dealt := time.Time{}
				So(eventually(func() bool {
					if time.Since(dealt) > 3*time.Second {
						c.store.Redeal(true)
						dealt = time.Now()
					}
					return len(log.with(ownerStarted)) > owners+i
				}), ShouldBeTrue)
				id := fmt.Sprintf("00000000000000c%d", i)
				status, _ := a.call("POST", "/q/"+id, longRunningSubmission)
				So(status, ShouldEqual, http.StatusOK)
				So(eventually(func() bool { return c.running() == 4*(i+2) }), ShouldBeTrue)
			}
			So(log.with(`"reason"="released"`), ShouldBeEmpty)
			So(ledger.StartCount(id1), ShouldEqual, 4)
			So(ledger.Violations(), ShouldBeEmpty)
		})
		Convey("a member that the group has removed serves until the next owner fences it", func() {
			for _, name := range []string{"vm-0", "vm-1", "vm-0", "vm-1"} {
				c.store.Expire(name)
				time.Sleep(joinInterval)
			}
			So(log.with(`"reason"="released"`), ShouldBeEmpty)
			So(c.running(), ShouldEqual, 4)
			So(ledger.StartCount(id1), ShouldEqual, 4)
			So(ledger.Violations(), ShouldBeEmpty)
		})
	})
}

// An owner that serves until the next one fences it has orders in flight when that claims the
// cell.
func TestTasksRunOnceWhileCellChangesHands(t *testing.T) {
	Convey("Tasks run once while a cell is taken from its owner at once, again and again", t, func() {
		const submissions = 24
		c := newStore(t, 1)
		log := newFaultyLog(c, "")
		ledger := standin.NewLedger()
		for i := range 3 {
			c.addExecutorOf(ledger, fmt.Sprintf("i-%d", i), "r1", 50*time.Millisecond)
		}
		a, b := c.start("vm-0"), c.start("vm-1")
		So(eventually(a.ready), ShouldBeTrue)
		So(eventually(b.ready), ShouldBeTrue)
		id := func(i int) string { return fmt.Sprintf("%016x", 0xd0+i) }
		for i := range submissions {
			if i%6 == 3 {
				c.store.Redeal(true)
			}
			status, _ := c.vms[i%2].call("POST", "/q/"+id(i), batchSubmission)
			So(status, ShouldEqual, http.StatusOK)
			time.Sleep(150 * time.Millisecond)
		}
		for i := range submissions {
			So(eventually(a.hasState(id(i), "completed")), ShouldBeTrue)
			So(ledger.StartCount(id(i)), ShouldEqual, 5)
		}
		So(len(log.with(ownerStarted)), ShouldBeGreaterThan, 2)
		So(ledger.Violations(), ShouldBeEmpty)
	})
}

// A store that needed longer than a fixed limit for each read ended the term of an owner that
// the group did not list. The reads also delayed its joins.
func TestUnlistedOwnerConfirmsAtSlowStore(t *testing.T) {
	Convey("An owner keeps its cell at a store that needs 1.2 s for each read of claims", t, func() {
		store := standin.NewStore(1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/api/log-newest" {
				time.Sleep(1200 * time.Millisecond)
			}
			store.ServeHTTP(w, r)
		}))
		defer server.Close()
		n := New(config.VM{Name: "vm-1", Log: strings.TrimPrefix(server.URL, "http://")}, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m := newMember(n)
		o := &ownership{}
		m.owned[0] = o
		claimed := boottime.Now()
		fence, err := n.claim(ctx, progressPartition(0))
		So(err, ShouldBeNil)
		o.begin(fence, claimed)
		o.leaveGroup()
		for now := claimed; now < claimed+ownerStoreTimeout+time.Second; now = boottime.Now() {
			m.confirmTerms(ctx)
			So(boottime.Now()-now, ShouldBeLessThan, 100*time.Millisecond)
			So(o.isValid(now), ShouldBeTrue)
			time.Sleep(200 * time.Millisecond)
		}
	})
}
