package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/platform"
)

// A term that a newer claim had ended became valid again without end when the group listed its
// cell once more: the VM keeps the term, and nothing fences an owner that neither stores nor orders
// where the newer one does.
func TestRelistedTermNeedsConfirmation(t *testing.T) {
	Convey("A term that the group lists again", t, func() {
		const at = 10 * time.Second
		var tm term
		tm.begin(7, at)
		So(tm.leaveGroup(), ShouldBeTrue)
		tm.confirmWithGroup(at + time.Second)

		Convey("ends ownerStoreTimeout after the last moment at which its claim was the newest", func() {
			for now := at; now < at+ownerStoreTimeout; now += joinInterval {
				tm.confirmWithGroup(now)
				tm.confirmWithLog(storedClaim{fence: 9}, now)
			}
			So(tm.beginConfirmation(at+confirmInterval), ShouldBeTrue)
			So(tm.isValid(at+ownerStoreTimeout), ShouldBeFalse)
		})
		Convey("lasts while reads return its claim", func() {
			tm.confirmWithLog(storedClaim{fence: 7}, at+5*time.Second)
			So(tm.isValid(at+5*time.Second+ownerStoreTimeout-1), ShouldBeTrue)
		})
	})
}

// The same as TestRelistedTermNeedsConfirmation, with members of a group.
func TestDeposedOwnerEndsThoughListedAgain(t *testing.T) {
	Convey("An owner that the group lists again ends if another VM has claimed the cell", t, func() {
		c := newStore(t, 1)
		log := newFaultyLog(c, "")
		c.addExecutor("i-0", "r1", 0)
		c.start("vm-0")
		So(eventually(func() bool { return len(log.with(ownerStarted)) == 1 }), ShouldBeTrue)
		c.start("vm-1")
		for len(log.with("cell kept though assigned to another VM")) == 0 {
			c.store.Redeal(false)
			time.Sleep(2 * joinInterval)
		}
		c.store.Put(cell.ProgressTopic, claimKey, "vm-2 claim")
		c.store.Redeal(false) // back to the first
		time.Sleep(ownerStoreTimeout + 2*confirmInterval)
		So(log.with(`"msg"="owner stopped"`), ShouldNotBeEmpty)
		So(eventually(func() bool { return len(log.with(ownerStarted)) > 1 }), ShouldBeTrue)
	})
}

// A member read the claims of its cells in turn: with several cells and a store that answers no
// reads, it did not join for longer than memberTTL, and the group removed it.
func TestUnansweredReadsOfClaimsDelayJoins(t *testing.T) {
	Convey("A member of several cells whose reads get no answer joins again within memberTTL", t, func() {
		ended := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-ended:
			}
		}))
		ctx, cancel := context.WithCancel(context.Background())
		Reset(func() { cancel(); close(ended); server.Close() })
		store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), "g", "a", metrics.NewSet())
		m := newMember(&Node{store: store, log: logr.Discard(), submissions: cell.NewReplica()})
		for i := range 5 {
			o := &ownership{}
			o.begin(7, 0)
			o.leaveGroup()
			m.owned[i] = o
		}
		start := time.Now()
		m.confirmTerms(ctx)
		So(time.Since(start), ShouldBeLessThan, memberTTL-joinInterval)
	})
}
