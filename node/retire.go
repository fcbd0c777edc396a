package node

import (
	"context"
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/internal/pause"
)

const (
	// yieldDelay is the time from a VM's decision to stop after which its owners store nothing
	// more. The next member hears of its cells within joinInterval; until then they are served.
	yieldDelay = joinInterval
	// viewCheckInterval is the time between two checks of whether the submissions are read.
	viewCheckInterval = 25 * time.Millisecond
)

// yieldsToSuccessor reports whether an owner stores nothing more, since a successor is expected.
//
// Load pattern: VMs are restarted in turn while the store is slow. A claim names the end of the
// cell's partition, and each append that is processed before it moves that end, so that a cell
// with a busy owner can't be claimed while an append takes longer than the owner's pause.
func yieldsToSuccessor(retiredAt, now time.Duration) bool {
	return retiredAt != 0 && now-retiredAt >= yieldDelay
}

// extendedLeases returns the time until which a retired owner may grant leases, by a slow clock
// of an executor: a successor claims the cell after the last confirmation of the term.
func (n *Node) extendedLeases(confirmedAt time.Duration) time.Duration {
	return confirmedAt + n.longestLease()
}

// retire extends the leases of all runs once the VM is about to stop, so that they last until
// there is a successor. It reports whether the owner stores nothing more.
func (o *owner) retire(now time.Duration) (yields bool) {
	retiredAt, confirmedAt := o.term.retirement()
	if retiredAt == 0 {
		return false
	}
	if !o.retired {
		o.retired = true
		o.core.ExtendLeases(o.n.extendedLeases(confirmedAt))
	}
	return yieldsToSuccessor(retiredAt, now)
}

// awaitView waits until this VM has read the submissions. A member without them can't serve
// the cells that the group assigns to it, and keeps others from them.
func (m *member) awaitView(ctx context.Context) error {
	for {
		if _, read := m.n.submissionsFollower.Age(); read {
			return nil
		}
		if err := pause.For(ctx, viewCheckInterval); err != nil {
			return err
		}
	}
}

// handOver leaves the group, and serves the cells of this VM until other owners fence it or
// the time for that is over.
func (m *member) handOver() {
	start := boottime.Now()
	limit := m.n.stopServeTime()
	for cell, o := range m.owned {
		if limit == 0 || !o.isClaimed() {
			m.release(cell, "stop requested")
			continue
		}
		o.retire(start)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(limit, leaveTimeout))
	defer cancel()
	if m.inGroup {
		m.leaveGroup(ctx)
	}
	for cell, o := range m.owned {
		outcome := "handed over"
		select {
		case <-o.stopped:
		case <-ctx.Done():
			outcome = "not taken over in time"
		}
		m.n.set.GetOrCreateCounter(fmt.Sprintf("peridotlock_handovers_total{outcome=%q}", outcome)).Inc()
		m.n.log.Info("stopped serving a cell", "cell", cell, "outcome", outcome, "after_ms", (boottime.Now() - start).Milliseconds())
		m.release(cell, "stop requested")
	}
}
