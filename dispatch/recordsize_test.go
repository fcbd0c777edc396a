package dispatch

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// TestRecordsStaySmall guards against records that grow with the time for which a submission runs, with
// the number of its tasks, or with the number of runs that are lost at once, until the store refuses them
// and the cell starts nothing any more. The store takes records of a few hundred tasks here.
func TestRecordsStaySmall(t *testing.T) {
	for _, c := range []struct {
		name        string
		recordBytes int
		play        func(sim *simulation)
	}{
		{name: "a submission that recurs", recordBytes: 2000, play: func(sim *simulation) {
			s := newSubmission(tasks(2, 50*time.Millisecond))
			s.Occurrences, s.IntervalMs = 300, 100
			sim.submit(idA, s)
			sim.run(40 * time.Second)
		}},
		{name: "a wide submission", recordBytes: 2000, play: func(sim *simulation) {
			sim.submit(idA, newSubmission(tasks(400, 2*time.Second)))
			sim.run(3 * time.Second)
			sim.submit(idB, newSubmission(tasks(2, time.Second)))
			sim.run(30 * time.Second)
		}},
		{name: "a rack that is lost with all its runs", recordBytes: 4000, play: func(sim *simulation) {
			for _, e := range sim.executors {
				e.size.MilliCPU, e.size.MemoryMB = 100_000, 100_000
			}
			sim.run(3 * time.Second)
			for i := range 10 {
				sim.submit(fmt.Sprintf("%016x", i), newSubmission(tasks(24, 20*time.Second)))
			}
			sim.run(5 * time.Second)
			for _, e := range sim.executors[:3] {
				e.crash()
				e.listed = false
			}
			sim.run(60 * time.Second)
			sim.submit(idA, newSubmission(tasks(1, time.Second)))
			sim.run(10 * time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(6, 1)
			sim.limitRecords(c.recordBytes)
			c.play(sim)
			for id := range sim.accepted {
				if s := sim.publishedStates[id]; !s.IsFinal() {
					t.Errorf("submission %s is %v at the end", id, s)
				}
			}
			if len(sim.violations) > 0 {
				t.Errorf("violations %v", sim.violations)
			}
		})
	}
}

// A submission that recurs goes on after takeovers and faults, and each owner restores what the
// one before it stored.
func TestModelRecurringSubmission(t *testing.T) {
	const seeds, recordBytes, occurrences = 30, 2000, 120
	for seed := range uint64(seeds) {
		sim := newSimulation(5, seed)
		sim.failRate, sim.maxRecordBytes = 0.02, recordBytes // no lost answers: see TestModelLateStartAfterRebirth
		second := tasks(1, 100*time.Millisecond)
		second.DependsOn = []int{0}
		s := newSubmission(tasks(2, 200*time.Millisecond), second)
		s.Occurrences, s.IntervalMs = occurrences, 250
		sim.submit(idA, s)
		faults := 0
		sim.onFault = func() {
			if faults++; faults%3 > 0 {
				return
			}
			sim.takeOver()
			j := sim.core.jobs[idA]
			if j == nil || j.state.IsFinal() || len(sim.stored[idA].Value) == 0 {
				return
			}
			record, err := j.record()
			if err != nil || !bytes.Equal(record.Value, sim.stored[idA].Value) {
				t.Errorf("seed %d: restored %x, %v, stored was %x", seed, record.Value, err, sim.stored[idA].Value)
			}
		}
		checkModel(t, sim, seed)
	}
}

// earlierForm returns the record that earlier versions stored of a job, which names each task of
// finished occurrences.
func earlierForm(j *job) provider.KeyedRecord {
	p := unfinishedProgress{State: byte(j.state)}
	for n := range j.totalOccurrences() {
		if o := j.occurrences[n]; o != nil {
			for _, st := range o.steps {
				for _, t := range st.tasks {
					p.Tasks = append(p.Tasks, t.progress())
				}
			}
		} else if j.finished.contains(n) {
			for k, step := range j.sub.Steps {
				for i := range step.Count {
					p.Tasks = append(p.Tasks, taskProgress{Occurrence: n, Step: k, Index: i, Done: true, Run: 1})
				}
			}
		}
	}
	return provider.KeyedRecord{Key: string(j.id), Value: encode(p)}
}

// A store holds records of the earlier form after an upgrade.
func TestEarlierProgressIsRestored(t *testing.T) {
	sim := newSimulation(3, 1)
	s := newSubmission(tasks(2, 200*time.Millisecond))
	s.Occurrences, s.IntervalMs = 40, 150
	sim.submit(idA, s)
	sim.run(3 * time.Second)
	before, err := sim.core.jobs[idA].record()
	if err != nil {
		t.Fatal(err)
	}
	if len(sim.core.jobs[idA].finished) == 0 || len(sim.core.jobs[idA].occurrences) == 0 {
		t.Fatalf("finished %v, %d others, want some of each", sim.core.jobs[idA].finished, len(sim.core.jobs[idA].occurrences))
	}
	sim.stored[idA] = earlierForm(sim.core.jobs[idA])
	sim.takeOver()
	if after, err := sim.core.jobs[idA].record(); err != nil || !bytes.Equal(after.Value, before.Value) {
		t.Errorf("restored %x, %v, want %x", after.Value, err, before.Value)
	}
	sim.run(20 * time.Second)
	if sim.publishedStates[idA] != submission.Completed || sim.starts != 80 || len(sim.violations) > 0 {
		t.Errorf("%v after %d starts, want 80, violations %v", sim.publishedStates[idA], sim.starts, sim.violations)
	}
}

func TestOccurrenceRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 40
		var r occurrenceRanges
		want := map[int]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "additions") {
			first := rapid.IntRange(0, total-1).Draw(t, "first")
			added := occurrenceRange{First: first, End: rapid.IntRange(first+1, min(total, first+5)).Draw(t, "end")}
			r.addRange(added)
			for n := added.First; n < added.End; n++ {
				want[n] = true
			}
			if !r.areValid(total) {
				t.Fatalf("ranges are %v", r)
			}
		}
		for n := range total + 1 {
			absent := n
			for want[absent] {
				absent++
			}
			if r.contains(n) != want[n] || r.firstAbsent(n) != absent {
				t.Fatalf("%v: contains(%d) = %v, firstAbsent = %d, want %v, %d", r, n, r.contains(n), r.firstAbsent(n), want[n], absent)
			}
		}
	})
}

// loseRack loses three of six executors, with the runs of four submissions, and returns once
// the batch that records this is planned. None of it is stored yet.
func loseRack(t *testing.T) *simulation {
	sim := newSimulation(6, 1)
	for _, e := range sim.executors {
		e.size.MilliCPU, e.size.MemoryMB = 100_000, 100_000
	}
	sim.run(3 * time.Second)
	for i := range 4 {
		sim.submit(fmt.Sprintf("%016x", i), newSubmission(tasks(60, 20*time.Second)))
	}
	sim.run(5 * time.Second)
	for _, e := range sim.executors[:3] {
		e.crash()
		e.listed = false
	}
	sim.storeLatency = 4 * simulationStep
	if !sim.runUntil(time.Minute, func() bool {
		return sim.pending != nil && slices.ContainsFunc(sim.pending.Records, func(r provider.KeyedRecord) bool {
			return strings.HasPrefix(r.Key, silentCrashPrefix) && len(r.Value) > 0
		})
	}) {
		t.Fatal("no crash was recorded")
	}
	return sim
}

// crashKeys returns the stored records of crashes but that of instances.
func (sim *simulation) crashKeys() map[string][]byte {
	out := map[string][]byte{}
	for key, r := range sim.stored {
		if (strings.HasPrefix(key, crashBlockPrefix) || strings.HasPrefix(key, silentCrashPrefix)) && len(r.Value) > 0 {
			out[key] = r.Value
		}
	}
	return out
}

// ownCrashRecords returns the records that an owner would store of the crashes that it knows.
func (sim *simulation) ownCrashRecords(t *testing.T) map[string][]byte {
	records, err := sim.core.crashRecords()
	if err != nil {
		t.Fatal(err)
	}
	delete(records, crashesKey)
	return records
}

// An owner may end when any number of the records of a batch are stored.
func TestCrashRecordsStoredInPart(t *testing.T) {
	for stored, total := 0, 1; stored <= total; stored++ {
		sim := loseRack(t)
		total = len(sim.pending.Records)
		for _, r := range sim.pending.Records[:stored] {
			sim.stored[r.Key] = r
		}
		sim.takeOver()
		if stored == total && len(sim.crashKeys()) < 4+3 {
			t.Errorf("%d records of four submissions and three executors", len(sim.crashKeys()))
		}
		if own := sim.ownCrashRecords(t); !maps.EqualFunc(own, sim.crashKeys(), bytes.Equal) && stored == total {
			t.Errorf("restored %x, want %x", own, sim.crashKeys())
		}
		sim.run(unconfirmedCrashKept + 30*time.Second)
		for id := range sim.accepted {
			if s := sim.publishedStates[id]; s != submission.Completed {
				t.Errorf("%d of %d records stored: submission %s is %v at the end", stored, total, id, s)
			}
			sim.core.Drop(id)
		}
		sim.run(time.Second)
		if len(sim.violations) > 0 || len(sim.crashKeys()) > 0 {
			t.Errorf("%d of %d records stored: violations %v, records %v left", stored, total, sim.violations, sim.crashKeys())
		}
	}
}

// earlierCrashes returns the record that earlier versions stored of all crashes.
func earlierCrashes(c *Core) provider.KeyedRecord {
	record := c.instances()
	for t := range c.suspects {
		record.Tasks = append(record.Tasks, taskCrashes{Task: t.id().String(), Crashes: t.crash.crashes, Suspicion: t.crash.suspicion, AgeMs: t.crash.age.Milliseconds(), Run: t.crashedRun})
	}
	for id, e := range c.executors {
		if len(e.unconfirmedCrash) == 0 {
			continue
		}
		s := silentCrash{Executor: string(id), Address: e.info.Address, StartTimeMs: e.instance}
		for _, b := range e.unconfirmedCrash {
			s.Shares = append(s.Shares, taskCrashes{Task: b.unit.id().String(), Suspicion: b.before, AgeMs: b.age.Milliseconds()})
		}
		record.Silent = append(record.Silent, s)
	}
	return provider.KeyedRecord{Key: crashesKey, Value: encode(record)}
}

// A store holds a record of the earlier form after an upgrade, also one beside the records of a
// later version that ran before.
func TestEarlierCrashesAreRestored(t *testing.T) {
	t.Run("without the numbers of blamed runs", func(t *testing.T) { checkEarlierCrashes(t, false) })
	t.Run("with them", func(t *testing.T) { checkEarlierCrashes(t, true) })
}

func checkEarlierCrashes(t *testing.T, withRuns bool) {
	sim := loseRack(t)
	if !withRuns {
		for task := range sim.core.suspects {
			task.crashedRun = 0 // left out of the record
		}
	}
	for _, r := range sim.pending.Records {
		sim.stored[r.Key] = r
	}
	want := sim.ownCrashRecords(t)
	for key := range sim.crashKeys() {
		delete(sim.stored, key)
	}
	older := crashBlockPrefix + fmt.Sprintf("%016x", 0) + ".0.0.0"
	if want[older] == nil {
		t.Fatalf("no record %s of %d", older, len(want))
	}
	sim.stored[older] = provider.KeyedRecord{Key: older, Value: encode(crashBlock{{Crashes: 9, Suspicion: 0.9}})}
	sim.stored[crashesKey] = earlierCrashes(sim.core)
	sim.takeOver()
	if own := sim.ownCrashRecords(t); !maps.EqualFunc(own, want, bytes.Equal) {
		t.Errorf("restored %x, want %x", own, want)
	}
	sim.storeLatency = 0
	sim.run(2 * simulationStep)
	if stored := sim.crashKeys(); !maps.EqualFunc(stored, want, bytes.Equal) {
		t.Errorf("stored %x, want %x", stored, want)
	}
	var instances crashes
	if err := cbor.Unmarshal(sim.stored[crashesKey].Value, &instances); err != nil || len(instances.Tasks)+len(instances.Silent) > 0 {
		t.Errorf("the record of the earlier form was kept: %+v, %v", instances, err)
	}
}

// BenchmarkProgress stores the progress of a submission whose earlier occurrences have ended,
// while one of 36 tasks ends.
func BenchmarkProgress(b *testing.B) {
	const width = 36
	for _, ended := range []int{1_000, 30_000, 1_000_000} {
		b.Run(fmt.Sprintf("ended=%d", ended), func(b *testing.B) {
			sim := newSimulation(0, 1)
			s := newSubmission(tasks(width, time.Second))
			s.Occurrences, s.IntervalMs = 1<<40, 1
			sim.submit(idA, s)
			j := sim.core.jobs[idA]
			end := func(number int) {
				for _, t := range slices.Clone(j.occurrence(number).steps[0].tasks) {
					t.runNumber = 1
					sim.core.markDone(t)
				}
			}
			for i := range ended / width {
				end(i)
			}
			size, next := 0, ended/width
			for b.Loop() {
				end(next)
				next++
				record, err := j.record()
				if err != nil {
					b.Fatal(err)
				}
				size = len(record.Value)
			}
			b.ReportMetric(float64(size), "record-bytes")
		})
	}
}

// BenchmarkWideProgress stores the progress of a submission with many running tasks, with checkpoints of 16
// bytes, while one of them ends.
func BenchmarkWideProgress(b *testing.B) {
	for _, width := range []int{1, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("running=%d", width), func(b *testing.B) {
			core := runningTasks(width)
			j := core.jobs[idA]
			if _, err := core.progressRecords(j); err != nil {
				b.Fatal(err)
			}
			bytes, rounds := 0, 0
			for b.Loop() {
				j.occurrences[0].steps[0].tasks[rounds%width].failures++
				records, err := core.progressRecords(j)
				if err != nil {
					b.Fatal(err)
				}
				for _, r := range records {
					bytes += r.Size()
				}
				rounds++
			}
			b.ReportMetric(float64(bytes)/float64(rounds), "bytes/change")
		})
	}
}

// BenchmarkWideTakeover restores the progress of a submission with many running tasks.
func BenchmarkWideTakeover(b *testing.B) {
	for _, width := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("running=%d", width), func(b *testing.B) {
			core := runningTasks(width)
			records, err := core.progressRecords(core.jobs[idA])
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				successor := New(Options{})
				successor.Submit(idA, core.jobs[idA].sub, 0)
				if unreadable := successor.Restore(records, 0); len(unreadable) > 0 {
					b.Fatal(unreadable)
				}
			}
			b.ReportMetric(float64(len(records)), "records")
		})
	}
}

// runningTasks returns a core with one submission, of which width tasks run on 100 executors.
func runningTasks(width int) *Core {
	core := New(Options{})
	core.Submit(idA, newSubmission(tasks(width, time.Second)), 0)
	for i, t := range core.jobs[idA].occurrence(0).steps[0].tasks {
		executor := core.executor(provider.ExecutorID(fmt.Sprintf("i-%08x", i%100)), 0)
		t.runNumber, t.checkpoint, t.run = 1, "00000bb87a21d94b", &run{executor: executor}
	}
	return core
}
