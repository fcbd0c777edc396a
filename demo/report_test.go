package demo

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/standin/caller"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

func TestVerdict(t *testing.T) {
	Convey("Verification fails if anything was lost, executed twice or misreported", t, func() {
		So(verdict{}.passed(), ShouldBeTrue)
		faults := []verdict{
			{requests: caller.Summary{Lost: 1}},
			{requests: caller.Summary{Duplicated: 1}},
			{requests: caller.Summary{Misreported: 1}},
			{requests: caller.Summary{Watches: 1}},
			{ledger: ledger.Summary{Violations: []ledger.Violation{{Kind: ledger.DoubleRun}}}},
			{unfinished: []string{"a"}},
			{misreports: []string{"a"}},
			{lateStarts: make([]ledger.Run, 1)},
			{failures: []string{"a"}},
		}
		for _, v := range faults {
			So(v.passed(), ShouldBeFalse)
		}
	})
}
