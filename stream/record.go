package stream

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/platform"
)

const (
	maxRecordBytes   = 256 << 10 // data of one record
	maxSnapshotParts = 1024
	maxSnapshotBytes = 64 << 20
)

// ErrBadSnapshot says that a snapshot can't be decoded.
var ErrBadSnapshot = errors.New("malformed snapshot")

// decMode bounds what a record from the log may make the decoder allocate.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// marker names the attempts whose outcome is in doubt. An attempt that has no
// record before the first marker that names it is void for good.
type marker struct {
	Records []string `cbor:"1,keyasint"`
}

func decodeMarker(data []byte) (marker, bool) {
	var m marker
	err := decMode.Unmarshal(data, &m)
	return m, err == nil
}

// envelope is a whole snapshot: the state after all records below Covers, and
// what the reader needs to treat later records as all other readers do.
type envelope struct {
	Covers platform.Offset `cbor:"1,keyasint"`
	Clock  int64           `cbor:"2,keyasint"` // newest record time, ns since 1970
	Seen   []byte          `cbor:"3,keyasint"`
	State  []byte          `cbor:"4,keyasint"`
}

func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return envelope{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	if e.Covers < 0 || len(e.Seen)%seenBytes != 0 {
		return envelope{}, ErrBadSnapshot
	}
	return e, nil
}

// part is one record's share of an envelope that is too large for a record.
type part struct {
	Snapshot string `cbor:"1,keyasint"`
	Index    int    `cbor:"2,keyasint"`
	Count    int    `cbor:"3,keyasint"`
	Data     []byte `cbor:"4,keyasint"`
}

func decodePart(data []byte) (part, bool) {
	var p part
	if err := decMode.Unmarshal(data, &p); err != nil {
		return part{}, false
	}
	valid := p.Count > 0 && p.Count <= maxSnapshotParts && p.Index >= 0 && p.Index < p.Count
	return p, valid
}

func splitSnapshot(id string, data []byte) []part {
	const room = maxRecordBytes - 1024 // the other fields
	count := max(1, (len(data)+room-1)/room)
	parts := make([]part, 0, count)
	for i := range count {
		end := min(len(data), (i+1)*room)
		parts = append(parts, part{Snapshot: id, Index: i, Count: count, Data: data[i*room : end]})
	}
	return parts
}

// assembly joins the parts of snapshots. It holds few at a time.
type assembly struct {
	open  map[string]*openSnapshot
	order []string
}

type openSnapshot struct {
	parts   [][]byte
	missing int
	bytes   int
}

const maxOpenSnapshots = 4

// add returns the whole envelope once its last part is added.
func (a *assembly) add(p part) ([]byte, bool) {
	s, ok := a.open[p.Snapshot]
	if !ok {
		s = a.start(p)
	}
	if len(s.parts) != p.Count || s.parts[p.Index] != nil {
		return nil, false
	}
	s.parts[p.Index] = append([]byte{}, p.Data...)
	s.missing--
	s.bytes += len(p.Data)
	if s.missing > 0 || s.bytes > maxSnapshotBytes {
		return nil, false
	}
	whole := make([]byte, 0, s.bytes)
	for _, b := range s.parts {
		whole = append(whole, b...)
	}
	return whole, true
}

func (a *assembly) start(p part) *openSnapshot {
	if a.open == nil {
		a.open = make(map[string]*openSnapshot)
	}
	if len(a.order) == maxOpenSnapshots {
		delete(a.open, a.order[0])
		a.order = a.order[1:]
	}
	s := &openSnapshot{parts: make([][]byte, p.Count), missing: p.Count}
	a.open[p.Snapshot] = s
	a.order = append(a.order, p.Snapshot)
	return s
}

func timeOf(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

func nsOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
