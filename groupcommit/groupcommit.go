// Package groupcommit lets the VMs of a large fleet append their records to a partition of the
// keyed log through one of them while the log is slow.
//
// A partition processes its appends one after the other. If each takes 150 ms, forty VMs that
// append for themselves share six appends a second, and the log refuses what waits for longer than
// it allows. One VM, the committer, puts the records that arrive during an append into the next one.
//
// A Log chooses the committer for its VM; a Service is the committer's side. Any VM may be a
// committer, and several may be at the same time: records are idempotent. A committer whose appends
// are slow notifies all VMs, so that not each of them has to find out by an append of its own.
package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/provider"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "GroupCommit"

// Appender appends records of several callers, those that wait in one call. Store returns an error
// for each record, which wraps provider.ErrUnavailable or provider.ErrRejected if the record was
// certainly not stored.
type Appender interface {
	Store(ctx context.Context, records []provider.KeyedRecord) []error
	// Took returns the duration and the number of the newest append that was answered, 0 if there is
	// none, and the boot time of its answer.
	Took() (took time.Duration, number int64, answeredAt time.Duration)
}

// Result is what became of a record.
type Result byte

// The results of a record.
const (
	InDoubt Result = iota // it may have been stored, or may still be
	Stored
	NotStored // and never will be by this request
	Rejected  // as NotStored: the log does not take it
	results
)

// ErrNotStored is wrapped, beside provider.ErrUnavailable, by the error of records that a committer
// has not stored and will not store.
var ErrNotStored = errors.New("committer did not store the record in time")

// StoreArgs are the arguments of Service.Store.
type StoreArgs struct {
	Records []provider.KeyedRecord
	Timeout time.Duration // after which the caller does not wait any more
}

// StoreReply is the reply of Service.Store.
type StoreReply struct {
	Results []Result
	Took    time.Duration // of the committer's newest append that was answered
	Number  int64         // of that append
	// Silent is the time for which none of the committer's appends has been answered, since the
	// request arrived at most.
	Silent time.Duration
}

// maxTimeout bounds the time for which a record waits at a committer.
const maxTimeout = 3 * time.Second

// Service stores records for other VMs.
type Service struct{ log *Log }

// NewService returns the net/rpc service to register under ServiceName.
func NewService(l *Log) *Service { return &Service{l} }

// NoticeArgs are the arguments of Service.Notice.
type NoticeArgs struct {
	From     string
	AppendMs int64 // duration of a slow append; 0 only asks for an answer
	Answered bool  // that append was answered
}

// NoticeReply is the reply of Service.Notice.
type NoticeReply struct{}

// Notice is a method of net/rpc. It notifies this VM of a slow log.
func (s *Service) Notice(args NoticeArgs, _ *NoticeReply) error {
	defer crash.End(nil)
	if args.AppendMs > 0 {
		s.log.handleNotice(args)
	}
	return nil
}

// Store is a method of net/rpc.
func (s *Service) Store(args StoreArgs, reply *StoreReply) error {
	defer crash.End(nil) // net/rpc calls it in a goroutine of its own
	if args.Timeout <= 0 || len(args.Records) == 0 {
		return fmt.Errorf("%d records with a timeout of %v", len(args.Records), args.Timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Timeout, maxTimeout))
	defer cancel()
	arrived := boottime.Now()
	reply.Results = s.log.storeAsCommitter(ctx, args.Records)
	var answeredAt time.Duration
	reply.Took, reply.Number, answeredAt = s.log.opts.Appender.Took()
	reply.Silent = boottime.Now() - max(arrived, answeredAt)
	return nil
}

func resultOf(err error) Result {
	switch {
	case err == nil:
		return Stored
	case errors.Is(err, provider.ErrInDoubt):
		return InDoubt
	case errors.Is(err, provider.ErrRejected):
		return Rejected
	case errors.Is(err, provider.ErrUnavailable):
		return NotStored
	}
	return InDoubt
}

// errorOf returns the error of an append whose records have the given results. Unless all were
// stored, or none was, the append is in doubt.
func errorOf(list []Result, want int) error {
	if len(list) != want {
		return fmt.Errorf("%w: committer returned %d results for %d records", provider.ErrInDoubt, len(list), want)
	}
	counts := [results]int{}
	for _, r := range list {
		if r >= results { // of a later version
			r = InDoubt
		}
		counts[r]++
	}
	switch want {
	case counts[Stored]:
		return nil
	case counts[Rejected]:
		return fmt.Errorf("committer: %w", provider.ErrRejected)
	case counts[NotStored] + counts[Rejected]:
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, ErrNotStored)
	}
	return fmt.Errorf("%w: committer stored %d of %d records", provider.ErrInDoubt, counts[Stored], want)
}
