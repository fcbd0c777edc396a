package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/dispatch"
)

func TestFirstStartMetrics(t *testing.T) {
	Convey("Waits for the first start are counted by class, and the classes are few", t, func() {
		set := metrics.NewSet()
		m := newOwnerMetrics(set)
		text := func() string {
			var b bytes.Buffer
			set.WritePrometheus(&b)
			return b.String()
		}
		So(text(), ShouldNotContainSubstring, "peridotlock_first_start_seconds")
		m.firstStarts.record([]dispatch.FirstStart{{Wait: 2 * time.Second}, {Wait: 4 * time.Second}, {Class: dispatch.StartClasses - 1, Wait: time.Second}})
		So(text(), ShouldContainSubstring, `peridotlock_first_start_seconds_sum{kind="long_running",priority="0",tasks="1"} 6`+"\n")
		So(text(), ShouldContainSubstring, `peridotlock_first_start_seconds_count{kind="long_running",priority="0",tasks="1"} 2`+"\n")
		So(text(), ShouldContainSubstring, `peridotlock_first_start_seconds_count{kind="best_effort",priority="3+",tasks="32+"} 1`+"\n")

		var first, second dispatch.Stats
		first.NotStarted[1], second.NotStarted[1] = 3, 2
		m.replace(dispatch.Stats{}, first)
		m.replace(dispatch.Stats{}, second)
		So(text(), ShouldContainSubstring, `peridotlock_steps_not_started{kind="long_running",priority="0",tasks="2-7"} 5`+"\n")
		m.replace(first, dispatch.Stats{})
		So(text(), ShouldContainSubstring, `peridotlock_steps_not_started{kind="long_running",priority="0",tasks="2-7"} 2`+"\n")

		var all []dispatch.FirstStart
		for class := range dispatch.StartClass(dispatch.StartClasses) {
			all = append(all, dispatch.FirstStart{Class: class})
		}
		m.firstStarts.record(all)
		So(strings.Count(text(), "peridotlock_first_start_seconds_count"), ShouldEqual, 48)
	})
}
