// Package admit queues the requests that wait for an endpoint. The queue is bounded,
// fair among callers and ordered by deadline within a caller. It sheds early any
// request that can't be answered before its deadline.
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

// ErrShed is returned for a request that was dropped before any byte was sent.
var ErrShed = errors.New("request shed by admission control")

// maxWaitShare is the maximum share of a request's slack that its expected wait may
// take up. The remainder allows for wrong estimates; a standing queue does not
// raise throughput anyway.
const maxWaitShare = 0.5

// Waiter is a request that waits for a slot.
type Waiter struct {
	Caller   string
	Class    fleet.RequestClass
	Deadline time.Time
	Options  balance.AcquireOptions
	granted  chan *balance.Slot // receives nil if the request is shed
	queue    *callerQueue       // nil before the waiter is queued
}

// Queue holds the waiters of one service. Only requests that find no free slot
// take its lock.
type Queue struct {
	set     *balance.Set
	waiting atomic.Int32

	mu      sync.Mutex // protects waiters
	waiters fairQueue
}

// NewQueue returns an empty queue for set and registers it for freed slots with
// OnFree.
func NewQueue(set *balance.Set) *Queue {
	q := &Queue{set: set, waiters: newFairQueue()}
	set.OnFree(q.Dispatch)
	return q
}

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// Acquire returns a free slot at once if no request is queued, and otherwise queues
// w until it gets one. At most limit requests are queued. The error is ErrShed or
// that of ctx; in both cases nothing was sent.
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

// TryAcquire returns a slot if one is free and no request is queued, and nil
// otherwise.
func (q *Queue) TryAcquire(c balance.AcquireOptions) *balance.Slot {
	if q.waiting.Load() > 0 {
		return nil
	}
	return q.set.Acquire(c)
}

// Dispatch hands free slots to waiters and sheds those that can no longer be
// answered before their deadline.
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

// ExpectedWait returns the expected time in the queue of a new request from caller.
func (q *Queue) ExpectedWait(caller string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expectedWait(caller)
}

// Admits reports whether a new request from caller is expected to be answered
// before the deadline.
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

// enqueue adds w and reports whether it is queued. It is not if it can't be answered
// before its deadline, or if the queue exceeds limit and w is the waiter to shed.
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

// withdraw removes w from the queue and returns err. A slot that was granted in the
// meantime is released.
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
