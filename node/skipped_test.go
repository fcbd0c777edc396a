package node

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/provider"
)

// Each record that could not be read gave a line, hundreds in a second if another
// writer changed them, and no metric counted them.
func TestSkippedRecordsAreCountedAndLoggedAtABoundedRate(t *testing.T) {
	Convey("Given hundreds of records that can't be read", t, func() {
		var lines []string
		set := metrics.NewSet()
		s := newSkippedRecords(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}), set)
		skip := func(topic string, from, to int, now time.Duration) {
			for i := from; i < to; i++ {
				s.addAt(topic, provider.KeyedRecord{Key: fmt.Sprintf("k-%d", i), Offset: provider.Offset(i)}, errors.New("odd"), now)
			}
		}
		skip("servers", 0, 500, time.Second)
		skip("op", 0, 1, time.Second)
		So(set.GetOrCreateCounter(`peridotlock_records_skipped_total{topic="servers"}`).Get(), ShouldEqual, 500)
		So(len(lines), ShouldEqual, maxSkippedLines+1)
		So(lines[0], ShouldContainSubstring, `"key"="k-0"`)
		So(lines[0], ShouldContainSubstring, `"offset"=0`)
		So(lines[0], ShouldContainSubstring, `"reason"="odd"`)

		Convey("the next interval begins with the number of lines that were suppressed", func() {
			skip("servers", 500, 501, time.Second+skippedInterval)
			So(lines[len(lines)-1], ShouldContainSubstring, fmt.Sprintf(`"suppressed"=%d`, 500-maxSkippedLines))
		})
		Convey("long keys and reasons are cut", func() {
			s.addAt("progress", provider.KeyedRecord{Key: strings.Repeat("k", 255)}, errors.New(strings.Repeat("r", 1<<20)), time.Second)
			So(len(lines[len(lines)-1]), ShouldBeLessThan, 1000)
		})
	})
}
