package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/provider"
)

const (
	// appendStallLimit is the age of an append of progress from which the owner checks whether the log stores
	// other records. At a slow store an append takes a few seconds with its repeats.
	appendStallLimit = 10 * time.Second
	// stallProbes is the number of records in a row that the log must store meanwhile for the term to end. They are
	// writeTimeout apart, so that an append that was only held up by a freeze of this VM gets through.
	stallProbes = 2
)

// stall detects that the log takes records, but not those of an owner's append. Such a term does nothing
// more, while the VM stays a member of the group. It ends, and the next one stores what is true by then.
//
// While the log takes no records at all, the term goes on: another one could not be claimed, and the leases
// of the cell's tasks would end.
type stall struct {
	progressAt atomic.Int64 // boot time in ns at which the append began, or a part of it was answered
	probing    bool
	probedAt   time.Duration // boot time of the newest probe
	stored     int           // probes that the log has stored since progressAt
	since      int64         // progressAt at the first of them
}

func (s *stall) progress(now time.Duration) { s.progressAt.Store(int64(now)) }

// isDue reports whether a probe is to be sent.
func (s *stall) isDue(now, limit time.Duration) bool {
	return !s.probing && now-time.Duration(s.progressAt.Load()) >= limit && now-s.probedAt >= writeTimeout
}

// observe notes the outcome of a probe, which was sent while the append had made no progress since a time.
func (s *stall) observe(stored bool, since int64) {
	s.probing = false
	if s.since != since || !stored {
		s.since, s.stored = since, 0
	}
	if stored {
		s.stored++
	}
}

// isStalled reports whether the log has stored stallProbes records since the newest progress of the append.
func (s *stall) isStalled() bool { return s.stored >= stallProbes && s.since == s.progressAt.Load() }

// checkStall sends a record without a value if an append of progress is overdue.
func (o *owner) checkStall(now time.Duration) {
	w := o.progress
	if !w.busy || !w.stall.isDue(now, o.n.appendStallLimit) {
		return
	}
	w.stall.probing, w.stall.probedAt = true, now
	since := w.stall.progressAt.Load()
	ctx := o.ctx
	crash.Go(func() {
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		_, err := o.n.store.AppendKeyed(call, w.partition, []provider.KeyedRecord{{Key: rejectedKey}}, provider.Condition{})
		o.post(subjectOf("append", w.partition.Topic), func(time.Duration) {
			w.stall.observe(err == nil, since)
			o.n.log.Info("append is overdue", "topic", w.partition.Topic, "age_ms", (boottime.Now() - time.Duration(since)).Milliseconds(),
				"log_takes_records", err == nil, "fence", o.fence)
		})
	}, "subject", "append", "key", w.partition.Topic, "cell", o.cell)
}
