package interference

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/settings"
)

func TestLearned(t *testing.T) {
	Convey("Given a model that knows no pair", t, func() {
		m := NewLearnedModel(Options{})

		Convey("an unknown pair has the prior", func() {
			So(m.Slowdown("registry", "appraisal"), ShouldAlmostEqual, 1+DefaultPrior)
		})
		Convey("repeated reports reach the true pairwise slowdowns", func() {
			for range 400 {
				m.Observe("registry", []string{"appraisal"}, 1.8)
				m.Observe("registry", []string{"appraisal", "certificate"}, 2.0)
			}
			So(m.Slowdown("registry", "appraisal"), ShouldAlmostEqual, 1.8, 0.02)
			So(m.Slowdown("registry", "certificate"), ShouldAlmostEqual, 1.2, 0.02)
		})
		Convey("one report moves a pair by a bounded step only", func() {
			m.Observe("registry", []string{"appraisal"}, 1e9)
			So(m.Slowdown("registry", "appraisal"), ShouldAlmostEqual, 1+DefaultPrior+DefaultMaxStep)
		})
		Convey("a half-life forgets half", func() {
			m.Observe("registry", []string{"appraisal"}, 1e9)
			m.Decay(DefaultHalfLife)
			So(m.Slowdown("registry", "appraisal"), ShouldAlmostEqual, 1+DefaultPrior+DefaultMaxStep/2)
		})
		Convey("the number of pairs is bounded", func() {
			small := NewLearnedModel(Options{MaxPairs: 3})
			for _, k := range []string{"a", "b", "c", "d", "e"} {
				small.Observe("registry", []string{k}, 2)
			}
			So(small.Len(), ShouldEqual, 3)
		})
	})
}

func TestLearnedStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewLearnedModel(Options{})
		kinds := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			m.Observe(kinds.Draw(t, "victim"), rapid.SliceOfN(kinds, 0, 4).Draw(t, "neighbours"), rapid.Float64().Draw(t, "slowdown"))
			m.Decay(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "elapsed")))
			s := m.Slowdown(kinds.Draw(t, "v"), kinds.Draw(t, "n"))
			if math.IsNaN(s) || s < 1 || s > 1+DefaultMaxExtra {
				t.Fatalf("slowdown %v out of bounds", s)
			}
		}
	})
}

func TestController(t *testing.T) {
	equal := settings.Weights{TailLatency: 1, Throughput: 1, Evictions: 1}
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }

	Convey("Given a task whose neighbours are not throttled", t, func() {
		c := &Controller{}
		Convey("a slowdown that stays below the high limit changes nothing", func() {
			So(c.Decide(at(0), 1.4, equal), ShouldEqual, Keep)
		})
		Convey("above the limit the neighbours are throttled, later moved", func() {
			So(c.Decide(at(0), 2, equal), ShouldEqual, Throttle)
			So(c.Decide(at(10), 2, equal), ShouldEqual, Keep)
			So(c.Decide(at(20), 2, equal), ShouldEqual, Move)
			So(c.Decide(at(21), 2, equal), ShouldEqual, Keep)
		})
		Convey("between the limits nothing changes; well below, throttling ends after a wait", func() {
			So(c.Decide(at(0), 2, equal), ShouldEqual, Throttle)
			So(c.Decide(at(5), 1.4, equal), ShouldEqual, Keep)
			So(c.Decide(at(6), 1.1, equal), ShouldEqual, Keep)
			So(c.Decide(at(10), 1.4, equal), ShouldEqual, Keep)
			So(c.Decide(at(11), 1.1, equal), ShouldEqual, Keep)
			So(c.Decide(at(21), 1.1, equal), ShouldEqual, Release)
		})
		Convey("weights decide when to act and how long to wait before a move", func() {
			latency := settings.Weights{TailLatency: 4, Throughput: 1, Evictions: 1}
			So(c.Decide(at(0), 1.2, latency), ShouldEqual, Throttle)
			evictions := settings.Weights{TailLatency: 1, Throughput: 1, Evictions: 4}
			So(c.Decide(at(30), 2, evictions), ShouldEqual, Keep)
			So(c.Decide(at(80), 2, evictions), ShouldEqual, Move)
		})
	})
}
