package stream

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/platform"
)

// applier feeds the records of one stream to its machine, each entry once. It
// has no clock and no goroutines.
type applier struct {
	machine  Machine
	next     platform.Offset // first offset that is not applied
	clock    time.Time       // newest record time
	seen     window
	snapshot snapshotMark // newest snapshot record
}

// snapshotMark is the place of a snapshot record.
type snapshotMark struct {
	known bool
	at    platform.Offset
	time  time.Time // record time
}

// apply interprets one record and reports whether the machine got it. Records
// below next were applied already.
func (a *applier) apply(r platform.Record) bool {
	if r.Offset < a.next {
		return false
	}
	a.next = r.Offset + 1
	if strings.HasPrefix(r.ID, snapshotPrefix) {
		a.noteSnapshot(r)
		return false
	}
	a.advance(r.Time)
	if strings.HasPrefix(r.ID, voidPrefix) {
		a.applyMarker(r)
		return false
	}
	return a.applyEntry(r)
}

// advance moves the clock. Snapshot records don't, since not all readers see
// them.
func (a *applier) advance(t time.Time) {
	if t.After(a.clock) {
		a.clock = t
	}
	a.seen.expire(a.clock)
}

func (a *applier) applyEntry(r platform.Record) bool {
	if !utf8.ValidString(r.ID) {
		return false // machines could not keep the id in a snapshot
	}
	entry := entryID(r.ID)
	if a.seen.has(seenVoid, r.ID) || a.seen.has(seenApplied, entry) {
		return false
	}
	a.seen.add(seenApplied, entry, a.clock)
	r.ID = entry
	a.machine.Apply(r)
	return true
}

func (a *applier) applyMarker(r platform.Record) {
	m, ok := decodeMarker(r.Data)
	if !ok {
		return
	}
	for _, id := range m.Records {
		a.seen.add(seenVoid, id, a.clock)
	}
}

func (a *applier) noteSnapshot(r platform.Record) {
	a.snapshot = snapshotMark{known: true, at: r.Offset, time: r.Time}
}

// export returns the state after all records below next.
func (a *applier) export() ([]byte, error) {
	state, err := a.machine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot of machine: %w", err)
	}
	return cbor.Marshal(envelope{Covers: a.next, Clock: nsOf(a.clock), Seen: a.seen.encode(), State: state})
}

// restore applies a snapshot that covers more than is applied and reports
// whether it did; it never moves back.
func (a *applier) restore(data []byte) (bool, error) {
	e, err := decodeEnvelope(data)
	if err != nil {
		return false, err
	}
	if e.Covers <= a.next {
		return false, nil
	}
	if err := a.machine.Restore(e.State); err != nil {
		return false, fmt.Errorf("restore machine: %w", err)
	}
	a.next = e.Covers
	a.clock = timeOf(e.Clock)
	a.seen = decodeWindow(e.Seen)
	return true, nil
}
