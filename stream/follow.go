package stream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// searchFrom is how many records a newcomer reads rather than look for a
// snapshot.
const searchFrom = 1024

// Run follows the stream until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.o.Logger.V(1).Info("read failed", "stream", r.name, "error", err)
			r.setReason(err.Error())
			backoff(ctx, failures)
			failures++
			continue
		}
		failures = 0
	}
	return nil
}

// step reads once, from the peer if it answers, and applies what comes.
func (r *Replica) step(ctx context.Context) error {
	if r.stepPeer(ctx) {
		return nil
	}
	return r.stepFrom(ctx, r.log, r.o.Wait)
}

func (r *Replica) stepPeer(ctx context.Context) bool {
	if r.o.Peer == nil || time.Now().Before(r.peerAfter) {
		return false
	}
	peer := r.o.Peer()
	if peer == nil {
		return false
	}
	err := r.stepFrom(ctx, peer, r.o.PeerWait)
	if err == nil && r.Age(time.Now()) <= 2*r.o.Wait+r.o.PeerWait+maxPeerAge {
		return true
	}
	r.peerAfter = time.Now().Add(peerRetry)
	r.o.Logger.V(1).Info("peer passed over", "stream", r.name, "error", err)
	return false
}

func (r *Replica) stepFrom(ctx context.Context, s Source, wait time.Duration) error {
	from := r.Next()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	feed, err := s.Read(ctx, r.name, from, r.o.Batch, wait)
	if errors.Is(err, platform.ErrTrimmed) {
		return r.search(ctx, s, feed.Batch)
	}
	if err != nil {
		return fmt.Errorf("read %s@%d: %w", r.name, from, err)
	}
	if from == 0 && feed.Batch.End-feed.Batch.Next > searchFrom {
		return r.searchOrApply(ctx, s, feed, sent)
	}
	return r.take(feed, sent)
}

// searchOrApply starts from a snapshot if there is one, since that is shorter
// than to read the whole stream.
func (r *Replica) searchOrApply(ctx context.Context, s Source, feed Feed, sent time.Time) error {
	err := r.search(ctx, s, feed.Batch)
	if errors.Is(err, errNoSnapshot) {
		return r.take(feed, sent)
	}
	return err
}

// take applies a feed that was asked for at sent.
func (r *Replica) take(feed Feed, sent time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(feed.Snapshot) > 0 {
		if err := r.restore(feed.Snapshot); err != nil {
			return err
		}
	}
	before := r.applier.next
	for _, record := range feed.Batch.Records {
		r.applyRecord(record)
	}
	r.applier.next = max(r.applier.next, feed.Batch.Next)
	r.end = max(r.end, feed.Batch.End)
	r.markFresh(feed, sent)
	if r.applier.next != before {
		r.notify()
	}
	return nil
}

func (r *Replica) applyRecord(record platform.Record) {
	if record.Offset < r.applier.next {
		return
	}
	mark := r.applier.snapshot
	r.applier.apply(record)
	if r.applier.snapshot != mark {
		r.noteSnapshot()
		return
	}
	r.tail.add(record)
}

// markFresh notes when the replica had everything. A source that is behind the
// replica proves nothing.
func (r *Replica) markFresh(feed Feed, sent time.Time) {
	if feed.Batch.End < r.end || r.applier.next < r.end {
		r.reason = fmt.Sprintf("applied up to offset %d of %d", r.applier.next, r.end)
		return
	}
	at := sent.Add(-feed.Age)
	if at.After(r.fresh) {
		r.fresh = at
	}
	if !r.ready {
		r.ready = true
		r.o.Logger.Info("stream ready", "stream", r.name, "next", r.applier.next)
	}
}

func (r *Replica) setReason(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reason = reason
}
