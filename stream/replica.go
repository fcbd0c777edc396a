package stream

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/platform"
)

const (
	defaultWait     = 400 * time.Millisecond // of a long poll of the log
	defaultPeerWait = time.Second            // of a long poll of a peer
	defaultBatch    = 512                    // records of a read
	readMargin      = 3 * time.Second        // beyond the wait of a read
	peerRetry       = 5 * time.Second        // before a silent peer is asked again
	maxPeerAge      = 3 * time.Second        // beyond the waits; an older peer is passed over
)

// ReplicaOptions adjusts a Replica; zero values stand for defaults.
type ReplicaOptions struct {
	// Wait and PeerWait are the longest that a read of the log and of a peer
	// waits for a record. While all is well, Age stays below twice Wait, and at
	// a peer below twice Wait and PeerWait, plus the time of the answers.
	Wait     time.Duration
	PeerWait time.Duration
	// Batch is the most records of one read.
	Batch int
	// Peer returns the peer to follow instead of the log, or nil for the log.
	// It is called before each read. The log is read while the peer is silent
	// or its knowledge is old.
	Peer func() Source
	// Tail is how many newest records are held for peers.
	Tail int
	// Logger gets one line for each event.
	Logger logr.Logger
}

// Replica follows one stream and holds the machine's state.
type Replica struct {
	name string
	log  Source
	o    ReplicaOptions

	mu      sync.RWMutex // protects all below and the machine
	applier applier
	tail    tail
	end     platform.Offset // newest known end of the stream
	fresh   time.Time       // when everything up to end was applied
	ready   bool
	reason  string
	changed chan struct{}
	noted   time.Time // local time of the newest snapshot record

	peerAfter time.Time // no peer is asked before; used by Run alone
}

// NewReplica returns a replica of the stream called name that feeds m. Nobody
// else may use m from then on, but for functions passed to Read.
func NewReplica(log platform.Log, name string, m Machine, o ReplicaOptions) *Replica {
	if o.Wait <= 0 {
		o.Wait = defaultWait
	}
	if o.PeerWait <= 0 {
		o.PeerWait = defaultPeerWait
	}
	if o.Batch <= 0 {
		o.Batch = defaultBatch
	}
	if o.Tail <= 0 {
		o.Tail = defaultTail
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	return &Replica{
		name:    name,
		log:     logSource(log),
		o:       o,
		applier: applier{machine: m},
		tail:    tail{limit: o.Tail},
		reason:  "nothing was read yet",
		changed: make(chan struct{}),
	}
}

// Read runs fn while nothing is applied. Fn must not change the machine.
func (r *Replica) Read(fn func()) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	fn()
}

// Name returns the name of the stream.
func (r *Replica) Name() string { return r.name }

// Next returns the first offset that is not applied.
func (r *Replica) Next() platform.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.applier.next
}

// Age returns how long before now the replica last had all records of the
// stream. It is the largest Duration while that was never so.
func (r *Replica) Age(now time.Time) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.age(now)
}

func (r *Replica) age(now time.Time) time.Duration {
	if r.fresh.IsZero() {
		return 1<<63 - 1
	}
	return max(0, now.Sub(r.fresh))
}

// Ready reports whether the state may be used: the replica had all records
// once, or holds a peer's snapshot. Otherwise it says why not.
func (r *Replica) Ready() (ok bool, reason string) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.ready {
		return true, ""
	}
	return false, fmt.Sprintf("stream %s: %s", r.name, r.reason)
}

// Changed returns a channel that is closed on the next change of the state.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// WaitFor returns once the record at offset is applied.
func (r *Replica) WaitFor(ctx context.Context, offset platform.Offset) error {
	for {
		changed := r.Changed()
		if r.Next() > offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for %s@%d: %w", r.name, offset, ctx.Err())
		}
	}
}

// ExportSnapshot returns a snapshot for ImportSnapshot at a peer.
func (r *Replica) ExportSnapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.applier.export()
}

// ImportSnapshot applies a peer's snapshot, unless it covers no more than is
// applied already. The replica is ready afterwards.
func (r *Replica) ImportSnapshot(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.restore(data); err != nil {
		return err
	}
	r.ready = true
	return nil
}

// restore applies a snapshot that covers more than is applied; mu is held.
func (r *Replica) restore(data []byte) error {
	moved, err := r.applier.restore(data)
	if err != nil {
		return fmt.Errorf("stream %s: %w", r.name, err)
	}
	if moved {
		r.tail.reset(r.applier.next)
		r.notify()
		r.o.Logger.V(1).Info("snapshot applied", "stream", r.name, "covers", r.applier.next)
	}
	return nil
}

// notify wakes all that wait for a change; mu is held.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
