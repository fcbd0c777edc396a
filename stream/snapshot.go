package stream

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// rankDelay is the part of the interval by which each further node waits for
// those before it to publish.
const rankDelay = 0.125

// SnapshotState is what the decision to publish a snapshot rests on.
type SnapshotState struct {
	Interval  time.Duration // intended interval, well below the platform's retention
	SinceLast time.Duration // since the newest snapshot record; unknown is negative
	ReadyFor  time.Duration // since this replica became ready
	Rank      int           // place of the node among those that could publish; 0 is first
	Jitter    float64       // fixed for the node, in [0, 1)
	Empty     bool          // the stream holds no record
}

// SnapshotDue reports whether this node should publish a snapshot now. The
// first node publishes within the interval; each further one only when those
// before it did not.
func SnapshotDue(s SnapshotState) bool {
	if s.Empty || s.Interval <= 0 {
		return false
	}
	since := s.SinceLast
	if since < 0 {
		since = s.ReadyFor
	}
	limit := float64(s.Interval) * (0.5 + 0.25*s.Jitter + rankDelay*float64(s.Rank))
	return float64(since) >= limit
}

// SnapshotState returns the members that the replica knows: Since and Empty.
func (r *Replica) SnapshotState(now time.Time) SnapshotState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := SnapshotState{SinceLast: -1, Empty: r.applier.next == 0}
	if r.applier.snapshot.known {
		s.SinceLast = now.Sub(r.noted)
	}
	return s
}

// noteSnapshot remembers, by the local clock, when the newest snapshot was
// published; mu is held.
func (r *Replica) noteSnapshot() {
	now := time.Now()
	age := max(0, now.Sub(r.applier.snapshot.time))
	r.noted = now.Add(-age)
}

// WriteSnapshot publishes the state on the stream.
func (r *Replica) WriteSnapshot(ctx context.Context, w Writer) error {
	data, err := r.ExportSnapshot()
	if err != nil {
		return err
	}
	id := uniqueSuffix()
	for _, p := range splitSnapshot(id, data) {
		if err := r.writePart(ctx, w, p); err != nil {
			return fmt.Errorf("write snapshot of %s: %w", r.name, err)
		}
	}
	r.o.Logger.V(1).Info("snapshot written", "stream", r.name, "bytes", len(data))
	return nil
}

func (r *Replica) writePart(ctx context.Context, w Writer, p part) error {
	data, err := cbor.Marshal(p)
	if err != nil {
		return err
	}
	_, err = w.Append(ctx, r.name, Entry{ID: partID(p), Data: data, Priority: Background})
	return err
}

func partID(p part) string { return fmt.Sprintf("%s%s.%d", snapshotPrefix, p.Snapshot, p.Index) }
