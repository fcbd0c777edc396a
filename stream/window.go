package stream

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// SeenWindow and VoidWindow are how long, by record time, readers remember the
// ids of applied entries and of voided attempts. A duplicate of the one or a late
// record of the other must not arrive later.
const (
	SeenWindow = 5 * time.Minute
	VoidWindow = time.Hour
)

const (
	digestBytes = 16
	seenBytes   = 1 + 8 + digestBytes // kind, time, digest
)

type seenKind byte

const (
	seenApplied seenKind = iota // of an entry
	seenVoid                    // of one attempt
	seenKinds
)

// spans is how long the ids of each kind are remembered.
var spans = [seenKinds]time.Duration{seenApplied: SeenWindow, seenVoid: VoidWindow}

type digest [digestBytes]byte

func digestOf(id string) digest {
	sum := sha256.Sum256([]byte(id))
	return digest(sum[:digestBytes])
}

type seenKey struct {
	kind seenKind
	id   digest
}

type seenItem struct {
	key seenKey
	at  int64 // ns since 1970
}

// window is the set of remembered ids. It depends on nothing but the records
// that were applied, so that all readers forget alike.
type window struct {
	items [seenKinds][]seenItem // by time
	index map[seenKey]struct{}
}

func (w *window) has(kind seenKind, id string) bool {
	_, ok := w.index[seenKey{kind, digestOf(id)}]
	return ok
}

func (w *window) add(kind seenKind, id string, at time.Time) {
	w.insert(seenItem{seenKey{kind, digestOf(id)}, nsOf(at)})
}

func (w *window) insert(item seenItem) {
	if w.index == nil {
		w.index = make(map[seenKey]struct{})
	}
	if _, ok := w.index[item.key]; ok {
		return
	}
	w.index[item.key] = struct{}{}
	w.items[item.key.kind] = append(w.items[item.key.kind], item)
}

// expire forgets what is older than its span at clock.
func (w *window) expire(clock time.Time) {
	for kind, items := range w.items {
		limit := nsOf(clock) - int64(spans[kind])
		n := 0
		for n < len(items) && items[n].at < limit {
			delete(w.index, items[n].key)
			n++
		}
		w.items[kind] = items[n:]
	}
}

func (w *window) encode() []byte {
	out := make([]byte, 0, len(w.index)*seenBytes)
	for _, items := range w.items {
		for _, item := range items {
			out = append(out, byte(item.key.kind))
			out = binary.BigEndian.AppendUint64(out, uint64(item.at))
			out = append(out, item.key.id[:]...)
		}
	}
	return out
}

// decodeWindow returns the encoded window. Items of unknown kinds are left out.
func decodeWindow(data []byte) window {
	var w window
	for ; len(data) >= seenBytes; data = data[seenBytes:] {
		kind := seenKind(data[0])
		if kind >= seenKinds {
			continue
		}
		w.insert(seenItem{
			key: seenKey{kind: kind, id: digest(data[9:seenBytes])},
			at:  int64(binary.BigEndian.Uint64(data[1:9])),
		})
	}
	return w
}
