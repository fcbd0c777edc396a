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
	Options  balance.AcquireOptions
	granted  chan *balance.Slot // nil slot: shed
	queue    *callerQueue       // nil when not queued
}

// Queue holds the waiters of one service. Only requests that find no free slot
// take its lock.
type Queue struct {
	set     *balance.Set
	waiting atomic.Int32

	mu      sync.Mutex // protects lines
	waiters fairQueue
}

// NewQueue returns the queue of set and has itself told of freed slots.
func NewQueue(set *balance.Set) *Queue {
	q := &Queue{set: set, waiters: newFairQueue()}
	set.OnFree(q.Dispatch)
	return q
}

// Waiting returns the number of waiters.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// Acquire takes a slot at once when nobody waits and one is free. Otherwise it
// waits in line. The error is ErrShed or that of ctx; nothing was sent then.
func (q *Queue) Acquire(ctx context.Context, w *Waiter, limit int) (*balance.Slot, error) {
	if slot := q.TryAcquire(w.Options); slot != nil {
		return slot, nil
	}
	w.granted = make(chan *balance.Slot, 1)
	if !q.enqueue(w, limit) {
		return nil, ErrShed
	}
	q.Dispatch()
	timer := time.NewTimer(time.Until(w.Deadline) - q.set.Latency.Mean())
	defer timer.Stop()
	select {
	case slot := <-w.granted:
		return grantResult(slot)
	case <-timer.C:
		return q.withdraw(w, ErrShed)
	case <-ctx.Done():
		return q.withdraw(w, ctx.Err())
	}
}

// TryAcquire takes a slot only when nobody waits and one is free.
func (q *Queue) TryAcquire(c balance.AcquireOptions) *balance.Slot {
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
	for w := q.waiters.next(); w != nil; w = q.waiters.next() {
		if now.Add(q.set.Latency.Mean()).After(w.Deadline) {
			q.remove(w)
			w.granted <- nil
			continue
		}
		w.Options.Now = now
		slot := q.set.Acquire(w.Options)
		if slot == nil {
			return
		}
		q.remove(w)
		q.waiters.rotate(w.queue)
		w.granted <- slot
	}
}

// ExpectedWait returns the wait of a new request of caller.
func (q *Queue) ExpectedWait(caller string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expectedWait(caller)
}

// Admits reports whether a new request of caller can be expected to be
// answered before the deadline.
func (q *Queue) Admits(caller string, deadline time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admits(caller, deadline)
}

func (q *Queue) admits(caller string, deadline time.Time) bool {
	slack := time.Until(deadline) - q.set.Latency.Mean()
	return float64(q.expectedWait(caller)) <= maxWaitShare*float64(slack)
}

func (q *Queue) expectedWait(caller string) time.Duration {
	ahead := q.waiters.estimateAhead(caller) + 1
	slots := max(1, q.set.Slots())
	return time.Duration(float64(q.set.Latency.Mean()) * float64(ahead) / float64(slots))
}

// enqueue adds w, unless it can't be answered in time or is the one to give up
// when the queue is full.
func (q *Queue) enqueue(w *Waiter, limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.admits(w.Caller, w.Deadline) {
		return false
	}
	q.waiters.add(w)
	q.waiting.Add(1)
	if q.waiters.total <= limit {
		return true
	}
	victim := q.waiters.selectVictim()
	q.remove(victim)
	if victim == w {
		return false
	}
	victim.granted <- nil
	return true
}

func (q *Queue) remove(w *Waiter) {
	q.waiters.remove(w)
	q.waiting.Add(-1)
}

// withdraw takes w out of line; a slot granted meanwhile is given back.
func (q *Queue) withdraw(w *Waiter, err error) (*balance.Slot, error) {
	q.mu.Lock()
	queued := w.queue.contains(w)
	if queued {
		q.remove(w)
	}
	q.mu.Unlock()
	if queued {
		return nil, err
	}
	if slot := <-w.granted; slot != nil {
		slot.Release()
	}
	return nil, err
}

func grantResult(slot *balance.Slot) (*balance.Slot, error) {
	if slot == nil {
		return nil, ErrShed
	}
	return slot, nil
}
