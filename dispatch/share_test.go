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
// each. a usually has as much as both together, and sends 7.5 times of it, in tasks that rank before
// theirs.
type hotLoad struct {
	*simulation
	meter   policy.Meter
	metered bool // owners know which submissions exceed their tenant's weight
	next    int
	sent    map[string]time.Duration // submissions within their tenant's weight that have no end
	waited  map[string]time.Duration // by tenant, the longest from sending to the end of one of these
}

func newHotLoad(metered bool, tenants ...policy.Tenant) *hotLoad {
	l := &hotLoad{simulation: newSimulation(4, 1), metered: metered, sent: map[string]time.Duration{}, waited: map[string]time.Duration{}}
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
	if !exceeds {
		l.sent[id] = l.now
	}
	s.BeyondWeight = l.metered && exceeds
	l.submit(id, s)
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
		for id, at := range l.sent {
			if l.publishedStates[submission.ID(id)] == submission.Completed {
				delete(l.sent, id)
			}
			tenant := l.accepted[submission.ID(id)].Tenant
			l.waited[tenant] = max(l.waited[tenant], l.now-at)
		}
	}
	So(l.violations, ShouldBeEmpty)
}

// TestSharesOfHotTenant replays a tenant that sends many times its usual work while others wait.
func TestSharesOfHotTenant(t *testing.T) {
	tenants := []policy.Tenant{{Name: "a", Weight: 4}, {Name: "b", Weight: 2}, {Name: "c", Weight: 2}}
	for _, c := range []struct {
		name              string
		tenants           []policy.Tenant
		metered, replaced bool
		inTime            map[string]bool // work of 2 s at most ends within 6 s
	}{
		{"Without tenants, work waits behind that of the hot one", nil, false, false, map[string]bool{}},
		{"Tenants within their shares don't wait for the hot one, whose own work waits", tenants, false, false, map[string]bool{"b": true, "c": true}},
		{"The same holds after the owner was replaced", tenants, false, true, map[string]bool{"b": true, "c": true}},
		{"Nor does what the hot one sends within its weight, if owners know which it is", tenants, true, true, map[string]bool{"a": true, "b": true, "c": true}},
	} {
		Convey(c.name, t, func() {
			l := newHotLoad(c.metered, c.tenants...)
			l.play(c.replaced)
			for tenant, waited := range l.waited {
				So(waited < 6*time.Second, ShouldEqual, c.inTime[tenant])
			}
			So(l.waited, ShouldHaveLength, 3)
		})
	}
	Convey("Nobody is over a share while there is room for all, or of lasting work", t, func() {
		l := newHotLoad(false, tenants...)
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
