package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	defaultProbeEvery = time.Second
	defaultListEvery  = 2 * time.Second
	probeTimeout      = 700 * time.Millisecond
	confirmTimeout    = 2 * time.Second
	helpers           = 2 // asked to confirm a silence
)

// ListFunc returns the platform's list, or a peer's copy of it.
type ListFunc func(ctx context.Context) (platform.VMSnapshot, error)

// Transport calls a method of the peer at addr; PoolTransport is one.
type Transport interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// PoolTransport calls peers over net/rpc.
type PoolTransport struct{ Pool *wire.Pool }

// Call implements Transport.
func (t PoolTransport) Call(ctx context.Context, addr, method string, args, reply any) error {
	return t.Pool.Client(addr).Call(ctx, method, args, reply)
}

// ProberOptions adjusts a Prober; zero values stand for defaults.
type ProberOptions struct {
	Options
	ProbeEvery time.Duration
	ListEvery  time.Duration
	Logger     logr.Logger
}

// Prober keeps a Table up to date.
type Prober struct {
	list      ListFunc
	transport Transport
	o         ProberOptions
	table     guarded

	mu      sync.Mutex // protects changed
	changed chan struct{}
	seen    uint64
	vms     platform.VMSnapshot
}

// NewProber returns a prober of the node self, which works while Run runs.
func NewProber(self Update, list ListFunc, transport Transport, o ProberOptions) *Prober {
	if o.ProbeEvery <= 0 {
		o.ProbeEvery = defaultProbeEvery
	}
	if o.ListEvery <= 0 {
		o.ListEvery = defaultListEvery
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
	if self.Incarnation == 0 {
		self.Incarnation = uint64(time.Now().UnixMilli())
	}
	return &Prober{
		list:      list,
		transport: transport,
		o:         o,
		table:     guarded{table: NewTable(self, o.Options, time.Now())},
		changed:   make(chan struct{}),
	}
}

// Service returns the net/rpc service for peers.
func (p *Prober) Service() *Service { return &Service{p} }

// Members returns the present view, sorted by id. The slice is shared and must
// not be changed.
func (p *Prober) Members() []Member {
	var out []Member
	p.table.do(func(t *Table, _ time.Time) { out = t.Members() })
	return out
}

// List returns the newest list of the platform that was seen.
func (p *Prober) List() platform.VMSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms
}

// Leave tells the peers that this node is leaving.
func (p *Prober) Leave() {
	p.table.do(func(t *Table, now time.Time) { t.Leave(now) })
	p.notify()
}

// Changed returns a channel that is closed on the next change of the view.
func (p *Prober) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Run polls the list and probes peers until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { p.every(ctx, p.listInterval, p.pollList) })
	loops.Go(func() { p.every(ctx, p.probeInterval, p.round) })
	loops.Wait()
	return nil
}

func (p *Prober) listInterval() time.Duration { return p.o.ListEvery }

// probeInterval returns the time to the next round, which is shorter while a
// suspect waits for it.
func (p *Prober) probeInterval() time.Duration {
	interval := p.o.ProbeEvery
	p.table.do(func(t *Table, _ time.Time) {
		if t.Doubts() {
			interval /= 2
		}
	})
	return interval
}

func (p *Prober) every(ctx context.Context, next func() time.Duration, fn func(context.Context)) {
	for ctx.Err() == nil {
		fn(ctx)
		interval := next()
		spread := time.Duration(rand.Int64N(int64(interval)/5 + 1))
		wait := time.NewTimer(interval - interval/10 + spread)
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
	}
}

func (p *Prober) pollList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.o.ListEvery+confirmTimeout)
	defer cancel()
	list, err := p.list(ctx)
	if err != nil {
		p.o.Logger.V(1).Info("list of VMs not read", "error", err)
		return
	}
	p.mu.Lock()
	if !list.AsOf.Before(p.vms.AsOf) {
		p.vms = list
	}
	p.mu.Unlock()
	p.table.do(func(t *Table, now time.Time) { t.ApplyList(list, now) })
	p.notify()
}

// round probes one member and, if it is silent, has others confirm that.
func (p *Prober) round(ctx context.Context) {
	var target Member
	var ok bool
	p.table.do(func(t *Table, now time.Time) {
		t.Tick(now)
		target, ok = t.Target(rand.Int())
	})
	defer p.notify()
	if !ok || p.probe(ctx, target.ID, target.Control) == nil || ctx.Err() != nil {
		return
	}
	if p.confirmSilence(ctx, target) {
		p.o.Logger.Info("member suspected", "member", target.ID)
		p.table.do(func(t *Table, now time.Time) { t.Suspect(target.ID, now) })
	}
}

// confirmSilence reports whether a helper was reached and none got an answer.
// With no helper reached, it may be this node that is cut off.
func (p *Prober) confirmSilence(ctx context.Context, target Member) bool {
	var asked []Member
	p.table.do(func(t *Table, _ time.Time) { asked = t.Helpers(target.ID, helpers, rand.Int()) })
	var reached, answered atomic.Int32
	var calls sync.WaitGroup
	for _, h := range asked {
		calls.Go(func() {
			reply, err := p.confirm(ctx, h, target)
			if err != nil {
				return
			}
			reached.Add(1)
			if reply.Answered {
				answered.Add(1)
			}
		})
	}
	calls.Wait()
	return reached.Load() > 0 && answered.Load() == 0
}

func (p *Prober) confirm(ctx context.Context, helper, target Member) (ConfirmReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	self := p.selfID()
	var reply ConfirmReply
	args := ConfirmArgs{From: self, Target: target.update()}
	if err := p.transport.Call(ctx, helper.Control, ServiceName+".Confirm", args, &reply); err != nil {
		return ConfirmReply{}, err
	}
	p.table.do(func(t *Table, now time.Time) { t.Apply(reply.Updates, now) })
	return reply, nil
}

func (p *Prober) selfID() string { return p.table.table.self }

// probe asks one peer whether it lives and exchanges updates with it.
func (p *Prober) probe(ctx context.Context, id, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply ProbeReply
	args := ProbeArgs{From: p.selfID(), Updates: p.exchange(id, nil)}
	p.table.do(func(t *Table, _ time.Time) { args.Digest = t.Digest() })
	if err := p.transport.Call(ctx, addr, ServiceName+".Probe", args, &reply); err != nil {
		return err
	}
	p.table.do(func(t *Table, now time.Time) { t.Apply(reply.Updates, now) })
	return nil
}

// exchange applies a peer's updates and returns those for it.
func (p *Prober) exchange(peer string, updates []Update) []Update {
	var out []Update
	p.table.do(func(t *Table, now time.Time) {
		t.Apply(updates, now)
		out = t.Updates(peer)
	})
	p.notify()
	return out
}

// notify wakes those that wait for a change of the view.
func (p *Prober) notify() {
	var changes uint64
	p.table.do(func(t *Table, _ time.Time) { changes = t.Changes() })
	p.mu.Lock()
	defer p.mu.Unlock()
	if changes == p.seen {
		return
	}
	p.seen = changes
	close(p.changed)
	p.changed = make(chan struct{})
}
