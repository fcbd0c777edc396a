package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/platform/standin"
)

// TestClaimBesideBusyOwner replays claims at a store that needs 120 ms for an append, in virtual
// time: an owner that is about to stop appends without a pause, and each append moves the end
// at which its successor must claim.
func TestClaimBesideBusyOwner(t *testing.T) {
	const appendTime, learns = 120 * time.Millisecond, 300 * time.Millisecond
	claimedAt := func(yields func(retiredAt, now time.Duration) bool) time.Duration {
		const retiredAt = time.Second
		end, known := 0, -1 // of the partition, and as the successor knows it
		for now := retiredAt; now < retiredAt+10*time.Second; now += appendTime {
			if !yields(retiredAt, now) {
				end++ // processed before the claim that waits behind it
			}
			if now-retiredAt < learns {
				continue
			}
			if known == end {
				return now - retiredAt
			}
			known = end
		}
		return -1
	}
	Convey("A cell is claimed soon after its owner stores nothing more, and not before", t, func() {
		So(claimedAt(func(_, _ time.Duration) bool { return false }), ShouldEqual, -1)
		So(claimedAt(yieldsToSuccessor), ShouldBeBetween, yieldDelay-1, yieldDelay+3*appendTime)
		So(yieldsToSuccessor(0, time.Hour), ShouldBeFalse)
	})
}

// startGraceful starts a VM that has a grace period in which it can hand over its cells.
func (c *cluster) startGraceful(name string) *vm {
	n := c.newNode(name, c.log)
	n.vm.Limits.GracePeriodSeconds = 6
	return c.run(name, n)
}

func TestStoppingVMHandsCellOver(t *testing.T) {
	Convey("Given two VMs and a cell with long-running tasks", t, func() {
		c := newStore(t, 1)
		log := newFaultyLog(c, "")
		ledger := standin.NewLedger()
		for i := range 3 {
			c.addExecutorOf(ledger, fmt.Sprintf("i-%d", i), "r1", 50*time.Millisecond)
		}
		a := c.startGraceful("vm-0")
		So(eventually(func() bool { return len(log.with(ownerStarted)) == 1 }), ShouldBeTrue)
		b := c.startGraceful("vm-1")
		So(eventually(b.ready), ShouldBeTrue)
		So(eventually(a.ready), ShouldBeTrue)
		submission := strings.Replace(longRunningSubmission, `"spec":"x"`, `"spec":"`+standin.SpecLongRunning+`"`, 1)
		status, _ := b.call("POST", "/q/"+id1, submission)
		So(status, ShouldEqual, http.StatusOK)
		So(eventually(func() bool { return ledger.StartCount(id1) == 4 }), ShouldBeTrue)

		Convey("its owner serves it until the successor has claimed it, and each task runs once", func() {
			stopped := make(chan struct{})
			go func() { a.stop(); close(stopped) }()
			for i := range 20 {
				id := fmt.Sprintf("%016x", 0xe0+i)
				status, _ := b.call("POST", "/q/"+id, batchSubmission)
				So(status, ShouldEqual, http.StatusOK)
				time.Sleep(50 * time.Millisecond)
			}
			for i := range 20 {
				id := fmt.Sprintf("%016x", 0xe0+i)
				So(eventually(b.hasState(id, "completed")), ShouldBeTrue)
				So(ledger.StartCount(id), ShouldEqual, 5)
			}
			<-stopped
			So(log.with(`"reason"="a newer owner was seen"`), ShouldHaveLength, 1)
			So(log.with(`"outcome"="handed over"`), ShouldHaveLength, 1)
			So(ledger.StartCount(id1), ShouldEqual, 4)
			So(ledger.Violations(), ShouldBeEmpty)
		})
		Convey("its runs outlast a store that is away from its stop until after the usual lease", func() {
			c.store.SetFaults(standin.Faults{Unavailable: true})
			back := time.Now().Add(leaseCap + 500*time.Millisecond)
			a.stop()
			time.Sleep(time.Until(back))
			c.store.SetFaults(standin.Faults{})
			So(eventually(func() bool { return len(log.with(ownerStarted)) == 2 }), ShouldBeTrue)
			time.Sleep(time.Second)
			So(c.running(), ShouldEqual, 4)
			So(log.with(`"outcome"="not taken over in time"`), ShouldHaveLength, 1)
			So(ledger.StartCount(id1), ShouldEqual, 4)
			So(ledger.Violations(), ShouldBeEmpty)
		})
	})
}

// A VM that started at a slow store was a member before it had read the submissions, and held a
// cell for 4 s that it could not claim.
func TestMemberHasReadSubmissions(t *testing.T) {
	Convey("A VM joins the group once it has read the submissions", t, func() {
		store := standin.NewStore(1)
		var joins atomic.Int32
		var open atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/api/log-join":
				joins.Add(1)
			case r.URL.Path == "/api/log-newest" && !open.Load():
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			store.ServeHTTP(w, r)
		}))
		defer server.Close()
		n := New(config.VM{Name: "vm-1", Log: strings.TrimPrefix(server.URL, "http://")}, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { newMember(n).run(ctx); close(done) }()
		go n.submissionsFollower.Run(ctx)
		time.Sleep(2 * joinInterval)
		So(joins.Load(), ShouldEqual, 0)
		open.Store(true)
		So(eventually(func() bool { return joins.Load() > 0 }), ShouldBeTrue)
		cancel()
		<-done
	})
}

// After a power failure the first VM that had read the submissions was assigned all cells.
func TestClaimsPerJoin(t *testing.T) {
	Convey("A member claims a few cells at a time, not those that it has or that are held back", t, func() {
		m := newMember(New(config.VM{Name: "vm-1", Log: "127.0.0.1:1"}, logr.Discard()))
		So(m.claimable([]int{2, 0, 1}), ShouldResemble, []int{0, 1, 2})
		So(m.claimable([]int{7, 5, 3, 6, 2, 0, 1, 4}), ShouldResemble, []int{0, 1, 2, 3})
		m.owned[0], m.owned[2] = &ownership{}, &ownership{}
		m.holdBack(1)
		So(m.claimable([]int{7, 5, 3, 6, 2, 0, 1, 4}), ShouldResemble, []int{3, 4, 5, 6})
		So(m.claimable([]int{0, 1, 2}), ShouldBeEmpty)
	})
}
