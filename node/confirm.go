package node

import (
	"context"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/internal/crash"
)

// confirmInterval is the time from the confirmation of a term that the log must confirm to the
// next read of the newest claim. It leaves time for several failed reads.
const confirmInterval = 2 * time.Second

// term is what a member and the owner of a cell both know of a term. A term that the group
// has listed all the time is valid. Another one is valid for ownerStoreTimeout after a moment
// at which no newer claim was stored: a newer owner waits that long, counted from its claim,
// for executors that only this owner can reach. That the group lists the cell again says
// nothing about claims: another VM may have stored one meanwhile, or store it yet.
type term struct {
	mu          sync.Mutex
	fence       int64 // fencing token; 0 before the claim is stored
	confirmedAt time.Duration
	unlisted    bool          // the newest join does not list the cell
	wasUnlisted bool          // a join in the term did not list the cell
	confirming  bool          // a read of the newest claim is under way
	retiredAt   time.Duration // boot time of the VM's decision to stop; 0 before
	givenUpAt   time.Duration // since when the member asks the group to hand the cell over; 0 if it does not
}

// giveUp records since when the member asks the group to hand the cell over; 0 if it does not.
func (t *term) giveUp(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.givenUpAt = at
}

// isUnclaimed reports whether the cell was given up so long ago that another VM would have claimed it, had
// the group listed it there.
func (t *term) isUnclaimed(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.givenUpAt > 0 && now-t.givenUpAt >= unclaimedAfter
}

// begin records that the claim of the term, which began at a time, is stored.
func (t *term) begin(fence int64, claimed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence = fence
	t.confirmedAt = max(t.confirmedAt, claimed)
}

// confirmWithGroup records that the group lists the cell for this VM, as the answer to a join
// that was sent at a time says.
func (t *term) confirmWithGroup(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unlisted = false
	if !t.wasUnlisted {
		t.confirmedAt = max(t.confirmedAt, sent)
	}
}

// leaveGroup records that the group does not list the cell for this VM. It reports
// whether it did before.
func (t *term) leaveGroup() (wasListed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasListed = !t.unlisted
	t.unlisted, t.wasUnlisted = true, true
	return wasListed
}

// confirmWithLog records the newest claim that a read sent at a time has returned.
func (t *term) confirmWithLog(newest storedClaim, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence == newest.fence {
		t.confirmedAt = max(t.confirmedAt, sent)
	}
}

// isValid reports whether the owner may go on.
func (t *term) isValid(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.wasUnlisted || now-t.confirmedAt < ownerStoreTimeout
}

// retire records that the VM is about to leave the group and to stop.
func (t *term) retire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retiredAt, t.unlisted, t.wasUnlisted = now, true, true
}

// retirement returns when the VM decided to stop, or 0, and when the term was last confirmed.
func (t *term) retirement() (retiredAt, confirmedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retiredAt, t.confirmedAt
}

// isClaimed reports whether the claim of the term is stored.
func (t *term) isClaimed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0
}

// beginConfirmation reports whether the newest claim must be read for the term to go on, and
// is not being read. The caller then reads it and calls endConfirmation.
func (t *term) beginConfirmation(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.wasUnlisted || t.fence == 0 || t.confirming || now-t.confirmedAt < confirmInterval {
		return false
	}
	t.confirming = true
	return true
}

func (t *term) endConfirmation() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirming = false
}

// confirmTerms reads the newest claims of the cells whose terms the log must confirm. It does
// not wait for the answers, so that a slow read delays no join.
func (m *member) confirmTerms(ctx context.Context) {
	for cell, o := range m.owned {
		if sent := boottime.Now(); o.beginConfirmation(sent) {
			crash.Go(func() { m.n.confirm(ctx, cell, &o.term, sent) }, "cell", cell)
		}
	}
}

func (n *Node) confirm(ctx context.Context, cell int, t *term, sent time.Duration) {
	defer t.endConfirmation()
	ctx, cancel := context.WithTimeout(ctx, ownerStoreTimeout-confirmInterval)
	defer cancel()
	newest, err := n.newestClaim(ctx, progressPartition(cell))
	if err != nil {
		n.log.Info("confirming the term failed", "cell", cell, "reason", err.Error())
		return
	}
	t.confirmWithLog(newest, sent)
}
