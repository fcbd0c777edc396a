package dispatch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

func TestFairLevel(t *testing.T) {
	Convey("The level leaves to others what a tenant does not want", t, func() {
		for _, c := range []struct {
			amount, level float64
			loads         []tenantLoad
		}{
			{12, 4, []tenantLoad{{weight: 1, demand: 100}, {weight: 2, demand: 12}}},
			{12, 10, []tenantLoad{{weight: 1, demand: 100}, {weight: 2, demand: 2}}},
			{12, 5, []tenantLoad{{weight: 1, demand: 100}, {weight: 1, demand: 10}, {weight: 5, demand: 2}, {weight: 0, demand: 9}}},
			{0, 0, []tenantLoad{{weight: 1, demand: 1}}},
			{12, math.Inf(1), []tenantLoad{{weight: 1, demand: 5}, {weight: 1, demand: 6}}},
		} {
			So(fairLevel(c.loads, c.amount), ShouldEqual, c.level)
		}
	})
}

// hotLoad sends the work of three tenants to a cell of 32 places, of which b and c need an eighth
// each. a usually has as much as both together, and sends 7.5
// times of it, in tasks that rank before theirs.
type hotLoad struct {
	*simulation
	next    int
	meter   policy.Meter
	metered bool                     // owners know which submissions exceed their tenant's weight
	sent    map[string]time.Duration // submissions of b and c without an end
	within  map[string]time.Duration // the same of a, within its weight
	waited  time.Duration            // the longest of b and c from sending to the end
	waitedA time.Duration            // the same of a, within its weight
}

func newHotLoad(tenants ...policy.Tenant) *hotLoad {
	l := &hotLoad{simulation: newSimulation(4, 1), sent: map[string]time.Duration{}, within: map[string]time.Duration{}}
	l.config = policy.New(2, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}, []policy.Service{{Name: "s", RejectsOverload: true}}, tenants...)
	l.core.SetConfig(l.config)
	return l
}

func (l *hotLoad) send(tenant string, count int, estimate time.Duration) {
	s := newSubmission(tasks(count, estimate))
	s.Tenant = tenant
	id := fmt.Sprintf("%016x", 0x2000+l.next)
	l.next++
	t := l.config.Tenant(tenant)
	exceeds := t != nil && l.meter.Exceeds(t, l.now, 0)
	s.BeyondWeight = l.metered && exceeds
	l.submit(id, s)
	switch {
	case tenant != "a":
		l.sent[id] = l.now
	case !exceeds:
		l.within[id] = l.now
	}
}

// longest removes the submissions that have ended, and returns the longest wait of all.
func (l *hotLoad) longest(sent map[string]time.Duration) time.Duration {
	longest := time.Duration(0)
	for id, at := range sent {
		if l.publishedStates[submission.ID(id)] == submission.Completed {
			delete(sent, id)
		}
		longest = max(longest, l.now-at)
	}
	return longest
}

// play sends for 20 s and replaces the owner in between if replaced is true.
func (l *hotLoad) play(replaced bool) {
	for tick := range 20 {
		for range 30 {
			l.send("a", 2, time.Second)
		}
		l.send("b", 2, 2*time.Second)
		l.send("c", 2, 2*time.Second)
		if replaced && tick == 10 {
			l.takeOver()
		}
		l.run(time.Second)
		l.waited = max(l.waited, l.longest(l.sent))
		l.waitedA = max(l.waitedA, l.longest(l.within))
	}
}

// TestSharesOfHotTenant replays a tenant that sends many times its usual work while others wait.
func TestSharesOfHotTenant(t *testing.T) {
	tenants := []policy.Tenant{{Name: "a", Weight: 8}, {Name: "b", Weight: 4}, {Name: "c", Weight: 4}}
	const bound = 6 * time.Second // of work of 2 s
	Convey("Without tenants, work waits behind that of the hot one", t, func() {
		l := newHotLoad()
		l.play(false)
		So(l.waited, ShouldBeGreaterThan, bound)
	})
	Convey("Tenants within their shares don't wait for the hot one", t, func() {
		l := newHotLoad(tenants...)
		l.play(false)
		So(l.waited, ShouldBeLessThan, bound)
		So(l.violations, ShouldBeEmpty)
	})
	Convey("What the hot tenant sends within its weight waits behind the rest of its own, unless owners know which it is", t, func() {
		l := newHotLoad(tenants...)
		l.play(false)
		So(l.waitedA, ShouldBeGreaterThan, bound)
		l = newHotLoad(tenants...)
		l.metered = true
		l.play(false)
		So(l.waitedA, ShouldBeLessThan, bound)
		So(l.waited, ShouldBeLessThan, bound)
	})
	Convey("Shares hold after the owner was replaced", t, func() {
		l := newHotLoad(tenants...)
		l.play(true)
		So(l.waited, ShouldBeLessThan, bound)
		So(l.violations, ShouldBeEmpty)
	})
	Convey("Nobody is over a share while there is room for all, or of lasting work", t, func() {
		l := newHotLoad(tenants...)
		over := func() map[string]int {
			ranks := map[*step]rank{}
			for _, st := range l.core.waiting {
				ranks[st] = st.rank(0)
			}
			slices.SortFunc(l.core.waiting, func(x, y *step) int { return compareRank(ranks[x], ranks[y]) })
			l.core.rankByShare(ranks, l.core.candidates(l.now))
			So(l.core.Stats().OverShare, ShouldEqual, len(slices.DeleteFunc(slices.Collect(maps.Values(ranks)), func(r rank) bool { return !r.overShare })))
			out := map[string]int{}
			for st, r := range ranks {
				if r.overShare {
					out[st.job.sub.Tenant]++
				}
			}
			return out
		}
		l.run(time.Second)
		l.send("a", 30, time.Minute)
		l.run(2 * time.Second)
		So(l.core.Stats().Runs, ShouldEqual, 30)
		l.send("a", 1, time.Second)
		l.send("b", 1, time.Second)
		l.core.releaseDue(0)
		So(l.core.Stats().Waiting, ShouldEqual, 2)
		So(over(), ShouldBeEmpty)
		l.send("b", 8, time.Second)
		l.core.releaseDue(0)
		So(over(), ShouldResemble, map[string]int{"a": 1})
		lasting := newSubmission(longRunning(40))
		lasting.Tenant = "a"
		l.submit(idA, lasting)
		l.core.releaseDue(0)
		So(over(), ShouldResemble, map[string]int{"a": 1})
	})
}
