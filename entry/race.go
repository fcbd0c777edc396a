package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/entry/balance"
	"github.com/peridotlock/peridotlock/entry/pool"
	"github.com/peridotlock/peridotlock/entry/retry"
)

const (
	minHedgeDelay     = 5 * time.Millisecond
	initialHedgeDelay = 500 * time.Millisecond // before the first latency sample

	lingerMargin = 5 * time.Millisecond // added to silenceTimeout before losing attempts are canceled
)

// race runs the attempts of one idempotent request. The first good response wins;
// all others are discarded.
type race struct {
	call         *call
	ctx          context.Context
	cancel       context.CancelFunc
	budget       *retry.Budget
	results      chan result
	won          atomic.Bool
	pending      int // attempts without a result
	launched     int // attempts started
	unsent       int // failed attempts of which nothing was written
	lastEndpoint *balance.Endpoint
	failed       result // result of the last failed attempt
	written      bool   // some attempt may have reached an endpoint
}

type result struct {
	response *pool.Response
	slot     *balance.Slot
	err      error
}

// isGood reports whether there is a response that is no failure of the endpoint.
func (r result) isGood() bool { return r.err == nil && !isFailureStatus(r.response.Status) }

// sendHedged sends an idempotent request. It retries a failed attempt and hedges a
// slow one, within the retry budget.
func (c *call) sendHedged() *answer.Problem {
	slot, problem := c.acquireSlot(nil)
	if problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	r := &race{
		call:    c,
		ctx:     ctx,
		cancel:  cancel,
		budget:  c.entry.budgets.Get(c.caller, c.service.path),
		results: make(chan result, maxUnsent+max(1, c.policy.MaxAttempts)),
	}
	r.budget.Deposit(c.policy.RetryBudget)
	defer r.finish()
	r.launch(slot, attemptFirst)
	return r.run()
}

// finish cancels the losing attempts. They first get enough time to distinguish a
// slow response from a dead connection, since either is recorded for the endpoint.
func (r *race) finish() {
	if r.pending == 0 || r.call.r.Context().Err() != nil {
		r.cancel()
		return
	}
	time.AfterFunc(r.call.silenceTimeout()+lingerMargin, r.cancel)
}

func (r *race) launch(slot *balance.Slot, kind attemptKind) {
	r.launched++
	r.pending++
	r.lastEndpoint = slot.Endpoint
	go func() {
		resp, err := r.call.attempt(r.ctx, slot, kind)
		r.completeAttempt(result{response: resp, slot: slot, err: err})
	}()
}

// errLargeErrorResponse replaces an error response that is too large to be buffered.
var errLargeErrorResponse = errors.New("endpoint failed with an error response too large to be buffered")

// completeAttempt sends the result to run, or discards it if another attempt has won.
// The slot stays held only while a response streams.
func (r *race) completeAttempt(res result) {
	if res.err == nil && res.response.Rest != nil && !res.isGood() {
		res.response.Rest.Close()
		res = result{slot: res.slot, err: &pool.Error{Fault: pool.FaultCut, Written: true, Err: errLargeErrorResponse}}
	}
	if res.err != nil || res.response.Rest == nil {
		res.slot.Release()
	}
	if res.isGood() && !r.won.CompareAndSwap(false, true) {
		res.discard()
		return
	}
	r.results <- res
}

func (r result) discard() {
	if r.response != nil && r.response.Rest != nil {
		r.response.Rest.Close()
	}
	r.slot.Release()
}

func (r *race) run() *answer.Problem {
	delay := r.hedgeDelay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case res := <-r.results:
			r.pending--
			if res.isGood() {
				return r.deliver(res)
			}
			r.recordFailed(res)
			if problem, done := r.retry(); done {
				return problem
			}
		case <-timer.C:
			r.hedge()
			delay *= 2
			timer.Reset(delay)
		case <-r.ctx.Done():
			return r.abandon(r.ctx.Err())
		case <-r.call.r.Context().Done():
			return r.abandon(r.call.r.Context().Err())
		}
	}
}

func (r *race) hedgeDelay() time.Duration {
	tail := r.call.service.latency(r.call.class).Tail()
	if tail == 0 {
		return initialHedgeDelay
	}
	return max(tail, minHedgeDelay)
}

// hedge starts another attempt while slow ones are pending, if a slot is free and the
// retry budget allows it. It uses the same endpoint only if there is no other.
func (r *race) hedge() {
	if r.launched-r.unsent >= r.call.policy.MaxAttempts || r.pending == 0 {
		return
	}
	slot := r.call.service.queue.TryAcquire(balance.AcquireOptions{Now: time.Now(), Avoid: r.lastEndpoint})
	if slot == nil {
		return
	}
	if !r.withdrawBudget() {
		slot.Release()
		return
	}
	r.call.entry.metrics.Hedges.Inc()
	r.launch(slot, attemptHedge)
}

func (r *race) recordFailed(res result) {
	if res.err == nil || isWritten(res.err) {
		r.written = true
	}
	r.failed = res
}

// retry starts another attempt after a failed one, unless others are pending. A retry
// of an attempt of which nothing was written costs no budget. It reports whether the
// request has ended, and with which problem.
func (r *race) retry() (*answer.Problem, bool) {
	if r.pending > 0 {
		return nil, false
	}
	if !r.mayRetry() {
		return r.giveUp(), true
	}
	slot, problem := r.call.acquireSlot(r.lastEndpoint)
	if problem != nil {
		return r.giveUp(), true
	}
	r.call.entry.metrics.Retries.Inc()
	r.launch(slot, attemptRetry)
	return nil, false
}

func (r *race) mayRetry() bool {
	if r.failed.err != nil && !isWritten(r.failed.err) {
		r.unsent++
		return r.unsent < maxUnsent
	}
	return r.launched-r.unsent < r.call.policy.MaxAttempts && r.withdrawBudget()
}

func (r *race) withdrawBudget() bool {
	if r.budget.Withdraw() {
		return true
	}
	r.call.entry.metrics.Denied.Inc()
	return false
}

// giveUp ends the request with the endpoint's own error response, if there is one.
func (r *race) giveUp() *answer.Problem {
	if r.failed.err == nil {
		return r.deliver(r.failed)
	}
	if !r.written {
		return unavailable("unreachable", "No endpoint could be reached", r.failed.err.Error(), minRetryAfter)
	}
	return r.call.failureProblem(r.failed.err)
}

func (r *race) deliver(res result) *answer.Problem {
	return r.call.deliverAndRelease(res.slot, res.response)
}

// abandon ends a request whose deadline passed or whose caller canceled it.
func (r *race) abandon(cause error) *answer.Problem {
	if !r.won.CompareAndSwap(false, true) {
		for res := range r.results {
			if res.isGood() {
				return r.deliver(res)
			}
		}
	}
	return r.call.failureProblem(errors.Join(cause, r.failed.err))
}
