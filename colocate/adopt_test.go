package colocate

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// predecessorStatistics are those of a model that has seen the images "light" and
// "heavy" beside the service "x".
func predecessorStatistics() Statistics {
	return Statistics{
		BestEffort: []string{"light", "heavy"},
		Serving: map[string]ServingStatistics{"x": {
			UnloadedTail: 0.22, Readings: 1000, Base: Estimate{Mean: 0.35, Information: 1000},
			Effects: []Estimate{{Row: 0, Mean: 0.31, Information: 100}, {Row: 1, Mean: 3.87, Information: 100}},
		}},
		Spread: 0.1,
	}
}

// published returns the estimates of the effects on a serving image, by best-effort
// image.
func published(s Statistics, serving string) map[string]Estimate {
	out := map[string]Estimate{}
	for _, e := range s.Serving[serving].Effects {
		out[s.BestEffort[e.Row]] = e
	}
	return out
}

// TestPublicationPanic guards against a panic in a publication between taking over and the first fit.
func TestPublicationPanic(t *testing.T) {
	Convey("A model with a reading publishes its predecessor's effects before the next fit", t, func() {
		m := NewModel()
		m.Observe(Server{Image: "x", Service: "x", Tail: 0.4}, nil, host([]string{"x"}), 0)
		m.SetPredecessor(predecessorStatistics())
		effects := published(m.Statistics(), "x")
		So(effects["light"].Mean, ShouldAlmostEqual, 0.31, 0.01)
		So(effects["heavy"].Mean, ShouldAlmostEqual, 3.87, 0.01)
	})
}

// TestEffectsOfOtherImage guards against publishing the effects of several images as one effect of another.
func TestEffectsOfOtherImage(t *testing.T) {
	Convey("A model with a reading beside another image publishes each of its predecessor's effects as that of its image", t, func() {
		m := NewModel()
		own := bestEffort("own")
		m.Observe(Server{Image: "x", Service: "x", Tail: 0.4}, []BestEffortTask{own}, host([]string{"x"}, own), 0)
		m.SetPredecessor(predecessorStatistics())
		effects := published(m.Statistics(), "x")
		So(effects["light"].Mean, ShouldAlmostEqual, 0.31, 0.01)
		So(effects["heavy"].Mean, ShouldAlmostEqual, 3.87, 0.01)
		So(effects["own"].Information, ShouldBeLessThan, 1)
	})
}

// TestEffectsWithoutBase guards against losing all effects on a serving image whose base has no information.
func TestEffectsWithoutBase(t *testing.T) {
	Convey("A predecessor's effects are published although it knows nothing of the base", t, func() {
		s := predecessorStatistics()
		x := s.Serving["x"]
		x.Base = Estimate{}
		s.Serving["x"] = x
		m := NewModel()
		m.SetPredecessor(s)
		So(published(m.Statistics(), "x"), ShouldHaveLength, 2)
	})
}
