package intake

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/provider"
)

// Appender appends the records of several callers to a partition, those that wait in one call. It
// is safe for concurrent use.
type Appender struct{ batcher *batcher }

// overlapAge is the age of an append from which records that have arrived meanwhile don't wait for its
// end. It exceeds an append and its answer at a store that is 75 times as slow as usual: the log has
// more to do, and the next append can wait there beside it.
const overlapAge = 500 * time.Millisecond

// NewAppender returns an Appender for a partition. MinRepeatDelay returns the least time after which
// an append without an answer is repeated.
func NewAppender(log provider.KeyedLog, p provider.Partition, minRepeatDelay func() time.Duration) *Appender {
	return &Appender{&batcher{log: log, partition: p, newest: &atomic.Pointer[answeredAppend]{}, minRepeatDelay: minRepeatDelay,
		mayOverlap: func(age time.Duration) bool { return age >= overlapAge }, maxOverlap: 2}}
}

// Store stores records and returns an error for each, nil if it was stored. An error wraps
// provider.ErrUnavailable or provider.ErrRejected if the record was certainly not stored, and
// provider.ErrInDoubt otherwise.
func (a *Appender) Store(ctx context.Context, records []provider.KeyedRecord) []error {
	errs := make([]error, len(records))
	done := make(chan struct{})
	for i, r := range records {
		crash.Go(func() {
			defer func() { done <- struct{}{} }()
			errs[i] = a.batcher.store(ctx, r)
			if errors.Is(errs[i], errNotSent) {
				errs[i] = fmt.Errorf("%w: %w", provider.ErrUnavailable, errs[i])
			}
		}, "subject", "append", "key", r.Key)
	}
	for range records {
		<-done
	}
	return errs
}

// Took implements groupcommit.Appender.
func (a *Appender) Took() (took time.Duration, number int64, answeredAt time.Duration) {
	if n := a.batcher.newest.Load(); n != nil {
		return n.took, n.number, n.answeredAt
	}
	return 0, 0, 0
}
