package intake

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAppendLatency(t *testing.T) {
	const hedge = 120 * time.Millisecond
	Convey("Given appends that take 5 ms", t, func() {
		var l appendLatency
		for range 20 {
			l.observe(5 * time.Millisecond)
		}
		Convey("one without an answer is repeated as soon as its answer counts as lost", func() {
			So(l.repeatDelay(hedge), ShouldEqual, hedge)
			So(l.callTimeout(), ShouldEqual, callTimeout)
		})
		Convey("a record is sent to the last, also behind an append that is overdue", func() {
			So(l.isInTime(10*time.Millisecond, 0), ShouldBeTrue)
			So(l.isInTime(10*time.Millisecond, time.Second), ShouldBeTrue)
		})
		Convey("and then one that takes 1.4 s", func() {
			l.observe(1400 * time.Millisecond)

			Convey("none is repeated while it is likely to be answered", func() {
				So(l.repeatDelay(hedge), ShouldBeGreaterThan, 2*time.Second)
				So(l.callTimeout(), ShouldBeBetween, callTimeout, maxCallTimeout)
			})
			Convey("a record is refused at once if not even half of the expected time is left", func() {
				So(l.isInTime(600*time.Millisecond, 0), ShouldBeFalse)
				So(l.isInTime(800*time.Millisecond, 0), ShouldBeTrue)
				So(l.isInTime(1300*time.Millisecond, time.Millisecond), ShouldBeFalse)
				So(l.isInTime(1300*time.Millisecond, time.Second), ShouldBeTrue)
			})
			Convey("a few fast ones bring repeats back", func() {
				for range 12 {
					l.observe(5 * time.Millisecond)
				}
				So(l.repeatDelay(hedge), ShouldBeLessThan, 250*time.Millisecond)
			})
		})
		Convey("after a refusal for the length of the queue none is repeated in its caller's time", func() {
			l.observe(overloadWait)
			So(l.repeatDelay(hedge), ShouldBeGreaterThan, defaultTimeout)
			So(l.callTimeout(), ShouldEqual, maxCallTimeout)
		})
	})
}
