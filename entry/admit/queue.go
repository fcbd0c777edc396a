// Package admit holds the requests that wait for an endpoint: a bounded queue,
// fair among callers, ordered by deadline within a caller. It sheds early what
// can't be answered in time.
package admit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/entry/balance"
	"github.com/peridotlock/peridotlock/fleet"
)

// ErrShed says that the request was given up before any byte was sent.
var ErrShed = errors.New("shed by admission")

// maxWaitShare is the part of the spare time that may be spent waiting by
// expectation. Expectations fail, and a standing queue helps no throughput.
const maxWaitShare = 0.5

// Waiter is a request that waits for a slot.
type Waiter struct {
	Caller   string
	Class    fleet.RequestClass
	Deadline time.Time
	Choice   balance.Choice
	grant    chan *balance.Slot // nil slot: shed
	line     *line              // nil when not queued
}

// Queue holds the waiters of one service. Only requests that find no free slot
// take its lock.
type Queue struct {
	set     *balance.Set
	waiting atomic.Int32

	mu    sync.Mutex // protects lines
	lines lines
}

// NewQueue returns the queue of set and has itself told of freed slots.
func NewQueue(set *balance.Set) *Queue {
	q := &Queue{set: set, lines: newLines()}
	set.OnFree(q.Dispatch)
	return q
}

// Waiting returns the number of waiters.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// Acquire takes a slot at once when nobody waits and one is free. Otherwise it
// waits in line. The error is ErrShed or that of ctx; nothing was sent then.
func (q *Queue) Acquire(ctx context.Context, w *Waiter, limit int) (*balance.Slot, error) {
	if slot := q.TryAcquire(w.Choice); slot != nil {
		return slot, nil
	}
	w.grant = make(chan *balance.Slot, 1)
	if !q.push(w, limit) {
		return nil, ErrShed
	}
	q.Dispatch()
	timer := time.NewTimer(time.Until(w.Deadline) - q.set.Latency.Mean())
	defer timer.Stop()
	select {
	case slot := <-w.grant:
		return granted(slot)
	case <-timer.C:
		return q.leave(w, ErrShed)
	case <-ctx.Done():
		return q.leave(w, ctx.Err())
	}
}

// TryAcquire takes a slot only when nobody waits and one is free.
func (q *Queue) TryAcquire(c balance.Choice) *balance.Slot {
	if q.waiting.Load() > 0 {
		return nil
	}
	return q.set.Acquire(c)
}

// Dispatch gives free slots to waiters.
func (q *Queue) Dispatch() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for w := q.lines.head(); w != nil; w = q.lines.head() {
		if now.Add(q.set.Latency.Mean()).After(w.Deadline) {
			q.remove(w)
			w.grant <- nil
			continue
		}
		w.Choice.Now = now
		slot := q.set.Acquire(w.Choice)
		if slot == nil {
			return
		}
		q.remove(w)
		q.lines.advance(w.line)
		w.grant <- slot
	}
}

// Expected returns the wait of a new request of caller.
func (q *Queue) Expected(caller string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expected(caller)
}

// Admits reports whether a new request of caller can be expected to be
// answered before the deadline.
func (q *Queue) Admits(caller string, deadline time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admits(caller, deadline)
}

func (q *Queue) admits(caller string, deadline time.Time) bool {
	spare := time.Until(deadline) - q.set.Latency.Mean()
	return float64(q.expected(caller)) <= maxWaitShare*float64(spare)
}

func (q *Queue) expected(caller string) time.Duration {
	ahead := q.lines.ahead(caller) + 1
	slots := max(1, q.set.Slots())
	return time.Duration(float64(q.set.Latency.Mean()) * float64(ahead) / float64(slots))
}

// push adds w, unless it can't be answered in time or is the one to give up
// when the queue is full.
func (q *Queue) push(w *Waiter, limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.admits(w.Caller, w.Deadline) {
		return false
	}
	q.lines.add(w)
	q.waiting.Add(1)
	if q.lines.total <= limit {
		return true
	}
	victim := q.lines.victim()
	q.remove(victim)
	if victim == w {
		return false
	}
	victim.grant <- nil
	return true
}

func (q *Queue) remove(w *Waiter) {
	q.lines.remove(w)
	q.waiting.Add(-1)
}

// leave takes w out of line; a slot granted meanwhile is given back.
func (q *Queue) leave(w *Waiter, err error) (*balance.Slot, error) {
	q.mu.Lock()
	queued := w.line.holds(w)
	if queued {
		q.remove(w)
	}
	q.mu.Unlock()
	if queued {
		return nil, err
	}
	if slot := <-w.grant; slot != nil {
		slot.Release()
	}
	return nil, err
}

func granted(slot *balance.Slot) (*balance.Slot, error) {
	if slot == nil {
		return nil, ErrShed
	}
	return slot, nil
}
