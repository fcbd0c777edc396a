// Package owner runs the owner of a team's queue: it records jobs on the log,
// places their tasks at the owners of racks and serves net/rpc calls about
// them. Package queue decides.
package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	roundEvery   = 500 * time.Millisecond // after a round that placed tasks
	idleEvery    = 2 * time.Second        // after one that placed none
	resolveEvery = time.Second
	openRetry    = time.Second
)

// Replica follows one stream and feeds a machine.
type Replica interface {
	// Read calls f while the machine does not change.
	Read(f func())
	// WaitFor returns once the record at offset has been applied.
	WaitFor(ctx context.Context, offset platform.Offset) error
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Options are what the owners of all queues of a process share.
type Options struct {
	Writer    stream.Writer
	Follow    func(ctx context.Context, name string, m stream.Machine) Replica // until ctx ends
	VMs       func() []platform.VM
	View      func() (*settings.View, time.Duration)
	Directory ownership.Directory
	Pool      *wire.Pool
	Log       logr.Logger
}

// Owner owns one queue under one term.
type Owner struct {
	opts     Options
	path     fleet.Path
	term     platform.Offset
	machine  *queue.Machine // read inside replica.Read
	replica  Replica
	appender *appender
	racks    *racks
	wake     chan struct{}
	work     sync.WaitGroup

	mu        sync.Mutex // protects all below
	ready     bool
	history   *queue.History
	budget    queue.Budget
	reasons   map[queue.TaskRef]queue.Reason
	unfit     map[uint64]time.Time              // jobs that no worker could hold, since when
	asked     map[queue.TaskRef]time.Time       // when the rack owner was last asked
	confirmed map[queue.TaskRef]platform.Offset // term of the rack owner that knew the attempt
}

func newOwner(opts Options, path fleet.Path, term platform.Offset) *Owner {
	return &Owner{
		opts:      opts,
		path:      path,
		term:      term,
		machine:   queue.NewMachine(path),
		racks:     newRacks(opts),
		wake:      make(chan struct{}, 1),
		history:   queue.NewHistory(),
		reasons:   make(map[queue.TaskRef]queue.Reason),
		unfit:     make(map[uint64]time.Time),
		asked:     make(map[queue.TaskRef]time.Time),
		confirmed: make(map[queue.TaskRef]platform.Offset),
	}
}

// run keeps the queue until ctx ends.
func (o *Owner) run(ctx context.Context) {
	defer hideTasks(o.path)
	defer o.work.Wait()
	name := stream.JobsStream(string(o.path))
	o.replica = o.opts.Follow(ctx, name, o.machine)
	o.appender = newAppender(o.opts.Writer, o.replica, name, o.term)
	o.work.Go(func() { o.appender.run(ctx) })
	if !o.open(ctx) {
		return
	}
	o.opts.Log.Info("queue opened", "queue", o.path, "term", o.term)
	o.work.Go(func() { o.resolveLoop(ctx) })
	o.roundLoop(ctx)
}

// open records the new owner and waits until all that older owners wrote has
// been read; from then on their records are void.
func (o *Owner) open(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := o.appender.append(ctx, stream.Urgent, queue.Record{Kind: queue.Opened})
		if err == nil && o.isCurrent() {
			o.mu.Lock()
			o.ready = true
			o.mu.Unlock()
			return true
		}
		if err == nil {
			err = errSuperseded
		}
		o.opts.Log.Info("queue not opened", "queue", o.path, "term", o.term, "error", err.Error())
		sleep(ctx, openRetry)
	}
	return false
}

var errSuperseded = errors.New("a newer owner has opened the queue")

// isCurrent reports whether no newer owner has been read.
func (o *Owner) isCurrent() bool {
	current := false
	o.replica.Read(func() { current = o.machine.Term() == o.term })
	return current
}

// isReady reports whether the owner may answer calls.
func (o *Owner) isReady() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ready
}

// record appends records and makes sure that the owner was still current.
func (o *Owner) record(ctx context.Context, p stream.Priority, records ...queue.Record) error {
	if len(records) == 0 {
		return nil
	}
	if err := o.appender.append(ctx, p, records...); err != nil {
		return fmt.Errorf("record on queue %s: %w", o.path, err)
	}
	if !o.isCurrent() {
		return errSuperseded
	}
	return nil
}

// policy returns the settings that apply to the queue; ok is false before the
// first settings.
func (o *Owner) policy() (settings.Team, settings.TaskPolicy, bool) {
	view, _ := o.opts.View()
	if view == nil {
		return settings.Team{}, settings.DefaultPolicy().Tasks, false
	}
	team, _ := view.Team(o.path)
	return team, view.PolicyAt(o.path).Tasks, true
}

// nudge makes the next round begin at once.
func (o *Owner) nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
