package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/membership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/stream"
)

const (
	planEvery     = 500 * time.Millisecond
	planViewAge   = 5 * time.Second // oldest view that a plan may rest on
	appendTimeout = 30 * time.Second
)

// Replica is what a Claimer needs of a *stream.Replica.
type Replica interface {
	Reader
	Age(now time.Time) time.Duration
	Changed() <-chan struct{}
	WaitFor(ctx context.Context, offset platform.Offset) error
}

// ClaimerOptions says what a Claimer works with.
type ClaimerOptions struct {
	Self    string
	Members func() []membership.Member
	Units   func() []PlacedUnit
	Region  func(fleet.Path) fleet.Path // of a failure domain; its parent by default
	Logger  logr.Logger
}

// Claimer claims and releases units as the planner says.
type Claimer struct {
	o       ClaimerOptions
	machine *Machine
	replica Replica
	writer  stream.Writer
	planner *Planner

	mu      sync.Mutex // protects own and pending
	own     map[Unit]platform.Offset
	pending map[Unit]bool
}

// NewClaimer returns a claimer on the machine that replica feeds.
func NewClaimer(m *Machine, replica Replica, w stream.Writer, o ClaimerOptions) *Claimer {
	if o.Region == nil {
		o.Region = fleet.Path.Parent
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	return &Claimer{
		o:       o,
		machine: m,
		replica: replica,
		writer:  w,
		planner: NewPlanner(),
		own:     make(map[Unit]platform.Offset),
		pending: make(map[Unit]bool),
	}
}

// Owned returns the units that this process holds, with their terms. A unit
// that an earlier process of this node won is not among them until it is
// claimed anew.
func (c *Claimer) Owned() map[Unit]platform.Offset {
	held := c.holdings()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[Unit]platform.Offset, len(c.own))
	for u, term := range c.own {
		if h := held[u]; h.Claim.Node == c.o.Self && h.Claim.Term == term {
			out[u] = term
		}
	}
	return out
}

// IsIdle reports whether this process holds no unit and writes no record.
func (c *Claimer) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.own) == 0 && len(c.pending) == 0
}

// Run plans at each change and at intervals until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		for _, rec := range c.plan(time.Now()) {
			running.Go(func() { c.write(ctx, rec) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// plan returns the records to write now; there are none while the view of the
// stream is old, since they would most likely be void.
func (c *Claimer) plan(now time.Time) []Record {
	if c.replica.Age(now) > planViewAge {
		return nil
	}
	s := Situation{
		Self:     c.o.Self,
		Members:  c.o.Members(),
		Units:    c.o.Units(),
		Holdings: c.holdings(),
		Region:   c.o.Region,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetLost(s.Holdings)
	s.Own, s.Pending = c.own, c.pending
	records := c.planner.Plan(s, now)
	for _, rec := range records {
		c.pending[rec.Unit] = true
	}
	return records
}

// forgetLost drops terms that were superseded; mu is held.
func (c *Claimer) forgetLost(held map[Unit]Holding) {
	for u, term := range c.own {
		if held[u].Claim.Term > term {
			delete(c.own, u)
		}
	}
}

func (c *Claimer) holdings() map[Unit]Holding {
	held := make(map[Unit]Holding)
	c.replica.Read(func() {
		for _, h := range c.machine.Holdings() {
			held[h.Unit] = h
		}
	})
	return held
}

// write appends one record and waits until its effect is known.
func (c *Claimer) write(ctx context.Context, rec Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	defer c.settle(rec.Unit)
	data, err := rec.Encode()
	if err != nil {
		c.o.Logger.Error(err, "ownership record not encoded", "unit", rec.Unit.String())
		return
	}
	entry := stream.Entry{ID: stream.NewID(c.o.Self), Data: data, Priority: stream.Urgent}
	if rec.Op == OpRelease {
		c.drop(rec.Unit)
	}
	offset, err := c.writer.Append(ctx, stream.OwnershipStream, entry)
	if err == nil {
		err = c.replica.WaitFor(ctx, offset)
	}
	if err != nil {
		c.o.Logger.V(1).Info("ownership record not written", "unit", rec.Unit.String(), "error", err)
		return
	}
	c.noteOutcome(rec, offset)
}

// drop ends the use of a unit before its release is written.
func (c *Claimer) drop(u Unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.own, u)
}

func (c *Claimer) settle(u Unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, u)
}

func (c *Claimer) noteOutcome(rec Record, offset platform.Offset) {
	var h Holding
	c.replica.Read(func() { h = c.machine.Holding(rec.Unit) })
	won := rec.Op == OpClaim && h.Claim == (Claim{Node: c.o.Self, Term: offset})
	if won {
		c.mu.Lock()
		c.own[rec.Unit] = offset
		c.mu.Unlock()
	}
	c.o.Logger.V(1).Info("ownership record applied", "unit", rec.Unit.String(), "release", rec.Op == OpRelease, "won", won, "term", offset)
}
