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
