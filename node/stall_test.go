package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/platform/standin"
)

// refusingStore answers some appends of progress with 503.
type refusingStore struct {
	*standin.Store
	refuses atomic.Pointer[func(*http.Request) bool]
}

// ServeHTTP implements http.Handler.
func (s *refusingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.refuses.Load()
	if f != nil && r.URL.Path == "/api/log-append" && r.URL.Query().Get("topic") == "keyed.progress" && (*f)(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Store.ServeHTTP(w, r)
}

// TestOwnerWithoutProgressEndsItsTerm guards against a cell that starts nothing any more while its owner stays
// a member of the group: the log takes records, but not the append that the owner repeats.
func TestOwnerWithoutProgressEndsItsTerm(t *testing.T) {
	Convey("Given an owner with running tasks", t, func() {
		c := newStore(t, 1)
		store := &refusingStore{Store: c.store}
		server := httptest.NewServer(store)
		defer server.Close()
		c.address = strings.TrimPrefix(server.URL, "http://")
		log := newFaultyLog(c, "")
		ledger := standin.NewLedger()
		for _, id := range []string{"i-0", "i-1"} {
			c.addExecutorOf(ledger, id, "r1", time.Hour)
		}
		n := c.newNode("vm-0", c.log)
		n.appendStallLimit = time.Second
		vm := c.run("vm-0", n)
		So(eventually(vm.ready), ShouldBeTrue)
		vm.call("POST", "/q/"+id1, longRunningSubmission)
		So(eventually(func() bool { return c.running() == 4 }), ShouldBeTrue)
		Convey("it ends its term if the log refuses its records alone, and the next one goes on", func() {
			refuses := func(r *http.Request) bool { return r.URL.Query().Get("epoch") == "1" }
			store.refuses.Store(&refuses)
			vm.call("POST", "/q/"+id2, homeSubmission)
			So(eventually(func() bool { return c.running() == 6 }), ShouldBeTrue)
			So(len(log.with(ownerStarted)), ShouldEqual, 2)
			So(ledger.StartCount(id1), ShouldEqual, 4)
			So(ledger.Violations(), ShouldBeEmpty)
		})
		Convey("it goes on if the log takes no records, and its tasks keep their leases", func() {
			refuses := func(*http.Request) bool { return true }
			store.refuses.Store(&refuses)
			vm.call("POST", "/q/"+id2, homeSubmission)
			time.Sleep(8 * time.Second)
			So(len(log.with(`"msg"="owner stopped"`)), ShouldEqual, 0)
			So(c.running(), ShouldEqual, 4)
			store.refuses.Store(nil)
			So(eventually(func() bool { return c.running() == 6 }), ShouldBeTrue)
			So(ledger.StartCount(id1), ShouldEqual, 4)
			So(ledger.Violations(), ShouldBeEmpty)
		})
	})
}

// An append that was only held up, as by a freeze of the VM, ends no term.
func TestStall(t *testing.T) {
	var s stall
	s.progress(time.Second)
	since := s.progressAt.Load()
	for _, c := range []struct {
		name    string
		act     func()
		stalled bool
	}{
		{"one probe", func() { s.observe(true, since) }, false},
		{"a probe without an answer", func() { s.observe(false, since) }, false},
		{"the first probe after it", func() { s.observe(true, since) }, false},
		{"the second one", func() { s.observe(true, since) }, true},
		{"progress", func() { s.progress(2 * time.Second) }, false},
		{"a probe sent before it", func() { s.observe(true, since) }, false},
		{"a probe sent after it", func() { s.observe(true, s.progressAt.Load()) }, false},
		{"a further one", func() { s.observe(true, s.progressAt.Load()) }, true},
	} {
		if c.act(); s.isStalled() != c.stalled {
			t.Errorf("after %s: stalled %v", c.name, s.isStalled())
		}
	}
	const limit = 10 * time.Second
	s = stall{}
	s.progress(time.Second)
	for now, due := range map[time.Duration]bool{5 * time.Second: false, 11 * time.Second: true} {
		if s.isDue(now, limit) != due {
			t.Errorf("a probe is due after %v: %v", now, !due)
		}
	}
	s.probedAt = 11 * time.Second
	if s.isDue(s.probedAt+writeTimeout/2, limit) || !s.isDue(s.probedAt+writeTimeout, limit) {
		t.Error("the next probe is due too early or too late")
	}
}
