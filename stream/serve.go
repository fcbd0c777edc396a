package stream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// ErrNotReady says that a replica can't serve peers since it lacks the state
// itself.
var ErrNotReady = errors.New("replica is not ready")

// Serve answers a peer that follows this replica: the records from an offset
// on, or a snapshot when they are no longer held. It waits up to wait while
// there is nothing new.
func (r *Replica) Serve(ctx context.Context, from platform.Offset, limit int, wait time.Duration) (Feed, error) {
	received := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changed := r.Changed()
		feed, err := r.feed(from, limit, received)
		if err != nil || feed.Batch.Next > from {
			return feed, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return r.feed(from, limit, received)
		}
	}
}

func (r *Replica) feed(from platform.Offset, limit int, received time.Time) (Feed, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.ready {
		return Feed{}, fmt.Errorf("stream %s: %w: %s", r.name, ErrNotReady, r.reason)
	}
	next := r.applier.next
	f := Feed{
		Batch: platform.Batch{First: r.tail.start, Next: next, End: max(r.end, next)},
		Age:   received.Sub(r.fresh),
	}
	if from >= next {
		return f, nil
	}
	if from < r.tail.start {
		var err error
		f.Snapshot, err = r.applier.export()
		return f, err
	}
	f.Batch.Records = r.tail.from(from, limit)
	if n := len(f.Batch.Records); n == limit {
		f.Batch.Next = f.Batch.Records[n-1].Offset + 1
	}
	return f, nil
}
