package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMeter(t *testing.T) {
	Convey("Given a tenant with the weight 2", t, func() {
		var m Meter
		tenant := &Tenant{Name: "a", Weight: 2}
		within := func(rate float64, for_, unread time.Duration, step time.Duration) (within, sent int) {
			due := 0.0
			for now := step; now <= for_; now += step {
				for due += rate * step.Seconds(); due >= 1; due-- {
					sent++
					if !m.Exceeds(tenant, time.Hour+now, unread) {
						within++
					}
				}
			}
			return within, sent
		}
		Convey("what it sends at its weight does not exceed it, also where submissions are read rarely", func() {
			for _, step := range []time.Duration{25 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second} {
				m = Meter{}
				n, sent := within(1.9, time.Minute, step, step)
				So(n, ShouldEqual, sent)
			}
		})
		Convey("of many times as much, its weight and a second's burst are within", func() {
			n, sent := within(15, 10*time.Second, 25*time.Millisecond, 25*time.Millisecond)
			So(sent, ShouldBeGreaterThan, 140)
			So(n, ShouldBeBetweenOrEqual, 20, 22)
		})
		Convey("one that has sent nothing for long may send no more than that at once", func() {
			n := 0
			for range 50 {
				if !m.Exceeds(tenant, time.Hour, 0) {
					n++
				}
			}
			So(n, ShouldEqual, 2)
			So(m.Exceeds(&Tenant{Name: "b", Weight: 0}, time.Hour, 0), ShouldBeFalse)
			So(m.Exceeds(&Tenant{Name: "b", Weight: 0}, 2*time.Hour, 0), ShouldBeTrue)
		})
	})
}
