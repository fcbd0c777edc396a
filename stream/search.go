package stream

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/peridotlock/peridotlock/platform"
)

// errNoSnapshot says that the stream holds no snapshot that a reader could
// start from.
var errNoSnapshot = errors.New("no snapshot in the stream covers the records that are gone")

const (
	firstSpan  = 64 // records before the end that are searched first
	spanGrowth = 4
)

// search applies the newest snapshot in the stream. It looks at a part before
// the end that grows until a whole snapshot lies in it.
func (r *Replica) search(ctx context.Context, s Source, bounds platform.Batch) error {
	for span := platform.Offset(firstSpan); ; span *= spanGrowth {
		from := max(bounds.First, bounds.End-span)
		found, err := r.newestSnapshot(ctx, s, from, bounds)
		if err != nil {
			return err
		}
		if found != nil {
			return r.applyFound(found)
		}
		if from == bounds.First {
			return fmt.Errorf("%w: first kept offset is %d", errNoSnapshot, bounds.First)
		}
	}
}

func (r *Replica) applyFound(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restore(data)
}

// newestSnapshot returns the newest usable envelope at or after from, or nil.
func (r *Replica) newestSnapshot(ctx context.Context, s Source, from platform.Offset, bounds platform.Batch) ([]byte, error) {
	var parts assembly
	var newest []byte
	covers := max(bounds.First, r.Next()+1)
	for from < bounds.End {
		feed, err := s.Read(ctx, r.name, from, r.o.Batch, 0)
		if err != nil {
			return nil, fmt.Errorf("search snapshot in %s@%d: %w", r.name, from, err)
		}
		for _, record := range feed.Batch.Records {
			whole, ok := addPart(&parts, record)
			if !ok {
				continue
			}
			if e, err := decodeEnvelope(whole); err == nil && e.Covers >= covers && e.Covers <= record.Offset {
				covers, newest = e.Covers, whole
			}
		}
		if feed.Batch.Next <= from {
			break
		}
		from = feed.Batch.Next
	}
	return newest, nil
}

func addPart(parts *assembly, record platform.Record) ([]byte, bool) {
	if !strings.HasPrefix(record.ID, snapshotPrefix) {
		return nil, false
	}
	p, ok := decodePart(record.Data)
	if !ok {
		return nil, false
	}
	return parts.add(p)
}
