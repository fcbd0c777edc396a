package colocate

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
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
