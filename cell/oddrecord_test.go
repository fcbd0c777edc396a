package cell

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// odd returns a record with a CBOR value that no VM writes.
func odd(key string, v any) provider.KeyedRecord {
	value, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return provider.KeyedRecord{Key: key, Value: value}
}

// oddRecords are records about the submission id, loads and the layout that no VM writes.
func oddRecords() []provider.KeyedRecord {
	records := []provider.KeyedRecord{
		{Key: string(id) + stateSuffix, Value: []byte{200}}, // was final: the submission never ran
		{Key: string(id) + stateSuffix, Value: []byte{1, 2}},
		{Key: string(id) + moveSuffix, Value: []byte{9}}, // of 3 cells
		{Key: string(id) + moveSuffix, Value: []byte{0, 0}},
		odd(layoutKey, Layout{Cells: -1}),
		odd(layoutKey, Layout{Cells: math.MaxInt}),
		odd(layoutKey, Layout{Cells: 1, MinOwnerCores: math.NaN()}),
		odd(layoutKey, Layout{Cells: 2, Racks: map[string]int{"r": 7}}),
		odd(layoutKey, Layout{Cells: 2, Racks: map[string]int{"r": -7}}),
		odd(loadPrefix+"-1", Load{}),
		odd(loadPrefix+"9999999", Load{}),
		odd(loadPrefix+"1", Load{Free: fleet.Resources{MilliCPU: math.MaxInt64}}),
		odd(loadPrefix+"1", Load{SpareMilliCPU: math.MinInt64}),
		odd(loadPrefix+"1", Load{Gaps: []Gap{{Size: fleet.Resources{MilliCPU: math.MaxInt64}}}}),
		odd(string(id)+returnSuffix+"-1", []Loan{{Run: 2}}),
		odd(string(id)+returnSuffix+"1", []Loan{{Cell: 1, Run: math.MaxInt}}),
	}
	for _, loan := range []Loan{
		{Cell: -1}, {Cell: 9999}, {Step: -1}, {Index: -1}, {Occurrence: -1}, {Run: -1}, {Run: math.MaxInt}, {Crashes: -1},
		{Suspicion: math.NaN()}, {Suspicion: 2}, {CrashAgeMs: -1}, {CrashAgeMs: math.MaxInt64},
	} {
		records = append(records, odd(string(id)+loanSuffix, []Loan{loan}))
	}
	for _, suffix := range []string{"", loanSuffix, returnSuffix + "1"} {
		records = append(records,
			provider.KeyedRecord{Key: string(id) + suffix, Value: []byte{0xff}},
			provider.KeyedRecord{Key: string(id) + suffix, Value: slices.Repeat([]byte{0x81}, 100_000)},
			odd(string(id)+suffix, "text"))
	}
	return records
}

// Unknown states were final, cells out of range had no owner, and numbers out of range in loans
// ended the owners of both cells.
func TestOddRecordKeepsLastGoodValue(t *testing.T) {
	s := submission.Submission{Queue: "q", Steps: []submission.Step{{Count: 2, LongRunning: true}}}
	good := func(replica *Replica) {
		layout, err := LayoutRecord(Layout{Cells: 3})
		So(err, ShouldBeNil)
		loan, err := LoanRecord(id, []Loan{{Cell: 1, Run: 1}})
		So(err, ShouldBeNil)
		returned, err := ReturnRecord(id, 1, []Loan{{Cell: 1, Index: 1, Run: 2}})
		So(err, ShouldBeNil)
		load, err := LoadRecord(1, Load{Free: fleet.Resources{MilliCPU: 5}})
		So(err, ShouldBeNil)
		for _, r := range []provider.KeyedRecord{layout, accepted(s), StateRecord(id, submission.Running), MoveRecord(id, 2), loan, returned, load} {
			So(replica.Apply(r, 0), ShouldBeNil)
		}
	}
	Convey("A replica that knows good records skips odd ones of the same keys", t, func() {
		replica := NewReplica()
		good(replica)
		before, _ := replica.Lookup(id)
		for _, r := range oddRecords() {
			err := replica.Apply(r, 0)
			after, _ := replica.Lookup(id)
			isIgnored := r.Key == string(id) // only the first one counts
			if err == nil && !isIgnored {
				t.Errorf("record of key %q with value %.20x was accepted", r.Key, r.Value)
			}
			So(after, ShouldResemble, before)
			So(len(replica.loads), ShouldEqual, 1)
			So(replica.loads[1].Free.MilliCPU, ShouldEqual, 5)
			So(replica.Layout().Cells, ShouldEqual, 3)
		}
		So(before.Cell, ShouldEqual, 2)
		So(before.Unreadable, ShouldBeFalse)
	})
	Convey("A replica that first reads an odd layout has none, and takes the next good one", t, func() {
		for _, r := range oddRecords() {
			if r.Key == layoutKey {
				replica := NewReplica()
				So(replica.Apply(r, 0), ShouldNotBeNil)
				So(replica.Layout().Cells, ShouldEqual, 0)
				good(replica)
				So(replica.Layout().Cells, ShouldEqual, 3)
			}
		}
	})
	Convey("A replica that first reads an odd move or loan doesn't know where tasks run, until it is mended", t, func() {
		for _, r := range oddRecords() {
			if !strings.HasSuffix(r.Key, moveSuffix) && !strings.HasSuffix(r.Key, loanSuffix) && !strings.Contains(r.Key, returnSuffix+"1") {
				continue
			}
			for _, isFirst := range []bool{true, false} { // before its submission, or after it
				replica := NewReplica()
				layout, err := LayoutRecord(Layout{Cells: 3})
				So(err, ShouldBeNil)
				So(replica.Apply(layout, 0), ShouldBeNil)
				if isFirst {
					So(replica.Apply(r, 0), ShouldNotBeNil)
				}
				So(replica.Apply(accepted(s), 0), ShouldBeNil)
				if !isFirst {
					So(replica.Apply(r, 0), ShouldNotBeNil)
				}
				e, _ := replica.Lookup(id)
				So(e.Unreadable, ShouldBeTrue)
				good(replica)
				e, _ = replica.Lookup(id)
				So(e.Unreadable, ShouldBeFalse)
				So(e.Cell, ShouldEqual, 2)
			}
		}
	})
	Convey("A submission that no VM would accept is skipped", t, func() {
		for _, step := range []submission.Step{{Count: math.MaxInt}, {Count: 1, DependsOn: []int{5}}, {Count: 1, DependsOn: []int{-1}}, {Count: 1, Size: fleet.Resources{MilliCPU: math.MaxInt64}}} {
			replica := NewReplica()
			So(replica.Apply(accepted(submission.Submission{Queue: "q", Steps: []submission.Step{step}}), 0), ShouldNotBeNil)
			_, known := replica.Lookup(id)
			So(known, ShouldBeFalse)
			So(replica.Apply(accepted(s), 0), ShouldBeNil)
		}
	})
	Convey("The number of queued submissions follows each change of the state", t, func() {
		replica := NewReplica()
		So(replica.Apply(accepted(s), 0), ShouldBeNil)
		for _, state := range []submission.State{submission.Running, submission.Queued, submission.Running, submission.Completed} {
			So(replica.Apply(StateRecord(id, state), 0), ShouldBeNil)
		}
		So(replica.Queued("q"), ShouldEqual, 0)
	})
}
