package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// TestShares checks that the shares of all entries together never exceed the
// slots of an endpoint, and use all of them when there are enough.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		var live []string
		for i := range n {
			live = append(live, fmt.Sprint("entry-", i))
		}
		endpoint := rapid.String().Draw(t, "endpoint")
		total := 0
		for _, e := range live {
			total += Share(slots, endpoint, e, live)
		}
		if want := max(slots, n); total != want {
			t.Fatalf("shares add up to %d, want %d", total, want)
		}
	})
}

func testSet(endpoints, remote int) (*Set, *settings.View, []platform.VM) {
	view := &settings.View{Domains: []settings.FailureDomain{
		{Path: "a", Region: "home"}, {Path: "b", Region: "home"}, {Path: "c", Region: "away"},
	}}
	var vms []platform.VM
	for i := range endpoints + remote {
		domain := fleet.Path("a")
		if i >= endpoints {
			domain = "c"
		}
		vms = append(vms, platform.VM{ID: fmt.Sprint("e", i), Kind: platform.KindEndpoint, State: platform.VMLive,
			FailureDomain: domain, Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), Slots: 2})
	}
	set := NewSet("s")
	NewRegistry("self", "a").Update(view, vms, []*Set{set})
	return set, view, vms
}

func TestAcquire(t *testing.T) {
	now := time.Unix(100, 0)
	Convey("Given a set of two endpoints with two slots each, and one across the link", t, func() {
		set, _, _ := testSet(2, 1)
		Convey("four requests get a slot, spread evenly, and the fifth none", func() {
			held := make(map[string]int)
			for range 4 {
				slot := set.Acquire(Choice{Now: now})
				So(slot, ShouldNotBeNil)
				held[slot.Endpoint.ID]++
			}
			So(held, ShouldResemble, map[string]int{"e0": 2, "e1": 2})
			So(set.Acquire(Choice{Now: now}), ShouldBeNil)

			Convey("but across the link, as far as its budget goes", func() {
				link := &Link{}
				toll := &Toll{Link: link, Bytes: 600, Rate: 1000}
				slot := set.Acquire(Choice{Now: now, Toll: toll})
				So(slot.Remote, ShouldBeTrue)
				So(set.Acquire(Choice{Now: now, Toll: toll}), ShouldBeNil)
				So(link.Bytes(), ShouldEqual, 600)
			})
		})
		Convey("a released slot is free again, once", func() {
			slot := set.Acquire(Choice{Now: now})
			slot.ReleaseEarly()
			slot.Release()
			slot.Release()
			So(slot.Endpoint.InFlight(), ShouldEqual, 0)
		})
		Convey("a failing endpoint is ejected, the cap keeps the other, and a probe restores it", func() {
			bad, good := set.members.Load().local[0].endpoint, set.members.Load().local[1].endpoint
			So(set.Fail(bad, now), ShouldBeFalse)
			So(set.Fail(bad, now), ShouldBeFalse)
			set.members.Load().eject = 1
			So(set.Fail(bad, now), ShouldBeTrue)
			So(set.FailConnect(good, now), ShouldBeFalse)
			for range 2 {
				So(set.Acquire(Choice{Now: now, Probe: true}).Endpoint, ShouldEqual, good)
			}
			So(set.Fail(bad, now), ShouldBeFalse)
			later := now.Add(minEjection)
			So(set.Acquire(Choice{Now: later}), ShouldBeNil)
			bad.Health.Reach()
			probe := set.Acquire(Choice{Now: later, Probe: true})
			So(probe.Endpoint, ShouldEqual, bad)
			So(set.Acquire(Choice{Now: later, Probe: true}), ShouldBeNil)
			So(set.Succeed(bad), ShouldBeTrue)
			So(set.Acquire(Choice{Now: later}).Endpoint, ShouldEqual, bad)
		})
		Convey("an endpoint that keeps silent on renewed connections is to blame", func() {
			bad := set.members.Load().local[0].endpoint
			So(bad.Health.Renew(), ShouldBeTrue)
			So(bad.Health.Renew(), ShouldBeFalse)
			bad.Health.Succeed()
			So(bad.Health.Renew(), ShouldBeTrue)
		})
	})
}

func TestLatencyTail(t *testing.T) {
	Convey("The tail settles between the common and the rare latency", t, func() {
		var l Latency
		for i := range 20000 {
			d := 10 * time.Millisecond
			if i%200 == 0 {
				d = 100 * time.Millisecond
			}
			l.Observe(d)
		}
		So(l.Tail(), ShouldBeBetween, 8*time.Millisecond, 30*time.Millisecond)
	})
}

func TestLimit(t *testing.T) {
	Convey("The limit falls on queueing and returns to the share", t, func() {
		var l Limit
		l.SetShare(4)
		now := time.Unix(100, 0)
		const mean = 12 * time.Millisecond
		l.Observe(10*time.Millisecond, mean, now)
		for range 20 {
			now = now.Add(time.Second)
			l.Observe(50*time.Millisecond, mean, now)
		}
		So(l.Value(), ShouldEqual, 2)
		for range 20 {
			l.Observe(12*time.Millisecond, mean, now)
		}
		So(l.Value(), ShouldEqual, 4)

		Convey("and stays where all endpoints are slow", func() {
			for range 20 {
				now = now.Add(time.Second)
				l.Observe(50*time.Millisecond, 45*time.Millisecond, now)
			}
			So(l.Value(), ShouldEqual, 4)
		})
	})
}
