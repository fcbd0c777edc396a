package dispatch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

const (
	// partsRecordBytes, as owners' limit of records, makes them store all but the smallest progress in blocks.
	partsRecordBytes = 600
	wideTasks        = 100
)

func smallTasks(count int, estimate time.Duration) submission.Step {
	s := tasks(count, estimate)
	s.Size = fleet.Resources{MilliCPU: 100, MemoryMB: 50}
	return s
}

// progressKeys returns the keys of the stored progress of a submission.
func (sim *simulation) progressKeys(id string) []string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(sim.stored)) {
		if strings.HasPrefix(key, id) && len(sim.stored[key].Value) > 0 {
			out = append(out, key)
		}
	}
	return out
}

func newWideSimulation(steps ...submission.Step) *simulation {
	sim := newSimulation(4, 1)
	sim.setRecordLimit(partsRecordBytes)
	sim.submit(idA, newSubmission(steps...))
	return sim
}

// An owner may end when any number of the records of a batch are stored. Tasks that were done started
// again if a block without them was stored and the record that ends their occurrence was not; those of a
// gang, if only some of them were recorded as done.
func TestProgressStoredInPart(t *testing.T) {
	gang, second := smallTasks(wideTasks, time.Second), smallTasks(3, time.Second)
	gang.Gang, second.DependsOn = true, []int{0}
	recurring := newSubmission(smallTasks(3, 300*time.Millisecond))
	recurring.Occurrences, recurring.IntervalMs = wideTasks, 20
	for name, s := range map[string]submission.Submission{
		"wide": newSubmission(smallTasks(wideTasks, time.Second), second), "gang": newSubmission(gang, second), "recurring": recurring,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const seeds = 60
			split := 0 // records at takeovers
			for seed := range uint64(seeds) {
				sim := newSimulation(4, seed)
				sim.setRecordLimit(partsRecordBytes)
				sim.storeLatency, sim.partialBatches = 2*simulationStep, true
				sim.submit(idA, s)
				for range 10 {
					sim.run(time.Duration(sim.rng.IntN(20)) * simulationStep)
					if sim.pending != nil && seed%2 == 0 {
						sim.executors[sim.rng.IntN(4)].crash() // the ends that it lists are lost
					}
					sim.takeOver()
					split += len(sim.progressKeys(idA))
					for _, e := range sim.executors {
						if !e.up {
							e.start(sim.now, true)
						}
					}
				}
				sim.run(40 * time.Second)
				sim.core.Drop(idA)
				sim.run(time.Second)
				if sim.publishedStates[idA] != submission.Completed || len(sim.violations) > 0 || len(sim.progressKeys(idA)) != 0 {
					t.Fatalf("seed %d: %v at the end, violations %v, records %v", seed, sim.publishedStates[idA], sim.violations, sim.progressKeys(idA))
				}
			}
			if split < 20*seeds {
				t.Errorf("%d records at takeovers, too few for parts", split)
			}
		})
	}
}

// TestGangEndIsStoredInPart guards against a gang that never goes on, since some of its tasks are
// recorded as done, the others are not, and no executor lists their ends any more.
func TestGangEndIsStoredInPart(t *testing.T) {
	gang, second := smallTasks(wideTasks, time.Second), smallTasks(3, time.Second)
	gang.Gang, second.DependsOn = true, []int{0}
	sim := newWideSimulation(gang, second)
	sim.run(500 * time.Millisecond)
	sim.storeLatency = 2 * simulationStep
	if !sim.runUntil(5*time.Second, func() bool {
		return sim.pending != nil && len(sim.completed) == wideTasks && len(sim.pending.Records) > 0
	}) {
		t.Fatal("no batch with the end")
	}
	sim.storeFirst(1)
	for _, e := range sim.executors {
		e.crash()
		e.start(sim.now, true)
	}
	starts := sim.starts
	sim.takeOver()
	sim.run(20 * time.Second)
	if sim.publishedStates[idA] != submission.Completed || sim.starts != starts+second.Count || len(sim.violations) > 0 {
		t.Errorf("%v after %d further starts, violations %v", sim.publishedStates[idA], sim.starts-starts, sim.violations)
	}
}

// TestModelProgressInParts simulates random faults with progress in blocks.
func TestModelProgressInParts(t *testing.T) {
	const seeds = 60
	t.Parallel()
	for seed := range uint64(seeds) {
		sim := newSimulation(6, seed)
		sim.setRecordLimit(partsRecordBytes)
		sim.failRate, sim.takeoverRate, sim.storeAwayRate = 0.02, 0.2, 0.1
		sim.storeLatency, sim.partialBatches = time.Duration(seed%4)*simulationStep, true
		sim.submit(idA, newSubmission(smallTasks(2*wideTasks, 3*time.Second)))
		gang := smallTasks(40, 2*time.Second)
		gang.Gang = true
		sim.submit(idB, newSubmission(gang))
		checkModel(t, sim, seed)
	}
}

// A submission of whose progress a part is missing or can't be read is held, and all others go on: its
// tasks may run or be done.
func TestLostBlockHoldsItsSubmissionOnly(t *testing.T) {
	list := func(ranges ...blockRange) []byte {
		return encode(splitProgress{State: byte(submission.Running), Blocks: ranges})
	}
	block := blockID{Part: 1}.key(idA)
	for name, records := range map[string]map[string][]byte{
		"a missing block":                 {block: nil},
		"a block of another type":         {block: encode("x")},
		"a block that is no CBOR":         {block: {0xff}},
		"a block with another task":       {block: encode([]taskProgress{{Index: wideTasks, Run: 1}})},
		"a block with a negative run":     {block: encode([]taskProgress{{Index: 1, Run: -1}})},
		"a list with an empty range":      {idA: list(blockRange{First: 1, End: 1})},
		"a list with a negative block":    {idA: list(blockRange{First: -1, End: 1})},
		"a list with a negative group":    {idA: list(blockRange{Group: -1, End: 1})},
		"a list with a huge range":        {idA: list(blockRange{End: math.MaxInt})},
		"a list of a block twice":         {idA: list(blockRange{End: 1}, blockRange{End: 1})},
		"a list of more than what exists": {idA: list(blockRange{End: 1}, blockRange{Group: 7, End: 1})},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newWideSimulation(smallTasks(wideTasks, time.Hour))
			sim.oddRecords = true
			sim.submit(idB, newSubmission(longRunning(2)))
			sim.run(time.Second)
			if sim.running(idA) != wideTasks || len(sim.progressKeys(idA)) != 1+(wideTasks+progressBlockTasks-1)/progressBlockTasks {
				t.Fatalf("%d runs, records %v", sim.running(idA), sim.progressKeys(idA))
			}
			good := maps.Clone(sim.stored)
			for key, value := range records {
				sim.stored[key] = provider.KeyedRecord{Key: key, Value: value}
			}
			starts := sim.starts
			sim.takeOver()
			if len(sim.unreadable) != 1 || sim.unreadable[0].Record.Key != idA {
				t.Errorf("unreadable %v", sim.unreadable)
			}
			sim.run(10 * time.Second)
			if sim.starts != starts || sim.running(idA) != wideTasks || sim.running(idB) != 2 || len(sim.violations) > 0 {
				t.Errorf("%d further starts, %d and %d runs, violations %v", sim.starts-starts, sim.running(idA), sim.running(idB), sim.violations)
			}
			sim.stored = good // a later owner takes a mended one up
			sim.takeOver()
			sim.run(time.Second)
			sim.cancel(idA)
			sim.run(2 * time.Second)
			if len(sim.unreadable) > 0 || sim.running(idA) > 0 || len(sim.progressKeys(idA)) != 1 || len(sim.violations) > 0 {
				t.Errorf("after the mend: unreadable %v, %d runs, records %v, violations %v", sim.unreadable, sim.running(idA), sim.progressKeys(idA), sim.violations)
			}
		})
	}
}

// Fewer blocks after more: a block that a successor finds and no record lists is left over.
func TestLeftoverBlocksAreDeleted(t *testing.T) {
	sim := newWideSimulation(smallTasks(wideTasks, time.Hour))
	sim.run(time.Second)
	stale := blockID{Part: 2}.key(idA)
	held := sim.stored[stale]
	sim.cancel(idA)
	sim.run(2 * time.Second)
	if keys := sim.progressKeys(idA); len(keys) != 1 {
		t.Fatalf("records %v after the end", keys)
	}
	sim.stored[stale] = held // the record that deletes it was not stored
	delete(sim.publishedStates, idA)
	sim.takeOver()
	sim.run(time.Second)
	if keys := sim.progressKeys(idA); len(keys) != 1 || sim.publishedStates[idA] != submission.Cancelled || len(sim.violations) > 0 {
		t.Errorf("records %v, state %v, violations %v", keys, sim.publishedStates[idA], sim.violations)
	}
}

// A store holds progress of the earlier form after an upgrade, and an earlier version that takes over
// from this one must not take blocks for a submission without runs.
func TestEarlierProgressIsStoredInParts(t *testing.T) {
	sim := newWideSimulation(smallTasks(wideTasks, time.Hour))
	sim.run(time.Second)
	inParts := maps.Clone(sim.stored)
	for _, key := range sim.progressKeys(idA) {
		delete(sim.stored, key)
	}
	sim.stored[idA] = earlierForm(sim.core.jobs[idA])
	starts := sim.starts
	sim.takeOver()
	sim.run(time.Second)
	sim.core.markDirty(sim.core.jobs[idA])
	sim.run(time.Second)
	for key := range inParts {
		if strings.HasPrefix(key, idA) && !slices.Equal(sim.stored[key].Value, inParts[key].Value) {
			t.Errorf("record %s is %x, want %x", key, sim.stored[key].Value, inParts[key].Value)
		}
	}
	if sim.starts != starts || sim.running(idA) != wideTasks || len(sim.violations) > 0 {
		t.Errorf("%d further starts, %d runs, violations %v", sim.starts-starts, sim.running(idA), sim.violations)
	}
	var p progress
	var u unfinishedProgress
	if value := sim.stored[idA].Value; cbor.Unmarshal(value, &p) == nil || cbor.Unmarshal(value, &u) == nil {
		t.Errorf("an earlier version reads %x as %+v or %+v", value, p, u)
	}
}

// The size of a record depends neither on the number of tasks nor on the length of their checkpoints, and
// only blocks with a change are stored again.
func TestBlocksAreBounded(t *testing.T) {
	for _, length := range []int{0, 16, 1000, 4096, 5000, 300_000} {
		t.Run(fmt.Sprintf("checkpoints of %d bytes", length), func(t *testing.T) {
			const total = 10_000
			t.Parallel()
			core := New(Options{})
			core.Submit(idA, newSubmission(smallTasks(total, time.Second)), 0)
			j := core.jobs[idA]
			checkpoint := strings.Repeat("c", length)
			executor := core.executor(provider.ExecutorID(strings.Repeat("e", maxKeyBytes)), 0)
			for _, task := range j.occurrence(0).steps[0].tasks {
				task.runNumber, task.failures, task.checkpoint = math.MaxInt32, math.MaxInt32, checkpoint
				task.touch()
				task.run = &run{executor: executor}
			}
			records, err := core.progressRecords(j)
			if err != nil || len(records) < total/progressBlockTasks {
				t.Fatalf("%d records, %v", len(records), err)
			}
			for _, r := range records {
				if r.Size() > defaultMaxRecordBytes {
					t.Errorf("record %s has %d bytes", r.Key, r.Size())
				}
			}
			if again, err := core.progressRecords(j); err != nil || len(again) > 0 {
				t.Errorf("%d records without a change, %v", len(again), err)
			}
			j.occurrences[0].steps[0].tasks[77].runNumber--
			if again, err := core.progressRecords(j); err != nil || len(again) != 1 {
				t.Errorf("%d records after a change of one task, %v", len(again), err)
			}
		})
	}
}

// TestWideSubmissionAtSlowStore guards against batches of so many starts that they are too old to be sent
// once their records are stored, one append after the other.
func TestWideSubmissionAtSlowStore(t *testing.T) {
	const total = 4000
	t.Parallel()
	sim := newSimulation(10, 1)
	sim.limitRecords(100_000)
	for i, e := range sim.executors {
		e.id = provider.ExecutorID(fmt.Sprintf("i-%08x", i)) // as long as the platform's
		e.size = fleet.Resources{MilliCPU: 100_000, MemoryMB: 100_000}
	}
	sim.run(2 * time.Second)
	sim.appendLatency = 1300 * time.Millisecond
	sim.submit(idA, newSubmission(smallTasks(total, time.Minute)))
	if !sim.runUntil(20*time.Second, func() bool { return sim.starts == total }) {
		t.Errorf("%d of %d tasks have started after 20 s", sim.starts, total)
	}
	if len(sim.violations) > 0 {
		t.Errorf("violations %v", sim.violations)
	}
}
