package guard

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var testLimits = Limits{Bytes: 1 << 20, Connections: 20, ConnectionBytes: 16 << 10}

func TestCrowdGivesWay(t *testing.T) {
	Convey("Given a crowd that holds all connections with bodies that never end", t, func() {
		var l ledger
		l.limits = testLimits
		crowd := make([]*account, testLimits.Connections)
		for i := range crowd {
			crowd[i], _ = l.add(nil)
			l.setState(crowd[i], body)
			_, ok := l.charge(crowd[i], 30<<10)
			So(ok, ShouldBeTrue)
		}
		Convey("a new connection takes the place of the one that has waited longest", func() {
			a, victims := l.add(nil)
			So(a, ShouldNotBeNil)
			So(victims, ShouldResemble, crowd[:1])
			Convey("and its request the memory of the next ones", func() {
				l.setState(a, header)
				victims, ok := l.charge(a, 150<<10)
				So(ok, ShouldBeTrue)
				So(victims, ShouldNotBeEmpty)
				So(victims[0], ShouldEqual, crowd[1])
			})
		})
		Convey("one that has received more of its body keeps its place, one whose request is handled does not wait", func() {
			l.setState(crowd[0], handling)
			_, victims := l.add(nil)
			So(victims, ShouldResemble, crowd[1:2])
		})
		Convey("nothing is closed for a connection while all are handled", func() {
			for _, a := range crowd {
				l.setState(a, handling)
			}
			a, victims := l.add(nil)
			So(a, ShouldBeNil)
			So(victims, ShouldBeEmpty)
		})
		Convey("the one that has waited longest gets no more memory itself", func() {
			_, ok := l.charge(crowd[0], testLimits.Bytes)
			So(ok, ShouldBeFalse)
			So(crowd[0].open, ShouldBeTrue)
		})
	})
	Convey("Large requests that are handled leave room for a small one", t, func() {
		var l ledger
		l.limits = testLimits
		for {
			a, _ := l.add(nil)
			l.setState(a, handling)
			if _, ok := l.charge(a, 100<<10); !ok {
				break
			}
		}
		a, victims := l.add(nil)
		l.setState(a, handling)
		_, ok := l.charge(a, 20<<10)
		So(ok, ShouldBeTrue)
		So(victims, ShouldBeEmpty)
	})
}

func TestLedgerSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ledger
		l.limits = testLimits
		var accounts []*account
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "add") == 0 {
				if a, _ := l.add(nil); a != nil {
					accounts = append(accounts, a)
				}
				continue
			}
			a := rapid.SampledFrom(accounts).Draw(t, "account")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				l.setState(a, state(rapid.IntRange(int(idle), int(finishing)).Draw(t, "state")))
			case 1:
				l.charge(a, int64(rapid.IntRange(0, 200<<10).Draw(t, "bytes")))
			case 2:
				l.release(a, a.bytes)
			case 3:
				l.remove(a)
			}
			var bytes int64
			open, waiting := 0, 0
			for _, a := range accounts {
				if a.open {
					bytes += a.bytes + testLimits.ConnectionBytes
					open++
					if a.state != handling {
						waiting++
					}
				}
			}
			if bytes != l.bytes || open != l.count || waiting != l.waiting.Len() || bytes > testLimits.Bytes || open > testLimits.Connections {
				t.Fatalf("%d bytes, %d open and %d waiting, have %d, %d and %d", bytes, open, waiting, l.bytes, l.count, l.waiting.Len())
			}
		}
	})
}

func TestAdmission(t *testing.T) {
	const mb = 1 << 20
	Convey("Small requests that leave much work are refused before the collector has seen what they leave", t, func() {
		a := newAdmission(160 * mb)
		accepted := 0
		for range 600 {
			if a.admit(5*mb, 16*mb, time.Second) {
				accepted++
			}
		}
		So(accepted, ShouldEqual, 9)
		So(a.admit(1000, 16*mb, time.Second), ShouldBeTrue)
		So(a.admit(1000, 61*mb, time.Second), ShouldBeTrue) // what is in use by now is what was accepted

		Convey("and accepted again once it has, if they are done", func() {
			So(a.admit(5*mb, 16*mb, time.Second+admissionWindow), ShouldBeFalse)
			So(a.admit(5*mb, 60*mb, time.Second+3*admissionWindow), ShouldBeFalse)
			So(a.admit(5*mb, 16*mb, time.Second+6*admissionWindow), ShouldBeTrue)
		})
	})
	Convey("An empty process accepts work of any size", t, func() {
		a := newAdmission(160 * mb)
		So(a.admit(1000*mb, 16*mb, 0), ShouldBeTrue)
		So(a.admit(1000, 16*mb, 0), ShouldBeFalse)
	})
}

func TestMachine(t *testing.T) {
	Convey("The limits of all listeners together fit the machine", t, func() {
		for _, m := range []Machine{{}, {MemoryMB: 160, FDs: 4100}, {MemoryMB: 160, FDs: 500}, {MemoryMB: 536, FDs: 8192}} {
			sockets, bytes := 0, m.memory()/100*collectorShare
			for _, l := range []Limits{m.Callers(), m.Probes(), m.Probes(), m.Probes(), m.Peers()} {
				So(l.Connections, ShouldBeGreaterThan, 0)
				sockets += l.Connections
				bytes += int64(l.Connections * l.ReceiveBuffer)
			}
			So(sockets, ShouldBeLessThanOrEqualTo, m.sockets()*7/8)
			So(bytes, ShouldBeLessThanOrEqualTo, m.memory()*9/10)
		}
	})
}
