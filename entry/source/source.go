// Package source keeps the entry's snapshot of the settings and the VM list up
// to date from the scheduler on the same VM.
package source

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/relay"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	pollWait     = time.Second
	answerMargin = time.Second // beyond pollWait before the connection is given up
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	noRevision   = platform.Offset(-1)
	noList       = 0 // hash of a scheduler that has no list yet
)

// Snapshot is one immutable state of the settings and the VM list.
type Snapshot struct {
	View *settings.View
	VMs  []platform.VM
}

// Source polls a scheduler for snapshots.
type Source struct {
	Node    string
	Client  *wire.Client
	Log     logr.Logger
	Apply   func(Snapshot) // called with each new snapshot
	Failing func(error)    // called with each failed poll
	held    Snapshot
	hash    uint64
}

// Run polls until ctx ends. The last snapshot stays in force while the
// scheduler can't be reached.
func (s *Source) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := s.poll(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.Failing(err)
		s.Log.V(1).Info("snapshot poll failed", "scheduler", s.Client.Addr(), "error", err.Error())
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s *Source) poll(ctx context.Context) error {
	args := relay.SnapshotArgs{Node: s.Node, Process: "entry", Revision: s.revision(), VMsHash: s.hash, Wait: pollWait}
	ctx, cancel := context.WithTimeout(ctx, pollWait+answerMargin)
	defer cancel()
	var reply relay.SnapshotReply
	if err := s.Client.Call(ctx, relay.ServiceName+".Snapshot", args, &reply); err != nil {
		return fmt.Errorf("snapshot from scheduler: %w", err)
	}
	if s.merge(reply) {
		s.Apply(s.held)
		s.Log.Info("snapshot applied", "revision", s.held.View.Revision, "vms", len(s.held.VMs))
	}
	return nil
}

func (s *Source) revision() platform.Offset {
	if s.held.View == nil {
		return noRevision
	}
	return s.held.View.Revision
}

// merge takes what is newer than what is held and reports whether there is
// anything new to apply. An older revision is never taken, and the list of a
// scheduler that has none yet leaves the held one in force.
func (s *Source) merge(r relay.SnapshotReply) bool {
	changed := false
	if r.View != nil && (s.held.View == nil || r.View.Revision > s.held.View.Revision) {
		s.held.View = r.View
		changed = true
	}
	if r.VMsHash != noList && r.VMsHash != s.hash {
		s.held.VMs = r.VMs
		s.hash = r.VMsHash
		changed = true
	}
	return changed && s.held.View != nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
