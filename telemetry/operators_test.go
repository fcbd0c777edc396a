package telemetry

import (
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
)

func TestProcessStartMetric(t *testing.T) {
	Convey("The metrics tell when the process started, in Unix seconds", t, func() {
		mux := NewOperatorsMux(metrics.NewSet(), func() error { return nil })
		value := func() float64 {
			answer := httptest.NewRecorder()
			mux.ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
			m := regexp.MustCompile(`(?m)^peridotlock_process_start_time_seconds (\d+\.\d{3})$`).FindStringSubmatch(answer.Body.String())
			So(m, ShouldNotBeNil)
			v, err := strconv.ParseFloat(m[1], 64)
			So(err, ShouldBeNil)
			return v
		}
		first := value()
		So(first, ShouldBeBetween, float64(time.Now().Add(-time.Hour).Unix()), float64(time.Now().Unix()+1))
		So(value(), ShouldEqual, first)
	})
}
