package dispatch

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// FuzzRestore checks that no stored record ends an owner or has a task of another submission run
// twice or not at all.
func FuzzRestore(f *testing.F) {
	for _, value := range oddProgress() {
		f.Add(idA, value, unreachableKey, []byte{0xff})
	}
	crash := taskCrashes{Task: idA + ".0.0.0", Crashes: -1, Suspicion: math.NaN()}
	f.Add(crashesKey, encode(crashes{Tasks: []taskCrashes{crash}, Silent: []silentCrash{{Executor: "i-0", Shares: []taskCrashes{crash}}}}),
		unreachableKey, encode(unreachable{Executors: []unreachableExecutor{{ID: "i-0", LeaseMs: -1}, {ID: "i-1", LeaseMs: math.MaxInt64}}}))
	f.Add(idA, encode(progress{State: byte(submission.Running), Finished: occurrenceRanges{{End: 1}}}), unreachableKey, []byte{0xff})
	f.Add(idA, encode(unfinishedProgress{State: byte(submission.Running), Tasks: []taskProgress{{Run: 1, Executor: "i-9"}}}), unreachableKey, []byte{0xff})
	f.Add(idA, encode(progress{State: byte(submission.Running), Tasks: []taskProgress{{Run: 1, Executor: "i-9"}}}), crashesKey,
		encode(crashes{Instances: []executorInstance{{Executor: "i-9", StartTimeMs: -1, Address: "i-0"}}}))
	f.Add(crashBlockPrefix+idA+".0.0.0", encode(crashBlock{{Offset: 1, Crashes: 5, Suspicion: 0.9}, {Offset: 200}}),
		silentCrashPrefix+"i-0", encode(executorCrash{Address: "i-1", Submissions: []string{idA}, Shares: []crashShare{{Index: 1, Suspicion: 0.1, AgeMs: 1}, {Submission: 1}}}))
	f.Add(crashBlockPrefix+idA+".0.0.9223372036854775807", encode(crashBlock{{Crashes: 1}}), silentCrashPrefix, encode(executorCrash{}))
	list := encode(splitProgress{State: byte(submission.Running), Finished: occurrenceRanges{}, Blocks: []blockRange{{End: 1}}})
	f.Add(idA, list, idA+"/0.0", encode([]taskProgress{{Run: 1, Executor: "i-0"}, {Run: 1, Executor: "i-0"}, {Index: 1, Run: -1}}))
	f.Add(idA, list, idA+"/0.00", encode([]taskProgress{{Done: true}}))
	f.Add(idA+"/9223372036854775807.1", []byte{0x80}, idA, encode(splitProgress{Blocks: []blockRange{{Group: math.MaxInt, First: 1, End: 2}}}))
	f.Fuzz(func(t *testing.T, key1 string, value1 []byte, key2 string, value2 []byte) {
		sim := newSimulation(2, 1)
		sim.oddRecords = true
		sim.submit(idA, newSubmission(longRunning(2)))
		sim.submit(idB, newSubmission(longRunning(2)))
		sim.run(time.Second)
		for key, value := range map[string][]byte{key1: value1, key2: value2} {
			if strings.Contains(key, idB) || bytes.Contains(value, []byte(idB)) {
				return // it may state anything about the other submission
			}
			sim.stored[key] = provider.KeyedRecord{Key: key, Value: value}
		}
		sim.takeOver()
		sim.run(3 * time.Second)
		sim.takeOver()
		sim.run(3 * time.Second)
		if n := sim.running(idB); n != 2 {
			t.Fatalf("%d runs of the other submission, want 2", n)
		}
		for _, v := range sim.violations {
			if strings.Contains(v, idB) {
				t.Error(v)
			}
		}
	})
}
