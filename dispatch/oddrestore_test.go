package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// encode returns the CBOR of a record that no owner writes.
func encode(v any) []byte {
	value, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return value
}

// oddProgress are progress records of a submission with one step of two tasks that no owner
// writes.
func oddProgress() map[string][]byte {
	good := taskProgress{Run: 1, Executor: "i-0"}
	with := func(change func(*taskProgress)) []byte {
		tp := good
		change(&tp)
		return encode(progress{State: byte(submission.Running), Tasks: []taskProgress{good, tp}})
	}
	finished := func(ranges ...occurrenceRange) []byte {
		return encode(progress{State: byte(submission.Running), Tasks: []taskProgress{good}, Finished: ranges})
	}
	return map[string][]byte{
		"no CBOR":                {0xff, 0x00},
		"another type":           encode("running"),
		"truncated":              encode(progress{Tasks: []taskProgress{good}})[:5],
		"deeply nested":          slices.Repeat([]byte{0x81}, 100_000),
		"an array of 2^62":       {0x82, 0x01, 0x9b, 0x40, 0, 0, 0, 0, 0, 0, 0},
		"an unknown state":       encode(progress{State: 200, Tasks: []taskProgress{good}}),
		"a negative step":        with(func(tp *taskProgress) { tp.Step = -1 }),
		"a step out of range":    with(func(tp *taskProgress) { tp.Step = 7 }),
		"a negative index":       with(func(tp *taskProgress) { tp.Index = -1 }),
		"an index out of range":  with(func(tp *taskProgress) { tp.Index = 2 }),
		"a negative occurrence":  with(func(tp *taskProgress) { tp.Occurrence = -1 }),
		"a huge occurrence":      with(func(tp *taskProgress) { tp.Occurrence = math.MaxInt }),
		"a negative run":         with(func(tp *taskProgress) { tp.Run = -1 }),
		"a huge run":             with(func(tp *taskProgress) { tp.Run = math.MaxInt }),
		"negative failures":      with(func(tp *taskProgress) { tp.Failures = -1 }),
		"a run without a number": with(func(tp *taskProgress) { tp.Index, tp.Run = 1, 0 }),

		"finished occurrences that are no ranges":   encode([]any{submission.Running, []taskProgress{good}, 1}),
		"a finished occurrence that does not exist": finished(occurrenceRange{First: 1, End: 2}),
		"a huge finished range":                     finished(occurrenceRange{End: math.MaxInt}),
		"a negative finished range":                 finished(occurrenceRange{First: -1, End: 1}),
		"an empty finished range":                   finished(occurrenceRange{}),
		"the same finished range twice":             finished(occurrenceRange{End: 1}, occurrenceRange{End: 1}),
	}
}

// One progress record that could not be decoded failed the takeover, and each one after it;
// values out of range in a decodable one ended each owner with a panic.
func TestOddProgressRecordHoldsItsSubmissionOnly(t *testing.T) {
	Convey("Given two running submissions, and a new owner that finds an odd record of the first", t, func() {
		for name, value := range oddProgress() {
			sim := newSimulation(2, 1)
			sim.oddRecords = true
			sim.submit(idA, newSubmission(longRunning(2)))
			sim.submit(idB, newSubmission(longRunning(2)))
			sim.run(time.Second)
			So(sim.running(idA), ShouldEqual, 2)
			good := sim.stored[idA]
			sim.stored[idA] = provider.KeyedRecord{Key: idA, Value: value, Offset: 7}
			starts := sim.starts
			sim.takeOver()

			// It names the record, starts no task of its submission, and leaves its runs alone.
			So(len(sim.unreadable), ShouldEqual, 1)
			So(sim.unreadable[0].Record.Key, ShouldEqual, idA)
			sim.run(10 * time.Second)
			if sim.starts != starts || sim.running(idA) != 2 || sim.running(idB) != 2 || len(sim.violations) > 0 {
				t.Errorf("record with %s: %d further starts, %d and %d runs of 2 and 2, violations %v", name, sim.starts-starts, sim.running(idA), sim.running(idB), sim.violations)
			}
			// It keeps the record, so that an owner after it takes up a mended one.
			So(sim.stored[idA].Value, ShouldResemble, value)
			sim.stored[idA] = good
			sim.takeOver()
			So(sim.unreadable, ShouldBeEmpty)
			sim.executors[0].crash()
			sim.executors[0].listed = false
			So(sim.runUntil(20*time.Second, func() bool { return sim.running(idA) == 2 && sim.running(idB) == 2 }), ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
		}
	})
	Convey("A submission with an odd record can be cancelled, and is not handed over", t, func() {
		sim := newSimulation(2, 1)
		sim.oddRecords = true
		sim.submit(idA, newSubmission(longRunning(2)))
		sim.run(time.Second)
		sim.stored[idA] = provider.KeyedRecord{Key: idA, Value: []byte{0xff}}
		sim.takeOver()
		So(sim.core.HadRun(idA), ShouldBeTrue)
		So(sim.core.BeginHandover(idA), ShouldBeFalse)
		sim.run(time.Second)
		sim.cancel(idA)
		sim.run(2 * time.Second)
		So(sim.running(idA), ShouldEqual, 0)
		So(sim.publishedStates[idA], ShouldEqual, submission.Cancelled)
		So(sim.violations, ShouldBeEmpty)
	})
	Convey("The room of runs that are left alone is not given away", t, func() {
		sim := newSimulation(1, 1)
		sim.oddRecords = true
		sim.submit(idA, newSubmission(longRunning(8))) // all of the executor
		sim.run(time.Second)
		sim.stored[idA] = provider.KeyedRecord{Key: idA, Value: []byte{0xff}}
		sim.takeOver()
		sim.submit(idB, newSubmission(tasks(2, time.Second)))
		sim.run(5 * time.Second)
		So(sim.running(idA), ShouldEqual, 8)
		So(sim.running(idB), ShouldEqual, 0)
		So(sim.violations, ShouldBeEmpty)
	})
}

// A submission whose move or loans could not be read was started in its home cell while its
// tasks ran elsewhere.
func TestHeldSubmissionStartsNothing(t *testing.T) {
	Convey("Given a running submission of which a new owner does not know where its tasks run", t, func() {
		sim := newSimulation(2, 1)
		sim.submit(idA, newSubmission(longRunning(2)))
		sim.run(time.Second)
		s, starts := sim.accepted[idA], sim.starts
		delete(sim.accepted, idA)
		delete(sim.stored, idA) // in the cell that places it
		sim.replaceOwner(func() { sim.core.Hold(idA, s, true, sim.now) })
		sim.accepted[idA] = s
		sim.core.Submit(idA, s, sim.now)
		sim.core.TakeBack(idA, cell.Loan{Run: 1})
		sim.core.Borrow(idA, s, []cell.Loan{{Run: 1}}, sim.now)
		sim.run(5 * time.Second)
		So(sim.starts, ShouldEqual, starts)
		So(sim.running(idA), ShouldEqual, 2)
		So(sim.stored[idA].Value, ShouldBeEmpty)
		Convey("its runs are stopped once it is cancelled, and this cell publishes no state of it", func() {
			sim.publishedStates[idA] = submission.Running
			sim.cancel(idA)
			sim.run(2 * time.Second)
			So(sim.running(idA), ShouldEqual, 0)
			So(sim.publishedStates[idA], ShouldEqual, submission.Running)
		})
	})
}

// A record of crashes or of unreachable executors that could not be decoded failed each takeover; a
// negative number of crashes in it ended each owner with "index out of range".
func TestOddRecordOfCrashesOrLeasesIsSkipped(t *testing.T) {
	task := idA + ".0.0.0"
	silent := silentCrash{Executor: "i-0", Address: "i-0", StartTimeMs: 1, Shares: []taskCrashes{{Task: task, Suspicion: math.NaN()}, {Task: "...", AgeMs: -1}}}
	for name, record := range map[string]provider.KeyedRecord{
		"crashes: no CBOR":             {Key: crashesKey, Value: []byte{0xff}},
		"crashes: another type":        {Key: crashesKey, Value: encode(7)},
		"crashes: negative":            {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: task, Crashes: -1, Suspicion: 0.5}}})},
		"crashes: huge":                {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: task, Crashes: math.MaxInt, Suspicion: 1}}})},
		"crashes: NaN":                 {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: task, Crashes: 2, Suspicion: math.NaN()}}})},
		"crashes: suspicion above 1":   {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: task, Crashes: 3, Suspicion: 1e300}}})},
		"crashes: negative age":        {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: task, Crashes: 1, Suspicion: 0.5, AgeMs: math.MinInt64}}})},
		"crashes: negative run":        {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: task, Crashes: 1, Suspicion: 0.5, Run: -1}}})},
		"crashes: huge run":            {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: task, Crashes: 1, Suspicion: 0.5, Run: math.MaxInt}}})},
		"crashes: odd task":            {Key: crashesKey, Value: encode(crashes{Tasks: []taskCrashes{{Task: idA + ".0.-1.0", Crashes: 1, Suspicion: 0.5}}})},
		"crashes: odd silent crash":    {Key: crashesKey, Value: encode(crashes{Silent: []silentCrash{silent}})},
		"block: no CBOR":               {Key: crashBlockPrefix + task, Value: []byte{0xff}},
		"block: odd key":               {Key: crashBlockPrefix + idA + ".0.-1.0", Value: encode(crashBlock{})},
		"block: odd offset":            {Key: crashBlockPrefix + task, Value: encode(crashBlock{{Offset: crashBlockTasks, Crashes: 1, Suspicion: 0.5}})},
		"block: negative offset":       {Key: crashBlockPrefix + task, Value: encode(crashBlock{{Offset: -1, Crashes: 1, Suspicion: 0.5}})},
		"block: negative":              {Key: crashBlockPrefix + task, Value: encode(crashBlock{{Crashes: -1, Suspicion: 0.5}})},
		"block: NaN":                   {Key: crashBlockPrefix + task, Value: encode(crashBlock{{Crashes: 2, Suspicion: math.NaN()}})},
		"silent: another type":         {Key: silentCrashPrefix + "i-0", Value: encode(7)},
		"silent: odd submission":       {Key: silentCrashPrefix + "i-0", Value: encode(executorCrash{Address: "i-0", StartTimeMs: 1, Shares: []crashShare{{Submission: 1}}})},
		"silent: odd age":              {Key: silentCrashPrefix + "i-0", Value: encode(executorCrash{Address: "i-0", StartTimeMs: 1, Submissions: []string{idA}, Shares: []crashShare{{AgeMs: -1}}})},
		"unreachable: no CBOR":         {Key: unreachableKey, Value: []byte{0xff}},
		"unreachable: another type":    {Key: unreachableKey, Value: encode("x")},
		"unreachable: negative lease":  {Key: unreachableKey, Value: encode(unreachable{Executors: []unreachableExecutor{{ID: "i-0", LeaseMs: -100_000}}})},
		"unreachable: unlimited lease": {Key: unreachableKey, Value: encode(unreachable{Executors: []unreachableExecutor{{ID: "i-0", LeaseMs: math.MaxInt64}}})},
	} {
		Convey("A new owner that finds an odd record goes on: "+name, t, func() {
			sim := newSimulation(2, 1)
			sim.oddRecords = true
			sim.submit(idA, newSubmission(longRunning(1)))
			sim.submit(idB, newSubmission(longRunning(2)))
			sim.run(time.Second)
			sim.executors[0].partitioned = true
			sim.stored[record.Key] = record
			sim.takeOver()
			So(len(sim.unreadable), ShouldEqual, 1)
			sim.run(simulationInheritedLease + 5*time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.running(idA), ShouldEqual, 1)
			So(sim.running(idB), ShouldEqual, 2)
			So(sim.publishedStates[idA], ShouldEqual, submission.Running)
		})
	}
}
