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

// maxUnsent bounds the attempts of a request of which nothing was written.
const maxUnsent = 16

// forwarder sends the request to an endpoint and the answer to the caller.
type forwarder struct{}

func (forwarder) handle(c *call) *answer.Problem {
	local, remote := c.service.set.Len()
	if local+remote == 0 {
		return overload("no-endpoint", "Service has no live endpoint", c.service.path, comeBack)
	}
	switch c.class {
	case fleet.Watch:
		return c.watch()
	case fleet.Idempotent:
		return c.race()
	default:
		return c.once()
	}
}

// once sends a non-idempotent request. Another endpoint is tried only when not
// a byte of it was written.
func (c *call) once() *answer.Problem {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancel()
	var avoid *balance.Endpoint
	var err error
	for range maxUnsent {
		slot, problem := c.admit(avoid)
		if problem != nil {
			return problem
		}
		var a *pool.Answer
		a, err = c.attempt(ctx, slot, attemptFirst)
		if err == nil {
			return c.deliverFrom(slot, a)
		}
		slot.Release()
		if isWritten(err) {
			return c.unknown(err)
		}
		avoid = slot.Endpoint
	}
	return overload("unreachable", "No endpoint could be reached", err.Error(), comeBack)
}

// unknown is the problem of a request that may have run.
func (c *call) unknown(err error) *answer.Problem {
	p := c.failure(err)
	p.Outcome = answer.Unknown
	return p
}

// failure is the problem of a request of which the last attempt ended with err.
func (c *call) failure(err error) *answer.Problem {
	p := &answer.Problem{Outcome: answer.Failed, Detail: err.Error()}
	if c.remaining() <= 0 {
		p.Status, p.Code, p.Title = http.StatusGatewayTimeout, "deadline", "No whole answer before the deadline"
		return p
	}
	p.Status, p.Code, p.Title = http.StatusBadGateway, "answer", "No whole answer from an endpoint"
	return p
}

func isWritten(err error) bool {
	var e *pool.Error
	return !errors.As(err, &e) || e.Written
}

// admit waits for a slot. Another region is used only when the own one would
// miss the deadline.
func (c *call) admit(avoid *balance.Endpoint) (*balance.Slot, *answer.Problem) {
	choice := balance.Choice{Now: time.Now(), Avoid: avoid, Probe: c.class == fleet.Idempotent}
	if slot := c.service.queue.TryAcquire(choice); slot != nil {
		return slot, nil
	}
	choice.Toll = c.toll()
	if choice.Toll != nil {
		if slot := c.service.set.Acquire(choice); slot != nil {
			return slot, nil
		}
	}
	w := &admit.Waiter{Caller: c.caller, Class: c.class, Deadline: c.deadline, Choice: choice}
	slot, err := c.service.queue.Acquire(c.r.Context(), w, c.policy.QueueLimit)
	if err == nil {
		return slot, nil
	}
	if errors.Is(err, context.Canceled) {
		return nil, overload("canceled", "Caller is gone", err.Error(), comeBack)
	}
	wait := c.service.queue.Expected(c.caller)
	return nil, overload("overloaded", "Too many requests for the endpoints", fmt.Sprintf("expected wait %v", wait), wait)
}

// toll allows another region when there is no local endpoint or the wait for
// one would miss the deadline.
func (c *call) toll() *balance.Toll {
	local, remote := c.service.set.Len()
	if remote == 0 {
		return nil
	}
	if local > 0 && c.service.queue.Admits(c.caller, c.deadline) {
		return nil
	}
	return &balance.Toll{Link: &c.entry.link, Bytes: c.service.expectedBytes(), Rate: c.policy.LinkBytes}
}

// deliverFrom passes the answer on and gives the slot back as soon as the
// endpoint has sent all of it.
func (c *call) deliverFrom(slot *balance.Slot, a *pool.Answer) *answer.Problem {
	if a.Rest == nil {
		slot.Release()
	}
	defer slot.Release()
	return c.deliver(a)
}
