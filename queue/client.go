package queue

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/wire"
)

// ErrNotApplied says that the call certainly changed nothing.
var ErrNotApplied = errors.New("nothing was done")

// ErrOutcomeUnknown says that the call may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// ErrInvalid says that the call can never succeed; it wraps ErrNotApplied.
var ErrInvalid = fmt.Errorf("%w: invalid", ErrNotApplied)

// ErrUnknownJob says that the queue has no such job; it wraps ErrNotApplied.
var ErrUnknownJob = fmt.Errorf("%w: unknown job", ErrNotApplied)

// ErrNotOwned says that the queue has no owner that can answer yet, as for some
// seconds after a node was lost; it wraps ErrNotApplied.
var ErrNotOwned = fmt.Errorf("%w: the queue has no owner that is ready", ErrNotApplied)

const (
	ownerWait  = 10 * time.Second // for an owner and its answer
	ownerRetry = 200 * time.Millisecond
)

// coded is a reply with a code.
type coded interface{ code() Code }

func (r *SubmitReply) code() Code { return r.Code }
func (r *JobReply) code() Code    { return r.Code }
func (r *ListReply) code() Code   { return r.Code }

// Client forwards calls to the owner of the queue that they are about. Each
// error wraps ErrNotApplied or ErrOutcomeUnknown.
type Client struct {
	directory ownership.Directory
	pool      *wire.Pool
}

// NewClient returns a client.
func NewClient(d ownership.Directory, p *wire.Pool) *Client { return &Client{directory: d, pool: p} }

// Submit submits a job; repeated says that its idempotency key had been used.
func (c *Client) Submit(ctx context.Context, s job.Spec) (st job.Status, repeated bool, err error) {
	var r SubmitReply
	if err := c.call(ctx, s.Team, "Submit", SubmitArgs{Spec: s}, &r); err != nil {
		return job.Status{}, false, err
	}
	return r.Job, r.Repeated, codeError(r.Code, r.Detail)
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, id, reason string) (job.Status, error) {
	return c.callJob(ctx, "Cancel", JobArgs{ID: id, Reason: reason})
}

// Show returns a job with its tasks.
func (c *Client) Show(ctx context.Context, id string) (job.Status, error) {
	return c.callJob(ctx, "Show", JobArgs{ID: id})
}

// Explain returns a job with its tasks, each with why it waits or where it
// went.
func (c *Client) Explain(ctx context.Context, id string) (job.Status, error) {
	return c.callJob(ctx, "Explain", JobArgs{ID: id})
}

// List returns the newest jobs of a queue without tasks.
func (c *Client) List(ctx context.Context, queue fleet.Path, limit int) ([]job.Status, error) {
	var r ListReply
	if err := c.call(ctx, queue, "List", ListArgs{Queue: queue, Limit: limit}, &r); err != nil {
		return nil, err
	}
	return r.Jobs, codeError(r.Code, "")
}

func (c *Client) callJob(ctx context.Context, method string, args JobArgs) (job.Status, error) {
	team, _, ok := ParseJobID(args.ID)
	if !ok {
		return job.Status{}, fmt.Errorf("%w: %q", ErrUnknownJob, args.ID)
	}
	var r JobReply
	if err := c.call(ctx, team, method, args, &r); err != nil {
		return job.Status{}, err
	}
	return r.Job, codeError(r.Code, r.Detail)
}

// call repeats a call that certainly reached no owner of the queue, as during a
// takeover.
func (c *Client) call(ctx context.Context, queue fleet.Path, method string, args any, reply coded) error {
	ctx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	for {
		err := c.callOnce(ctx, queue, method, args, reply)
		code := reply.code()
		again := errors.Is(err, ErrNotOwned) || (err == nil && (code == NotOwner || code == NotReady))
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(ownerRetry):
		}
	}
}

func (c *Client) callOnce(ctx context.Context, queue fleet.Path, method string, args, reply any) error {
	_, addr, ok := c.directory.Owner(ownership.Unit{Kind: ownership.Queue, Path: queue})
	if !ok {
		return fmt.Errorf("%w: %s", ErrNotOwned, queue)
	}
	err := c.pool.Client(addr).Call(ctx, ServiceName+"."+method, args, reply)
	var served rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, wire.ErrNotSent) && !errors.Is(err, wire.ErrBusy):
		return fmt.Errorf("%w: %w", ErrNotOwned, err)
	case errors.Is(err, wire.ErrBusy), errors.As(err, &served):
		return fmt.Errorf("%w: %w", ErrNotApplied, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func codeError(code Code, detail string) error {
	switch code {
	case OK:
		return nil
	case NotOwner, NotReady:
		return fmt.Errorf("%w: %s", ErrNotOwned, code)
	case InDoubt:
		return fmt.Errorf("%w: %s", ErrOutcomeUnknown, detail)
	case Invalid:
		return fmt.Errorf("%w: %s", ErrInvalid, detail)
	case UnknownJob:
		return fmt.Errorf("%w: %s", ErrUnknownJob, detail)
	}
	return fmt.Errorf("%w: %s %s", ErrNotApplied, code, detail)
}
