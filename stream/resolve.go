package stream

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/platform"
)

const resolveBatch = 512 // records of a read

// doubt is a batch of attempts of which the outcome is not known yet.
type doubt struct {
	from   platform.Offset     // the stream was read up to here
	open   map[string]*pending // by record id
	found  map[*pending]platform.Offset
	absent []*pending
}

func newDoubt(from platform.Offset, batch []*pending) *doubt {
	d := &doubt{from: from, open: make(map[string]*pending), found: make(map[*pending]platform.Offset)}
	for _, p := range batch {
		d.open[p.record] = p
	}
	return d
}

// scan takes note of records in the order of the stream. What comes first
// decides: the attempt itself or a marker that names it.
func (d *doubt) scan(batch platform.Batch) {
	for _, r := range batch.Records {
		if p, ok := d.open[r.ID]; ok {
			d.found[p] = r.Offset
			delete(d.open, r.ID)
			continue
		}
		if strings.HasPrefix(r.ID, voidPrefix) {
			d.scanMarker(r)
		}
	}
	d.from = max(d.from, batch.Next)
}

func (d *doubt) scanMarker(r platform.Record) {
	m, ok := decodeMarker(r.Data)
	if !ok {
		return
	}
	for _, id := range m.Records {
		if p, ok := d.open[id]; ok {
			d.absent = append(d.absent, p)
			delete(d.open, id)
		}
	}
}

func (d *doubt) marker() (platform.NewRecord, error) {
	var m marker
	for id := range d.open {
		m.Records = append(m.Records, id)
	}
	data, err := cbor.Marshal(m)
	return platform.NewRecord{ID: voidPrefix + uniqueSuffix(), Data: data}, err
}

// resolve finds out which records of a batch in doubt are in the stream. It
// goes on while the log is down, until ctx ends.
func (w *LogWriter) resolve(ctx context.Context, l *lane, batch []*pending) {
	d := newDoubt(l.floor, batch)
	for failures := 0; len(d.open) > 0 && ctx.Err() == nil; {
		err := w.resolveOnce(ctx, l, d)
		if errors.Is(err, platform.ErrTrimmed) {
			break
		}
		if err != nil {
			w.noteFailure(err)
			backoff(ctx, failures)
			failures++
		}
	}
	w.settle(l, d)
}

// resolveOnce reads to the end of the stream, and writes a marker if that
// leaves attempts undecided.
func (w *LogWriter) resolveOnce(ctx context.Context, l *lane, d *doubt) error {
	if err := w.scanToEnd(ctx, l.name, d); err != nil || len(d.open) == 0 {
		return err
	}
	if err := w.limiter.Wait(ctx); err != nil {
		return err
	}
	record, err := d.marker()
	if err != nil {
		return err
	}
	if _, err := w.append(ctx, l.name, []platform.NewRecord{record}); err != nil {
		return fmt.Errorf("append void marker: %w", err)
	}
	return w.scanToEnd(ctx, l.name, d)
}

func (w *LogWriter) scanToEnd(ctx context.Context, stream string, d *doubt) error {
	for len(d.open) > 0 {
		batch, err := w.read(ctx, stream, d.from)
		if err != nil {
			return err
		}
		d.scan(batch)
		if len(batch.Records) == 0 || batch.Next >= batch.End {
			return nil
		}
	}
	return nil
}

func (w *LogWriter) read(ctx context.Context, stream string, from platform.Offset) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, w.o.AppendTimeout)
	defer cancel()
	return w.log.Read(ctx, stream, from, resolveBatch, 0)
}

func (w *LogWriter) noteFailure(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed(time.Now(), err)
}

// settle tells the outcomes. What is still open could not be found out: the
// writer stops, or the log no longer holds the records in question.
func (w *LogWriter) settle(l *lane, d *doubt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.floor = d.from
	l.busy = false
	w.metrics.countResolved(d)
	if len(d.open) == 0 {
		w.succeedBreaker()
	}
	for p, offset := range d.found {
		w.finish(l, p, offset, nil)
	}
	for _, p := range d.open {
		w.finish(l, p, 0, fmt.Errorf("append %s to %s: %w", p.entry.ID, l.name, platform.ErrInDoubt))
	}
	l.pushFront(w.wanted(l, d.absent))
	if w.stopped {
		w.refuseQueued("writer is stopped", 0)
	}
}
