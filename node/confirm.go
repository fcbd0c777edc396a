package node

import (
	"context"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
)

// confirmInterval is the time from the confirmation of a term that the group does not list to
// the next read of the newest claim. It leaves time for several failed reads.
const confirmInterval = 2 * time.Second

// term is what a member and the owner of a cell both know of a term. A term that the group
// lists is valid. Another one is valid for ownerStoreTimeout after a moment at which no newer
// claim was stored: a newer owner waits that long, counted from its claim, for executors
// that only this owner can reach.
type term struct {
	mu          sync.Mutex
	fence       int64 // fencing token; 0 before the claim is stored
	confirmedAt time.Duration
	unlisted    bool
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
	t.confirmedAt = max(t.confirmedAt, sent)
}

// leaveGroup records that the group does not list the cell for this VM. It reports
// whether it did before.
func (t *term) leaveGroup() (wasListed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasListed = !t.unlisted
	t.unlisted = true
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
	return !t.unlisted || now-t.confirmedAt < ownerStoreTimeout
}

// needsConfirmation reports whether the newest claim must be read for the term to go on.
func (t *term) needsConfirmation(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unlisted && t.fence > 0 && now-t.confirmedAt >= confirmInterval
}

// confirmTerms reads the newest claims of the cells that this VM serves though the group does
// not list them for it.
func (m *member) confirmTerms(ctx context.Context) {
	for cell, o := range m.owned {
		sent := boottime.Now()
		if !o.needsConfirmation(sent) {
			continue
		}
		newest, err := m.n.newestClaim(ctx, progressPartition(cell))
		if err != nil {
			m.n.log.Info("confirming the term failed", "cell", cell, "reason", err.Error())
			continue
		}
		o.confirmWithLog(newest, sent)
	}
}
