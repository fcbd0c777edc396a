package dispatch

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// The store may reject a record for good. An owner then holds back the submission of that record and no
// other: it starts nothing of it, and a record under its ID has successors hold it as well, so that ends of
// its runs may be acknowledged. Its progress stays in memory, and is stored once that succeeds.

const (
	minRejectionRetry     = 10 * time.Second // from a rejection to the next attempt; doubles with each in a row
	maxRejectionDoublings = 5
)

// unstoredValue is the progress record of a submission whose progress the store has rejected: a text string
// of CBOR. No version can read progress from it.
var unstoredValue = []byte("\x68rejected")

// rejection is the state of a job whose progress the store has rejected. The zero value stands for none.
type rejection struct {
	rejections  int // in a row
	retryAt     time.Duration
	isAnnounced bool // the record for successors is stored, or will be with the newest batch
}

// isRejected reports whether the progress of a job is not to be stored yet.
func (r *rejection) isRejected(now time.Duration) bool { return r.rejections > 0 && now < r.retryAt }

// acceptsStarts reports whether tasks of a job may be started here.
func (j *job) acceptsStarts() bool { return !j.handingOver && j.rejections == 0 }

// unstoredRecords returns the records that have successors hold a job. No block remains: after the next
// attempt to store progress, which may succeed in part, an older one could count as listed.
func (j *job) unstoredRecords() []provider.KeyedRecord {
	if j.isAnnounced {
		return nil
	}
	j.isAnnounced = true
	out := append([]provider.KeyedRecord{{Key: string(j.id), Value: unstoredValue}}, j.deleteBlocks(nil)...)
	j.stored = storedProgress{}
	return out
}

// retryRejected has the progress of jobs stored again whose time has come.
func (c *Core) retryRejected(now time.Duration) {
	for j := range c.rejected {
		if !j.isRejected(now) {
			c.markDirty(j)
		}
	}
}

// hasUnannouncedRejection reports whether a successor would not hold a submission whose progress is not
// stored. No ends may be acknowledged meanwhile.
func (c *Core) hasUnannouncedRejection() bool {
	for j := range c.rejected {
		if !j.isAnnounced {
			return true
		}
	}
	return false
}

// Reject applies that the store has rejected some records of a batch and stored the others, but for later ones of
// the same subjects, which are passed as rejected as well: a block that lacks tasks must not be stored without the
// list that goes before it. Reject is called before Commit, which then neither starts runs whose records were
// rejected nor acknowledges ends.
func (c *Core) Reject(b *Batch, rejected []provider.KeyedRecord, now time.Duration) {
	if len(rejected) == 0 {
		return
	}
	b.processedEnds = nil
	jobs := map[*job]bool{}
	for _, r := range rejected {
		if r.Key == unreachableKey {
			b.hasUnreachable = false
		}
		if r.Key == extendedKey {
			b.hasExtension = false
		}
		delete(c.recordedCrashes, r.Key)
		if j, ok := c.jobs[submission.ID(r.Subject())]; ok && !jobs[j] {
			jobs[j] = true
			c.rejectProgress(j, r, now)
		}
	}
	for _, r := range b.runs {
		if jobs[r.task.step.job] && r.executor.runs[r.taskName] == r {
			c.markLost(r, "not sent: the store has rejected its record", now)
		}
	}
	for j := range jobs {
		delete(b.states, j)
	}
	b.retried = slices.DeleteFunc(b.retried, func(j *job) bool { return jobs[j] })
}

// rejectProgress holds a job back of whose progress the store has rejected a record.
func (c *Core) rejectProgress(j *job, r provider.KeyedRecord, now time.Duration) {
	j.retryAt = now + minRejectionRetry<<min(j.rejections, maxRejectionDoublings)
	j.rejections++
	j.isAnnounced = false
	c.rejected[j] = struct{}{}
	if !bytes.Equal(r.Value, unstoredValue) {
		c.markDirty(j) // to announce it
	}
	c.events = append(c.events, Event{Kind: "progress rejected", Task: string(j.id), Detail: fmt.Sprintf("record %s has %d bytes; next attempt in %v", r.Key, r.Size(), j.retryAt-now)})
}

// endRejection lets the tasks of a job start again, as its progress is stored.
func (c *Core) endRejection(j *job) {
	j.rejection = rejection{}
	delete(c.rejected, j)
	c.events = append(c.events, Event{Kind: "progress stored again", Task: string(j.id)})
}
