package settings_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
)

// lossyLog is a log in memory of one stream that loses requests and answers.
type lossyLog struct {
	mu      sync.Mutex
	records []platform.Record
	faults  []int // of the next appends: 0 none, 1 request lost, 2 answer lost
	changed chan struct{}
}

const logDelay = 3 * time.Millisecond

func (l *lossyLog) Append(_ context.Context, _ string, records []platform.NewRecord) (platform.Offset, error) {
	time.Sleep(logDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := 0
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	if fault == 1 {
		return 0, platform.ErrInDoubt
	}
	first := platform.Offset(len(l.records))
	for _, r := range records {
		l.records = append(l.records, platform.Record{Offset: platform.Offset(len(l.records)), ID: r.ID, Data: r.Data})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if fault == 2 {
		return 0, platform.ErrInDoubt
	}
	return first, nil
}

func (l *lossyLog) Read(ctx context.Context, _ string, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	time.Sleep(logDelay)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		end := platform.Offset(len(l.records))
		next := max(from, min(end, from+platform.Offset(limit)))
		b := platform.Batch{Next: next, End: end}
		if from < end {
			b.Records = l.records[from:next]
		}
		changed := l.changed
		l.mu.Unlock()
		if len(b.Records) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// attempt is an edit as the operator made it; outcome is what it was told.
type attempt struct{ base platform.Offset }

type outcome struct {
	result   settings.Result
	revision platform.Offset
}

// casModel is a register that an edit moves from its base to its revision.
var casModel = porcupine.Model{
	Init: func() any { return platform.Offset(-1) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(platform.Offset), input.(attempt), output.(outcome)
		if out.result == settings.Applied {
			return in.base == now && out.revision > now, out.revision
		}
		return out.result == settings.Lost && in.base < now, now
	},
}

// operator edits the root again and again from its own replica.
type operator struct {
	number  int
	name    string
	machine *settings.Machine
	replica *stream.Replica
	writer  *stream.LogWriter
}

func newOperator(number int, log platform.Log) *operator {
	m := settings.NewMachine()
	return &operator{
		number:  number,
		name:    fmt.Sprintf("o%d", number),
		machine: m,
		replica: stream.NewReplica(log, stream.SettingsStream, m, stream.ReplicaOptions{}),
		writer:  stream.NewWriter(log, stream.WriterOptions{AppendsPerSecond: 100}),
	}
}

// maxEdits is the most edits of one operator.
const maxEdits = 6

// edit makes one edit from what the operator sees now. Its value is its own,
// since an edit that changes nothing races with none.
func (o *operator) edit(ctx context.Context, n int, clock *atomic.Int64) (porcupine.Operation, error) {
	_, base, err := o.machine.Current("")
	if err != nil {
		return porcupine.Operation{}, err
	}
	text := fmt.Sprintf("policy: {requests: {queue-limit: %d}}", o.number*maxEdits+n+1)
	e := settings.Edit{Base: base, Author: o.name, Operation: settings.Replace, File: "f", Text: text}
	data, err := e.Encode()
	if err != nil {
		return porcupine.Operation{}, err
	}
	op := porcupine.Operation{Input: attempt{base: base}, Call: clock.Add(1)}
	id := fmt.Sprintf("%s-%d", o.name, n)
	offset, err := o.writer.Append(ctx, stream.SettingsStream, stream.Entry{ID: id, Data: data})
	if err != nil {
		return op, err
	}
	if err := o.replica.WaitFor(ctx, offset); err != nil {
		return op, err
	}
	c, ok := o.machine.Outcome(id)
	if !ok {
		return op, fmt.Errorf("%s was read back without an outcome", id)
	}
	op.Output = outcome{result: c.Result, revision: c.Revision}
	op.Return = clock.Add(1)
	return op, nil
}

// TestRacingEdits runs operators on a log that loses requests and answers, and
// holds what they were told against a compare-and-set register.
func TestRacingEdits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 20).Draw(rt, "faults")
		edits := rapid.IntRange(1, maxEdits).Draw(rt, "edits")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 30), 3, 3).Draw(rt, "pauses")
		var history []porcupine.Operation
		var failed error
		synctest.Test(t, func(t *testing.T) {
			history, failed = race(t, faults, edits, pauses)
		})
		if failed != nil {
			rt.Fatal(failed)
		}
		if !porcupine.CheckOperations(casModel, history) {
			rt.Fatalf("not linearizable: %+v", history)
		}
	})
}

func race(t *testing.T, faults []int, edits int, pauses []int) ([]porcupine.Operation, error) {
	ctx, cancel := context.WithCancel(t.Context())
	log := &lossyLog{faults: faults, changed: make(chan struct{})}
	var running, editing sync.WaitGroup
	var mu sync.Mutex
	var clock atomic.Int64
	var history []porcupine.Operation
	var failed error
	for i, pause := range pauses {
		o := newOperator(i, log)
		running.Go(func() { _ = o.replica.Run(ctx) })
		running.Go(func() { _ = o.writer.Run(ctx) })
		editing.Go(func() {
			for n := range edits {
				op, err := o.edit(ctx, n, &clock)
				op.ClientId = i
				mu.Lock()
				history = append(history, op)
				if err != nil {
					failed = err
				}
				mu.Unlock()
				time.Sleep(time.Duration(pause) * time.Millisecond)
			}
		})
	}
	editing.Wait()
	cancel()
	running.Wait()
	return history, failed
}
