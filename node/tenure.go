package node

import "time"

const (
	// settleTime is the time without a change in the group after which a member hands over
	// a cell that the group has assigned to another one.
	settleTime = 2 * time.Second
	// handoverTime is the time for which a member serves a cell on after it has asked the
	// group to hand it over. A claim needs the end of the cell's partition, which moves
	// with each append, so that the new owner could wait for ever at a slow store.
	handoverTime = 2 * time.Second
	// unclaimedAfter is the time after which a cell that was given up counts as unclaimed: the group hears of it at the next
	// join, and the member that it lists the cell for at the one after that.
	unclaimedAfter = 2 * joinInterval
	// releaseTime is the time without a change in the group after which a member that keeps its only cell gives it up for
	// the sake of a cell without an owner.
	releaseTime = joinInterval
)

// tenure decides how long a member keeps cells that the group no longer lists for it. It does
// no I/O.
//
// Load pattern: a store that loses answers removes members and adds them again several times
// in a second, and each time the group deals all cells anew. A member that released its cell at
// once left it without an owner for seconds, often until it was dealt the same cell again.
//
// The group reassigns a cell that it no longer lists only when its holder joins with the
// generation that took it away, or a later one, or is silent. So a member that names an earlier
// generation keeps the cell. It serves until a newer owner fences it, whatever the group lists.
//
// Load pattern: power returns, and all members join within a second. The group deals anew at each of these joins, also to
// members that do not join in between. A cell that a member was dealt and that was taken away again before its next
// join stays with that member as well, which does not know of it, for as long as it names an earlier
// generation. So it names the newest one once some cell has no owner.
type tenure struct {
	newest    int64         // generation last received
	changedAt time.Duration // boot time at which newest was first received
	named     int64         // generation that the next join names
	givenUpAt map[int]time.Duration
}

// observe applies the answer to a join: the cells that this member holds and those that the
// group lists for it. Unowned is true if some cell has no owner. It returns the held cells to release now.
func (t *tenure) observe(now time.Duration, generation int64, held []int, listed map[int]bool, unowned bool) (release []int) {
	if generation != t.newest {
		t.newest, t.changedAt = generation, now
	}
	var unlisted []int
	for _, cell := range held {
		if listed[cell] {
			delete(t.givenUpAt, cell)
		} else {
			unlisted = append(unlisted, cell)
		}
	}
	if len(unlisted) == 0 {
		t.named = generation
		return nil
	}
	blocksOther := unowned && generation != t.named && now-t.changedAt >= releaseTime
	if !blocksOther && t.keeps(now, len(held), len(unlisted), len(listed)) {
		return t.expired(now, unlisted)
	}
	t.named = generation
	for _, cell := range unlisted {
		t.giveUp(cell, now)
	}
	return t.expired(now, unlisted)
}

// keeps reports whether the member keeps all cells that it holds. A cell that is its only one
// stays: elsewhere it would be no better off. One of several goes once the group has settled.
func (t *tenure) keeps(now time.Duration, held, unlisted, listed int) bool {
	isOnly := held == 1 && unlisted == 1 && listed == 0
	return isOnly || now-t.changedAt < settleTime
}

// hasSettled reports whether the group has been unchanged for settleTime.
func (t *tenure) hasSettled(now time.Duration, generation int64) bool {
	return generation == t.newest && now-t.changedAt >= settleTime
}

func (t *tenure) giveUp(cell int, now time.Duration) {
	if t.givenUpAt == nil {
		t.givenUpAt = map[int]time.Duration{}
	}
	if _, ok := t.givenUpAt[cell]; !ok {
		t.givenUpAt[cell] = now
	}
}

// expired returns the cells that were given up at least handoverTime ago.
func (t *tenure) expired(now time.Duration, cells []int) []int {
	var out []int
	for _, cell := range cells {
		if at, ok := t.givenUpAt[cell]; ok && now-at >= handoverTime {
			out = append(out, cell)
		}
	}
	return out
}

// forget forgets a cell that the member no longer holds.
func (t *tenure) forget(cell int) { delete(t.givenUpAt, cell) }
