package stream

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// fault is what a faultLog does to one call.
type fault int

const (
	none        fault = iota
	refused           // certainly not taken
	lostAnswer        // taken at once, answer lost
	lostRequest       // not taken, no answer
	late              // taken long after the answer was given up
	doubled           // taken twice, answer of the first
	hang              // no answer until the caller gives up; taken
	faults
)

const (
	lateBy  = 20 * time.Second
	latency = 5 * time.Millisecond
)

// faultLog is a log in memory that loses answers, repeats and delays records,
// trims and has outages.
type faultLog struct {
	mu      sync.Mutex
	plan    []fault // of the next calls; none when used up
	outages []outage
	start   time.Time
	records map[string][]platform.Record // all, with those that were trimmed
	first   map[string]platform.Offset
	keep    time.Duration // retention; 0 for ever
	appends int
	changed chan struct{}
}

type outage struct{ from, to time.Duration }

func newFaultLog() *faultLog {
	return &faultLog{
		start:   time.Now(),
		records: make(map[string][]platform.Record),
		first:   make(map[string]platform.Offset),
		changed: make(chan struct{}),
	}
}

func (f *faultLog) nextFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.outages {
		if d := time.Since(f.start); d >= o.from && d < o.to {
			return refused
		}
	}
	if len(f.plan) == 0 {
		return none
	}
	next := f.plan[0]
	f.plan = f.plan[1:]
	return next
}

func (f *faultLog) Append(ctx context.Context, stream string, rs []platform.NewRecord) (platform.Offset, error) {
	time.Sleep(latency)
	inDoubt := fmt.Errorf("answer lost: %w", platform.ErrInDoubt)
	switch f.nextFault() {
	case refused:
		return 0, fmt.Errorf("503: %w", platform.ErrUnavailable)
	case lostAnswer:
		f.write(stream, rs)
		return 0, inDoubt
	case lostRequest:
		return 0, inDoubt
	case late:
		time.AfterFunc(lateBy, func() { f.write(stream, rs) })
		return 0, inDoubt
	case doubled:
		first := f.write(stream, rs)
		f.write(stream, rs)
		return first, nil
	case hang:
		f.write(stream, rs)
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", platform.ErrInDoubt, ctx.Err())
	}
	return f.write(stream, rs), nil
}

func (f *faultLog) write(stream string, rs []platform.NewRecord) platform.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends++
	first := platform.Offset(len(f.records[stream]))
	for i, r := range rs {
		record := platform.Record{Offset: first + platform.Offset(i), ID: r.ID, Time: time.Now(), Data: r.Data}
		f.records[stream] = append(f.records[stream], record)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return first
}

func (f *faultLog) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	time.Sleep(latency)
	switch f.nextFault() {
	case refused, lostRequest:
		return platform.Batch{}, fmt.Errorf("503: %w", platform.ErrUnavailable)
	case hang, late:
		<-ctx.Done()
		return platform.Batch{}, ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := f.batch(stream, from, limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

func (f *faultLog) batch(stream string, from platform.Offset, limit int) (platform.Batch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.records[stream]
	for f.keep > 0 && int(f.first[stream]) < len(all) && time.Since(all[f.first[stream]].Time) > f.keep {
		f.first[stream]++
	}
	b := platform.Batch{First: f.first[stream], Next: from, End: platform.Offset(len(all))}
	if from < b.First {
		return b, f.changed, platform.ErrTrimmed
	}
	if from < b.End {
		b.Next = min(b.End, from+platform.Offset(limit))
		b.Records = all[from:b.Next]
	}
	return b, f.changed, nil
}

// all returns every record of the stream, trimmed or not.
func (f *faultLog) all(stream string) []platform.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records[stream]
}
