package colocate

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
)

// TestExtremeReadings guards against readings after which a service counts as never or always congested.
func TestExtremeReadings(t *testing.T) {
	for _, tail := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, math.SmallestNonzeroFloat64} {
		m, truth := trainedModel(newGroundTruth(1), 150), newGroundTruth(2)
		h := host([]string{"sensitive"})
		for range 100 {
			m.Observe(Server{Image: "sensitive", Service: "sensitive", Tail: tail}, nil, h, 15*time.Second)
		}
		for i := range 1000 {
			at := 16*time.Second + time.Duration(i)*100*time.Millisecond
			beside := host([]string{"sensitive"}, []BestEffortTask{bestEffort("heavy")}[:i%2]...)
			m.Observe(Server{Image: "sensitive", Service: "sensitive", Tail: truth.tail("sensitive", beside)}, beside.BestEffort, beside, at)
			m.Fit()
		}
		Convey("The model is of use again after 1000 ordinary readings", t, func() {
			So(m.image("sensitive").unloadedTail, ShouldBeBetween, 0.05, 0.5)
			So(m.Effect("sensitive", "heavy"), ShouldBeBetween, 2.0, 10.0)
			So(m.spread, ShouldBeBetween, 0.001, 1.0)
		})
	}
}

// TestSpreadOfExactReadings guards against a model whose spread is 0, which scores hosts with NaN.
func TestSpreadOfExactReadings(t *testing.T) {
	Convey("Readings that the model predicts exactly, and many tasks on a small host, give finite scores", t, func() {
		m := NewModel()
		h := host([]string{"x"})
		for i := range minNewReadings {
			m.Observe(Server{Image: "x", Service: "x", Tail: priorUnloadedTail / (1 - priorBase)}, nil, h, time.Duration(i)*time.Millisecond)
		}
		m.Fit()
		So(m.spread, ShouldBeGreaterThan, 0)
		small := host([]string{"x"})
		small.Size.MilliCPU = 1
		for range 100 {
			small.BestEffort = append(small.BestEffort, bestEffort("y"))
		}
		gain := m.gain(small, m.interferenceAtFullPace(small), 0)
		So(math.IsNaN(gain) || math.IsInf(gain, 0), ShouldBeFalse)
		So(m.Pace(small, 0), ShouldHaveLength, 100)
	})
}

// TestMalformedStatistics guards against statistics after which a model has figures that are not finite.
func TestMalformedStatistics(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	withServing := func(change func(*ServingStatistics)) func(*Statistics) {
		return func(s *Statistics) {
			x := s.Serving["x"]
			change(&x)
			s.Serving["x"] = x
		}
	}
	effect := func(e Estimate) func(*Statistics) {
		return withServing(func(x *ServingStatistics) { x.Effects[1] = e })
	}
	malformed := map[string]func(*Statistics){
		"row below 0":              effect(Estimate{Row: -1}),
		"row beyond the images":    effect(Estimate{Row: 2}),
		"two effects of one row":   effect(Estimate{Row: 0, Mean: 1, Information: 1}),
		"mean NaN":                 effect(Estimate{Row: 1, Mean: float32(nan), Information: 1}),
		"mean infinite":            effect(Estimate{Row: 1, Mean: float32(inf), Information: 1}),
		"mean too large":           effect(Estimate{Row: 1, Mean: math.MaxFloat32, Information: 1}),
		"information NaN":          effect(Estimate{Row: 1, Mean: 1, Information: float32(nan)}),
		"information infinite":     effect(Estimate{Row: 1, Mean: 1, Information: float32(inf)}),
		"information too large":    effect(Estimate{Row: 1, Mean: 1, Information: math.MaxFloat32}),
		"information negative":     effect(Estimate{Row: 1, Mean: 1, Information: -0.02}),
		"base information NaN":     withServing(func(x *ServingStatistics) { x.Base.Information = float32(nan) }),
		"base information < 0":     withServing(func(x *ServingStatistics) { x.Base.Information = -1000 }),
		"base of a row":            withServing(func(x *ServingStatistics) { x.Base.Row = 1 }),
		"readings negative":        withServing(func(x *ServingStatistics) { x.Readings = -1 }),
		"readings too many":        withServing(func(x *ServingStatistics) { x.Readings = math.MaxInt }),
		"unloaded tail 0":          withServing(func(x *ServingStatistics) { x.UnloadedTail = 0 }),
		"unloaded tail NaN":        withServing(func(x *ServingStatistics) { x.UnloadedTail = nan }),
		"unloaded tail too large":  withServing(func(x *ServingStatistics) { x.UnloadedTail = 1e300 }),
		"spread NaN":               func(s *Statistics) { s.Spread = nan },
		"spread infinite":          func(s *Statistics) { s.Spread = inf },
		"spread negative":          func(s *Statistics) { s.Spread = -1 },
		"spread too small":         func(s *Statistics) { s.Spread = 1e-300 },
		"constant error NaN":       func(s *Statistics) { s.Periods.Constant = float32(nan) },
		"seasonal error NaN":       func(s *Statistics) { s.Periods.Seasonal = []float32{float32(nan)} },
		"seasonal error negative":  func(s *Statistics) { s.Periods.Seasonal = []float32{-1} },
		"seasonal error too large": func(s *Statistics) { s.Periods.Seasonal = []float32{math.MaxFloat32} },
		"image twice":              func(s *Statistics) { s.BestEffort[1] = s.BestEffort[0] },
		"too many best-effort images": func(s *Statistics) {
			for i := range maxImages {
				s.BestEffort = append(s.BestEffort, strconv.Itoa(i))
			}
		},
		"too many serving images": func(s *Statistics) {
			for i := range maxImages {
				s.Serving[strconv.Itoa(i)] = ServingStatistics{UnloadedTail: 0.2}
			}
		},
	}
	for name, change := range malformed {
		Convey("Statistics are ignored, and the last good ones stay: "+name, t, func() {
			m := NewModel()
			m.SetPredecessor(predecessorStatistics())
			m.SetPeer(1, predecessorStatistics())
			before := m.Statistics()
			effect := m.Effect("x", "heavy")
			s := predecessorStatistics()
			change(&s)
			So(s.Validate(), ShouldNotBeNil)
			m.SetPredecessor(s)
			m.SetPeer(1, s)
			So(m.Statistics(), ShouldResemble, before)
			So(m.Effect("x", "heavy"), ShouldEqual, effect)
			So(m.spread, ShouldEqual, 0.1)
		})
	}
	Convey("Statistics of a model are valid", t, func() {
		So(predecessorStatistics().Validate(), ShouldBeNil)
		So(Statistics{}.Validate(), ShouldBeNil)
		So(NewModel().Statistics().Validate(), ShouldBeNil)
		So(trainedModel(newGroundTruth(1), 300).Statistics().Validate(), ShouldBeNil)
	})
}

// TestImageLimit guards against a fit whose time and a record whose size grow with each image ever seen.
func TestImageLimit(t *testing.T) {
	Convey("Given a model that meets a new serving and best-effort image every 500 ms", t, func() {
		const images = 2 * maxImages
		m := NewModel()
		name := func(prefix string, i int) string { return prefix + strconv.Itoa(i) }
		observe := func(i int, tail float64) bool {
			task := bestEffort(name("batch", i))
			h := host([]string{name("service", i)}, task)
			ok := true
			for range 5 {
				_, observed := m.Observe(Server{Image: name("service", i), Service: "s", Tail: tail}, h.BestEffort, h, time.Duration(i)*500*time.Millisecond)
				ok = ok && observed
			}
			return ok
		}
		for i := range images {
			observe(i, 0.5)
			m.Fit()
			if len(m.bestEffort) > maxImages || len(m.serving) > maxImages {
				t.Fatalf("%d best-effort and %d serving images, want at most %d", len(m.bestEffort), len(m.serving), maxImages)
			}
		}
		Convey("those without a reading in the window and without statistics of others make room for new ones", func() {
			So(observe(images, 0.5), ShouldBeTrue)
			fitted := images - minNewReadings/5 // is in the newest fit
			s := m.Statistics()
			So(s.Validate(), ShouldBeNil)
			So(published(s, name("service", fitted)), ShouldContainKey, name("batch", fitted))
			So(published(s, name("service", fitted)), ShouldHaveLength, 1)
			So(s.Serving, ShouldNotContainKey, name("service", 0))
		})
		Convey("further images of other models have the priors, and the effects of known ones stay", func() {
			known := m.Effect(name("service", images-1), name("batch", images-1))
			for i := range 2 * maxPeers {
				s := Statistics{Serving: map[string]ServingStatistics{}, Spread: 0.1}
				effects := make([]Estimate, 0, maxImages)
				for row := range maxImages {
					s.BestEffort = append(s.BestEffort, name("b", i*maxImages+row))
					effects = append(effects, Estimate{Row: row, Mean: 3, Information: 10})
				}
				for row := range maxImages {
					s.Serving[name("p", i*maxImages+row)] = ServingStatistics{UnloadedTail: 0.25, Effects: effects}
				}
				m.SetPeer(i, s)
			}
			So(len(m.peers), ShouldEqual, maxPeers)
			So(len(m.bestEffort), ShouldBeLessThanOrEqualTo, maxImages)
			So(len(m.serving), ShouldBeLessThanOrEqualTo, maxImages)
			So(m.Effect(name("p", 0), name("b", 2*maxImages)), ShouldEqual, priorEffect)
			So(m.Effect(name("service", images-1), name("batch", images-1)), ShouldEqual, known)
			So(m.Statistics().Validate(), ShouldBeNil)
		})
	})
}

// fullModel returns a model with as many images as are allowed, each pair seen, that
// has peers with statistics of all of them.
func fullModel() *Model {
	rng, m := rand.New(rand.NewPCG(1, 1)), NewModel()
	for i := range maxReadings {
		h := host([]string{"service" + strconv.Itoa(rng.IntN(maxImages))})
		for range 4 {
			h.BestEffort = append(h.BestEffort, bestEffort("batch"+strconv.Itoa(rng.IntN(maxImages))))
		}
		m.Observe(Server{Image: h.Servers[0].Image, Service: "s", Tail: 0.3 + 0.4*rng.Float64()}, h.BestEffort, h, time.Duration(i)*readingWindow/maxReadings)
	}
	m.Fit()
	s := m.Statistics()
	for i := range 30 {
		m.SetPeer(i, s)
	}
	return m
}

// BenchmarkFullModel measures the largest fit and publication, and taking up the
// largest statistics.
func BenchmarkFullModel(b *testing.B) {
	m := fullModel()
	s := m.Statistics()
	b.Run("fit", func(b *testing.B) {
		for b.Loop() {
			m.readingsSinceFit = minNewReadings
			m.Fit()
		}
	})
	b.Run("publication", func(b *testing.B) {
		for b.Loop() {
			m.Statistics()
		}
	})
	b.Run("peer", func(b *testing.B) {
		for b.Loop() {
			m.SetPeer(1, s)
		}
	})
	b.Run("peer of an empty model", func(b *testing.B) {
		for b.Loop() {
			NewModel().SetPeer(1, s)
		}
	})
}

// TestScoreOfHostWithoutProcessors guards against scores that are no number, next to which a host
// that fits well is never the best.
func TestScoreOfHostWithoutProcessors(t *testing.T) {
	Convey("Given a host that has shrunk to no processors, and a task that uses none", t, func() {
		m, h := NewModel(), &Host{Size: fleet.Resources{MemoryMB: 4000}}
		task := BestEffortTask{Image: "light", Pace: 1}

		Convey("all its scores are numbers", func() {
			reserved, ok := m.ScoreReserved(fleet.Resources{MemoryMB: 1000}, h)
			So(ok && isFinite(reserved), ShouldBeTrue)
			score, _ := m.ScoreBestEffort(task, fleet.Resources{MemoryMB: 1000}, h)
			So(math.IsNaN(score), ShouldBeFalse)
			score, _ = m.ScoreOverdue(task, fleet.Resources{MemoryMB: 1000}, h, true)
			So(isFinite(score), ShouldBeTrue)
		})
	})
}
