package cell

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/colocate"
)

// TestModelRecord guards against passing malformed statistics on without an error that can be logged.
func TestModelRecord(t *testing.T) {
	s := colocate.Statistics{
		BestEffort: []string{"heavy"},
		Serving: map[string]colocate.ServingStatistics{"x": {
			UnloadedTail: 0.25, Effects: []colocate.Estimate{{Row: 0, Mean: 2, Information: 1}},
		}},
		Spread: 0.1,
	}
	Convey("A record holds the statistics of a model", t, func() {
		record, err := ModelRecord(7, s)
		So(err, ShouldBeNil)
		index, decoded, err := ParseModelRecord(record)
		So(err, ShouldBeNil)
		So(index, ShouldEqual, 7)
		So(decoded.BestEffort, ShouldResemble, s.BestEffort)
		So(decoded.Serving, ShouldResemble, s.Serving)
	})
	Convey("Malformed statistics are an error that names the figure", t, func() {
		s.Serving["x"].Effects[0].Information = -3
		record, err := ModelRecord(7, s)
		So(err, ShouldBeNil)
		_, _, err = ParseModelRecord(record)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldEqual, `model of cell 7: serving image "x": effect with row 0: information -3, want 0 to 1e+09`)
	})
}
