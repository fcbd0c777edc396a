// Package owner runs the owner of a rack: it renews the leases of the workers,
// serves the owners of queues over net/rpc and carries out what package rack
// decides.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/rack"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	tickEvery  = 250 * time.Millisecond // between looks at what is due
	renewShare = 2                      // renewals in the time of one lease
)

// Options are what the owners of all racks of a process share.
type Options struct {
	Workers   func(addr string) platform.Worker
	VMs       func() []platform.VM
	View      func() (*settings.View, time.Duration) // newest settings and their age
	ClaimAge  func() time.Duration                   // since the claims were last known to be current
	Directory ownership.Directory
	Pool      *wire.Pool
	Model     *interference.Learned
	Log       logr.Logger
}

// Owner owns one rack under one term.
type Owner struct {
	opts Options
	path fleet.Path

	mu    sync.Mutex // protects state
	state *rack.State

	work   sync.WaitGroup
	flight flight
}

func newOwner(opts Options, path fleet.Path, term platform.Offset) *Owner {
	return &Owner{
		opts:   opts,
		path:   path,
		state:  rack.New(path, term, time.Now(), opts.Model),
		flight: flight{busy: make(map[string]time.Time)},
	}
}

// conditions reads the clock first: see rack.Conditions.
func (o *Owner) conditions() (time.Time, rack.Conditions) {
	now := time.Now()
	view, age := o.opts.View()
	return now, rack.Conditions{View: view, ViewAge: age, ClaimAge: o.opts.ClaimAge()}
}

// with calls f with the state under the lock.
func (o *Owner) with(f func(s *rack.State, now time.Time, c rack.Conditions)) {
	now, c := o.conditions()
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.state, now, c)
}

func (o *Owner) policy() settings.TaskPolicy {
	view, _ := o.opts.View()
	if view == nil {
		return settings.DefaultPolicy().Tasks
	}
	return view.PolicyAt(o.path).Tasks
}

// run keeps the rack until ctx ends and all calls in flight have returned.
func (o *Owner) run(ctx context.Context) {
	defer hideQuarantined(o.path)
	defer o.work.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		o.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) tick(ctx context.Context) {
	var vms []platform.VM
	var actions []rack.Action
	var events map[fleet.Path][]rack.Event
	list := o.opts.VMs()
	o.with(func(s *rack.State, now time.Time, c rack.Conditions) {
		s.SetVMs(list)
		s.Tick(now, c)
		vms = s.VMs()
		actions = s.Plan(now, c)
		events = s.Events()
		showQuarantined(o.path, s.Quarantined(now))
	})
	every := o.policy().Lease / renewShare
	for _, vm := range vms {
		o.launch(ctx, "renew "+vm.ID, every, func(ctx context.Context) { o.renew(ctx, vm) })
	}
	for _, a := range actions {
		key := string(a.Kind) + " " + a.Request.Task
		o.launch(ctx, key, tickEvery, func(ctx context.Context) { o.act(ctx, a) })
	}
	for queue, batch := range events {
		o.launch(ctx, "events "+string(queue), tickEvery, func(ctx context.Context) { o.deliver(ctx, queue, batch) })
	}
}

// launch runs f unless the same key is in flight or began less than every ago.
func (o *Owner) launch(ctx context.Context, key string, every time.Duration, f func(context.Context)) {
	if !o.flight.begin(key, every) {
		return
	}
	o.work.Go(func() {
		defer o.flight.end(key)
		f(ctx)
	})
}
