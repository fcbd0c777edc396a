package relay

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	snapshotWait = 700 * time.Millisecond
	answerMargin = time.Second // beyond the wait of a long poll
	retryWait    = 300 * time.Millisecond
)

// Peer returns a source of streams that asks the scheduler at addr.
func Peer(pool *wire.Pool, addr string) stream.Source {
	return stream.SourceFunc(func(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) (stream.Feed, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
		defer cancel()
		args := StreamArgs{Stream: name, From: from, Max: limit, Wait: wait}
		var reply StreamReply
		if err := pool.Client(addr).Call(ctx, ServiceName+".Stream", args, &reply); err != nil {
			return stream.Feed{}, err
		}
		return reply.feed(), nil
	})
}

// Follower keeps the newest settings and VM list of a scheduler. It holds on to
// the last ones while the scheduler is silent, and never moves back.
type Follower struct {
	client        *wire.Client
	node, process string

	mu      sync.RWMutex // protects all below
	view    *settings.View
	vms     []platform.VM
	hash    uint64
	fresh   time.Time
	changed chan struct{}
}

// NewFollower returns a follower of the scheduler that client calls, on behalf
// of a process of a node.
func NewFollower(client *wire.Client, node, process string) *Follower {
	return &Follower{client: client, node: node, process: process, changed: make(chan struct{})}
}

// View returns the newest settings, or nil before the first.
func (f *Follower) View() *settings.View {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.view
}

// VMs returns the newest list of VMs.
func (f *Follower) VMs() []platform.VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.vms
}

// Age returns how long before now the settings were last known to be the newest.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.fresh.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(f.fresh)
}

// Changed returns a channel that is closed on the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Run follows the scheduler until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			retry := time.NewTimer(retryWait)
			select {
			case <-ctx.Done():
			case <-retry.C:
			}
			retry.Stop()
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotWait+answerMargin)
	defer cancel()
	sent := time.Now()
	var reply SnapshotReply
	if err := f.client.Call(ctx, ServiceName+".Snapshot", f.args(), &reply); err != nil {
		return err
	}
	f.take(reply, sent)
	return nil
}

func (f *Follower) args() SnapshotArgs {
	f.mu.RLock()
	defer f.mu.RUnlock()
	a := SnapshotArgs{Node: f.node, Process: f.process, Revision: -1, VMsHash: f.hash, Wait: snapshotWait}
	if f.view != nil {
		a.Revision = f.view.Revision
	}
	return a
}

func (f *Follower) take(reply SnapshotReply, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	moved := false
	if reply.View != nil && (f.view == nil || reply.View.Revision > f.view.Revision) {
		f.view = reply.View
		moved = true
	}
	if reply.VMs != nil {
		f.vms, f.hash = reply.VMs, reply.VMsHash
		moved = true
	}
	isBehind := f.view != nil && reply.Seen < f.view.Revision
	if at := sent.Add(-reply.Age); !isBehind && at.After(f.fresh) {
		f.fresh = at
	}
	if moved {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}
