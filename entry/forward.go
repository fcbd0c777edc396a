package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/peridotlock/peridotlock/entry/admit"
	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/entry/balance"
	"github.com/peridotlock/peridotlock/entry/pool"
	"github.com/peridotlock/peridotlock/fleet"
)

// maxUnsent is the maximum number of attempts per request of which nothing was
// written.
const maxUnsent = 16

// forwarder sends the request to an endpoint and the response to the caller.
type forwarder struct{}

func (forwarder) handle(c *call) *answer.Problem {
	local, remote := c.service.set.Len()
	if local+remote == 0 {
		return unavailable("no-endpoint", "Service has no live endpoint", c.service.path, minRetryAfter)
	}
	switch c.class {
	case fleet.Watch:
		return c.watch()
	case fleet.Idempotent:
		return c.sendHedged()
	default:
		return c.sendOnce()
	}
}

// sendOnce sends a non-idempotent request. It tries another endpoint only if no byte
// of the request was written.
func (c *call) sendOnce() *answer.Problem {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancel()
	var avoid *balance.Endpoint
	var err error
	for range maxUnsent {
		slot, problem := c.acquireSlot(avoid)
		if problem != nil {
			return problem
		}
		var resp *pool.Response
		resp, err = c.attempt(ctx, slot, attemptFirst)
		if err == nil {
			return c.deliverAndRelease(slot, resp)
		}
		slot.Release()
		if isWritten(err) {
			return c.outcomeUnknown(err)
		}
		avoid = slot.Endpoint
	}
	return unavailable("unreachable", "No endpoint could be reached", err.Error(), minRetryAfter)
}

// outcomeUnknown returns the problem for a request that may have run.
func (c *call) outcomeUnknown(err error) *answer.Problem {
	p := c.failureProblem(err)
	p.Outcome = answer.Unknown
	return p
}

// failureProblem returns the problem for a request whose last attempt failed with
// err.
func (c *call) failureProblem(err error) *answer.Problem {
	p := &answer.Problem{Outcome: answer.Failed, Detail: err.Error()}
	if c.timeLeft() <= 0 {
		p.Status, p.Code, p.Title = http.StatusGatewayTimeout, "deadline", "No complete response before the deadline"
		return p
	}
	p.Status, p.Code, p.Title = http.StatusBadGateway, "answer", "No complete response from an endpoint"
	return p
}

func isWritten(err error) bool {
	var e *pool.Error
	return !errors.As(err, &e) || e.Written
}

// acquireSlot waits for a slot. It uses another region only if the request would
// miss its deadline in this one.
func (c *call) acquireSlot(avoid *balance.Endpoint) (*balance.Slot, *answer.Problem) {
	choice := balance.AcquireOptions{Now: time.Now(), Avoid: avoid, Probe: c.class == fleet.Idempotent}
	if slot := c.service.queue.TryAcquire(choice); slot != nil {
		return slot, nil
	}
	choice.LinkReservation = c.linkReservation()
	if choice.LinkReservation != nil {
		if slot := c.service.set.Acquire(choice); slot != nil {
			return slot, nil
		}
	}
	w := &admit.Waiter{Caller: c.caller, Class: c.class, Deadline: c.deadline, Options: choice}
	slot, err := c.service.queue.Acquire(c.r.Context(), w, c.policy.QueueLimit)
	if err == nil {
		return slot, nil
	}
	if errors.Is(err, context.Canceled) {
		return nil, unavailable("canceled", "Caller canceled the request", err.Error(), minRetryAfter)
	}
	wait := c.service.queue.ExpectedWait(c.caller)
	return nil, unavailable("overloaded", "Too many requests for the endpoints", fmt.Sprintf("expected wait %v", wait), wait)
}

// linkReservation returns a reservation that allows another region if there is no
// local endpoint or waiting for one would miss the deadline, and nil otherwise.
func (c *call) linkReservation() *balance.LinkReservation {
	local, remote := c.service.set.Len()
	if remote == 0 {
		return nil
	}
	if local > 0 && c.service.queue.Admits(c.caller, c.deadline) {
		return nil
	}
	return &balance.LinkReservation{Link: &c.entry.link, Bytes: c.service.expectedBytes(), Rate: c.policy.LinkBytes}
}

// deliverAndRelease sends the response to the caller. It releases the slot as soon as
// the response was received completely.
func (c *call) deliverAndRelease(slot *balance.Slot, resp *pool.Response) *answer.Problem {
	if resp.Rest == nil {
		slot.Release()
	}
	defer slot.Release()
	return c.deliver(resp)
}
