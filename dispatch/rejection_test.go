package dispatch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// rejectsProgressOf rejects all progress of a submission but records of at most a few bytes, as a store does
// whose limit the other records exceed.
func rejectsProgressOf(id string) func(provider.KeyedRecord) bool {
	return func(r provider.KeyedRecord) bool { return strings.HasPrefix(r.Key, id) && len(r.Value) > 12 }
}

// TestRejectedProgressHoldsItsSubmissionOnly guards against a cell that starts nothing any more since the
// store rejects a record for good, and against attempts without a pause.
func TestRejectedProgressHoldsItsSubmissionOnly(t *testing.T) {
	for _, recordLimit := range []int{0, partsRecordBytes} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("limit %d, takeover %v", recordLimit, takeOver), func(t *testing.T) {
				sim := newSimulation(4, 1)
				sim.setRecordLimit(recordLimit)
				wide := newSubmission(smallTasks(wideTasks, 3*time.Second), smallTasks(4, time.Second))
				wide.Steps[1].DependsOn = []int{0}
				sim.submit(idA, wide)
				sim.run(time.Second)
				sim.rejects, sim.oddRecords = rejectsProgressOf(idA), true
				sim.run(4 * time.Second) // the runs of the first step end
				if sim.rejections == 0 || sim.running(idA) > 0 || !bytes.Equal(sim.stored[idA].Value, unstoredValue) {
					t.Fatalf("%d records were rejected, %d runs, record %x", sim.rejections, sim.running(idA), sim.stored[idA].Value)
				}
				sim.submit(idB, newSubmission(smallTasks(2, time.Second)))
				if !sim.runUntil(4*time.Second, func() bool { return sim.publishedStates[idB] == submission.Completed }) {
					t.Errorf("the other submission is %v", sim.publishedStates[idB])
				}
				sim.run(time.Second)
				for _, e := range sim.executors {
					if len(e.ends) > 0 {
						t.Errorf("%d ends on %s are not acknowledged", len(e.ends), e.id)
					}
				}
				starts := sim.starts
				if takeOver {
					sim.takeOver()
				}
				rejections := sim.rejections
				sim.run(50 * time.Second)
				if more := sim.rejections - rejections; sim.starts != starts || more > 3*(1+wideTasks/progressBlockTasks) {
					t.Errorf("%d further starts, %d rejected records in 50 s", sim.starts-starts, more)
				}
				sim.rejects = nil
				sim.run(90 * time.Second)
				want := submission.Completed
				if takeOver { // the successor does not know which tasks are done
					want = submission.Running
				}
				if sim.publishedStates[idA] != want || len(sim.violations) > 0 {
					t.Errorf("%v at the end, want %v, violations %v", sim.publishedStates[idA], want, sim.violations)
				}
				sim.cancel(idA)
				sim.run(time.Second)
				if s := sim.publishedStates[idA]; !s.IsFinal() || len(sim.progressKeys(idA)) != 1 {
					t.Errorf("%v after a cancel, records %v", s, sim.progressKeys(idA))
				}
			})
		}
	}
}

// TestEndsAreKeptUntilRejectionIsAnnounced guards against done tasks that start again: their ends were
// acknowledged, their record was rejected, and the next owner did not know that it has to hold them.
func TestEndsAreKeptUntilRejectionIsAnnounced(t *testing.T) {
	for name, rejects := range map[string]func(provider.KeyedRecord) bool{
		"not stored yet": rejectsProgressOf(idA),
		"rejected":       func(r provider.KeyedRecord) bool { return strings.HasPrefix(r.Key, idA) },
	} {
		t.Run("announcement "+name, func(t *testing.T) {
			sim := newSimulation(4, 1)
			sim.oddRecords = true
			sim.submit(idA, newSubmission(smallTasks(wideTasks, 2*time.Second), smallTasks(wideTasks, time.Hour)))
			sim.run(time.Second)
			sim.rejects = rejects
			if !sim.runUntil(10*time.Second, func() bool { return sim.rejections > 0 }) {
				t.Fatal("no record was rejected")
			}
			if name == "not stored yet" {
				sim.storeAway = true
			}
			sim.run(2 * time.Second)
			if sim.rejections > 2 {
				t.Errorf("%d records were rejected in 2 s", sim.rejections)
			}
			sim.storeAway, sim.rejects = false, nil
			starts := sim.starts
			sim.takeOver()
			sim.run(5 * time.Second)
			if sim.starts != starts || len(sim.violations) > 0 {
				t.Errorf("%d further starts, violations %v", sim.starts-starts, sim.violations)
			}
		})
	}
}

// The end of a submission whose progress is rejected is published once its record is small again.
func TestEndOfRejectedSubmissionIsPublished(t *testing.T) {
	sim := newWideSimulation(smallTasks(wideTasks, 3*time.Second))
	sim.run(time.Second)
	sim.rejects = func(r provider.KeyedRecord) bool {
		return strings.HasPrefix(r.Key, idA+blockSeparator) && len(r.Value) > 0
	}
	sim.executors[0].crash()
	sim.executors[0].start(sim.now, true)
	sim.run(time.Second)
	if sim.rejections == 0 {
		t.Fatal("no record was rejected")
	}
	sim.cancel(idA)
	sim.run(3 * minRejectionRetry)
	if sim.publishedStates[idA] != submission.Cancelled || len(sim.progressKeys(idA)) != 1 || len(sim.violations) > 0 {
		t.Errorf("%v, records %v, violations %v", sim.publishedStates[idA], sim.progressKeys(idA), sim.violations)
	}
}

// TestModelRejectedProgress simulates random faults while the store rejects records of some submissions, some
// of them for good: no task runs twice, and all other submissions end.
func TestModelRejectedProgress(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		sim := newSimulation(6, seed)
		sim.setRecordLimit(partsRecordBytes)
		sim.failRate, sim.takeoverRate, sim.storeAwayRate = 0.02, 0.1, 0.1
		sim.storeLatency, sim.partialBatches = time.Duration(seed%3)*simulationStep, true
		sim.oddRecords = true
		sim.submit(idA, newSubmission(smallTasks(wideTasks, 2*time.Second)))
		sim.rejects = func(r provider.KeyedRecord) bool {
			forGood := strings.HasPrefix(r.Key, idA) && len(r.Value) > 12
			return forGood || len(r.Value) > 0 && r.Key < "1" && sim.rng.IntN(200) == 0
		}
		runWithFaults(sim)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, sim.violations)
		}
		held := 0
		for id := range sim.accepted {
			if !sim.publishedStates[id].IsFinal() && !bytes.Equal(sim.stored[string(id)].Value, unstoredValue) && id != idA {
				t.Errorf("seed %d: submission %s is %v at the end", seed, id, sim.publishedStates[id])
			}
			if !sim.publishedStates[id].IsFinal() {
				held++
			}
		}
		if sim.rejections == 0 || held > 8 {
			t.Errorf("seed %d: %d rejections, %d submissions held", seed, sim.rejections, held)
		}
	}
}
