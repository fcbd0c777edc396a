package owner

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/stream"
)

const (
	maxBatch      = 500              // records in one entry
	appendTimeout = 15 * time.Second // of one entry
	recordTimeout = 10 * time.Second // of one caller's records
)

// errWithdrawn says that records were not sent before their time ran out.
var errWithdrawn = fmt.Errorf("%w: not sent in time", platform.ErrUnavailable)

// pending is the records of one caller.
type pending struct {
	records []queue.Record
	urgency stream.Priority
	taken   bool
	done    chan error
}

// appender groups the records of many callers into entries, one entry at a
// time, and tells each caller once its records were read back.
type appender struct {
	writer  stream.Writer
	replica Replica
	name    string
	prefix  string // of entry ids
	term    platform.Offset
	added   chan struct{}
	down    atomic.Int64 // Unix nanoseconds since when entries fail, 0 for not

	mu    sync.Mutex // protects all below
	queue []*pending
	count int
}

func newAppender(w stream.Writer, r Replica, name string, term platform.Offset) *appender {
	return &appender{
		writer: w, replica: r, name: name, term: term,
		prefix: rand.Text(),
		added:  make(chan struct{}, 1),
	}
}

// append returns nil once the records were read back. The error wraps
// platform.ErrUnavailable when they are certainly not in the stream, and
// platform.ErrInDoubt when they may be.
func (a *appender) append(ctx context.Context, urgency stream.Priority, records ...queue.Record) error {
	p := &pending{records: records, urgency: urgency, done: make(chan error, 1)}
	a.mu.Lock()
	a.queue = append(a.queue, p)
	a.mu.Unlock()
	select {
	case a.added <- struct{}{}:
	default:
	}
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case err := <-p.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.giveUp(p)
}

// giveUp withdraws records that were not sent.
func (a *appender) giveUp(p *pending) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.taken {
		return platform.ErrInDoubt
	}
	p.taken = true
	p.records = nil
	return errWithdrawn
}

// downSince returns since when entries fail; ok is false when they do not.
func (a *appender) downSince() (time.Time, bool) {
	at := a.down.Load()
	return time.Unix(0, at), at != 0
}

func (a *appender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.added:
		}
		for ctx.Err() == nil {
			batch := a.take()
			if len(batch) == 0 {
				break
			}
			err := a.write(ctx, batch)
			for _, p := range batch {
				p.done <- err
			}
		}
	}
}

// take removes the next records from the queue, urgent ones first.
func (a *appender) take() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*pending
	count := 0
	for _, urgency := range []stream.Priority{stream.Urgent, stream.Normal, stream.Background} {
		for _, p := range a.queue {
			if p.taken || p.urgency != urgency || (count > 0 && count+len(p.records) > maxBatch) {
				continue
			}
			p.taken = true
			count += len(p.records)
			batch = append(batch, p)
		}
	}
	rest := a.queue[:0]
	for _, p := range a.queue {
		if !p.taken {
			rest = append(rest, p)
		}
	}
	clear(a.queue[len(rest):])
	a.queue = rest
	return batch
}

// write appends one entry and waits until it was read back.
func (a *appender) write(ctx context.Context, batch []*pending) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	b := queue.Batch{Term: a.term}
	for _, p := range batch {
		b.Records = append(b.Records, p.records...)
	}
	data, err := b.Encode()
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	a.count++
	entry := stream.Entry{ID: fmt.Sprintf("%s-%d", a.prefix, a.count), Data: data, Priority: batch[0].urgency}
	offset, err := a.writer.Append(ctx, a.name, entry)
	a.note(err)
	if err != nil {
		return err
	}
	if err := a.replica.WaitFor(ctx, offset); err != nil {
		return errors.Join(platform.ErrInDoubt, err)
	}
	return nil
}

// note remembers since when entries fail.
func (a *appender) note(err error) {
	if err == nil {
		a.down.Store(0)
		return
	}
	a.down.CompareAndSwap(0, time.Now().UnixNano())
}
