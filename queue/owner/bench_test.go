package owner

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/experiment"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/ownership"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/queue"
	"github.com/peridotlock/peridotlock/rack"
	rackowner "github.com/peridotlock/peridotlock/rack/owner"
	"github.com/peridotlock/peridotlock/settings"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

const (
	team     = fleet.Path("zavod/certificates")
	rackPath = fleet.Path("zavod/kontinent/zagreb-a/rack-1")
	domain   = fleet.Path("zavod/kontinent/zagreb-a")
	bound    = 20 * time.Second // on each condition waited for
)

// memoryLog is one stream with a replica for each follower.
type memoryLog struct {
	mu      sync.Mutex
	records []platform.Record
	down    bool
	changed chan struct{}
}

func (l *memoryLog) Append(_ context.Context, _ string, e stream.Entry) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	at := platform.Offset(len(l.records))
	l.records = append(l.records, platform.Record{Offset: at, ID: e.ID, Time: time.Now(), Data: e.Data})
	close(l.changed)
	l.changed = make(chan struct{})
	return at, nil
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

type memoryReplica struct {
	log     *memoryLog
	machine stream.Machine
	next    int
}

func (r *memoryReplica) Read(f func()) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	for ; r.next < len(r.log.records); r.next++ {
		r.machine.Apply(r.log.records[r.next])
	}
	f()
}

func (r *memoryReplica) WaitFor(context.Context, platform.Offset) error { return nil }

func (r *memoryReplica) Changed() <-chan struct{} {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return r.log.changed
}

// liveWorker serves a fake worker in real time.
type liveWorker struct {
	mu  sync.Mutex
	w   *experiment.Worker
	cut atomic.Bool
}

func (l *liveWorker) isBusy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.w.Running()) > 0
}

func (l *liveWorker) control(kind string, r platform.ControlRequest) (platform.AttemptStatus, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Control(time.Now(), kind, r)
}

func (l *liveWorker) Start(_ context.Context, r platform.StartRequest) (platform.AttemptStatus, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut.Load() {
		return platform.AttemptStatus{}, platform.ErrUnknownOutcome
	}
	return l.w.Start(time.Now(), r)
}

func (l *liveWorker) Renew(_ context.Context, r platform.RenewRequest) (platform.Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut.Load() {
		return platform.Report{}, platform.ErrUnknownOutcome
	}
	return l.w.Renew(time.Now(), r)
}

func (l *liveWorker) Checkpoint(_ context.Context, r platform.ControlRequest) (platform.AttemptStatus, error) {
	return l.control("checkpoint", r)
}

func (l *liveWorker) Throttle(_ context.Context, r platform.ControlRequest) (platform.AttemptStatus, error) {
	return l.control("throttle", r)
}

func (l *liveWorker) Stop(_ context.Context, r platform.ControlRequest) (platform.AttemptStatus, error) {
	return l.control("stop", r)
}

func (l *liveWorker) Report(context.Context) (platform.Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Report(time.Now()), nil
}

// directory maps units to claims.
type directory struct {
	mu     sync.Mutex
	addr   string
	claims map[ownership.Unit]platform.Offset
}

func (d *directory) Owner(u ownership.Unit) (ownership.Claim, string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, ok := d.claims[u]
	return ownership.Claim{Node: "n1", Term: term}, d.addr, ok
}

func (d *directory) claim(u ownership.Unit, term platform.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims[u] = term
}

// bench is one process with owners of a rack and a queue on loopback.
type bench struct {
	ctx       context.Context
	work      sync.WaitGroup
	log       *memoryLog
	workers   map[string]*liveWorker
	view      atomic.Pointer[settings.View]
	directory *directory
	pool      *wire.Pool
	racks     *rackowner.Service
	queues    *Service
	client    *queue.Client
}

func newBench(ctx context.Context, runTime time.Duration) *bench {
	b := &bench{
		ctx: ctx, pool: wire.NewPool(),
		log:       &memoryLog{changed: make(chan struct{})},
		workers:   make(map[string]*liveWorker),
		directory: &directory{claims: make(map[ownership.Unit]platform.Offset)},
	}
	world := &experiment.World{Truth: func(string) experiment.Truth { return experiment.Truth{RunTime: runTime} }}
	var vms []platform.VM
	for i := range 2 {
		vm := platform.VM{
			ID: fmt.Sprintf("w%d", i+1), Kind: platform.KindWorker, State: platform.VMLive, FailureDomain: domain,
			Rack: rackPath, Address: fmt.Sprintf("w%d", i+1), Size: fleet.Resources{MilliCPU: 4000, MemoryMB: 4096},
		}
		vms = append(vms, vm)
		b.workers[vm.ID] = &liveWorker{w: experiment.NewWorker(vm, world, time.Now())}
	}
	b.setOut(false)
	list := func() []platform.VM { return vms }
	view := func() (*settings.View, time.Duration) { return b.view.Load(), 0 }
	b.racks = rackowner.NewService(rackowner.Options{
		Workers: func(addr string) platform.Worker { return b.workers[addr] }, VMs: list, View: view,
		ClaimAge: func() time.Duration { return 0 }, Directory: b.directory, Pool: b.pool,
		Model: interference.NewLearned(interference.Options{}), Log: logr.Discard(),
	})
	b.queues = NewService(Options{
		Writer: b.log, VMs: list, View: view, Directory: b.directory, Pool: b.pool, Log: logr.Discard(),
		Follow: func(_ context.Context, _ string, m stream.Machine) Replica {
			return &memoryReplica{log: b.log, machine: m}
		},
	})
	b.client = queue.NewClient(b.directory, b.pool)
	b.serve()
	return b
}

func (b *bench) serve() {
	server := wire.NewServer()
	So(server.Register(rack.ServiceName, b.racks), ShouldBeNil)
	So(server.Register(queue.ServiceName, b.queues), ShouldBeNil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	b.directory.addr = l.Addr().String()
	b.work.Go(func() { _ = server.Serve(b.ctx, l) })
}

func (b *bench) setOut(out bool) {
	policy := settings.DefaultPolicy()
	policy.Tasks.Lease = time.Second
	policy.Tasks.OutageAllowance = 0
	b.view.Store(&settings.View{
		Domains:  []settings.FailureDomain{{Path: domain, Out: out}},
		Policies: map[fleet.Path]settings.Policy{"": policy},
	})
}

func (b *bench) own(kind ownership.UnitKind, path fleet.Path, term platform.Offset) context.CancelFunc {
	ctx, cancel := context.WithCancel(b.ctx)
	run := b.racks.Run
	if kind == ownership.Queue {
		run = b.queues.Run
	}
	b.work.Go(func() { run(ctx, path, term) })
	b.directory.claim(ownership.Unit{Kind: kind, Path: path}, term)
	return cancel
}

// submit submits a job, again with the same key as long as nothing was done.
func (b *bench) submit(s job.Spec) job.Status {
	var out job.Status
	b.until(func() bool {
		st, _, err := b.client.Submit(b.ctx, s)
		out = st
		return err == nil
	})
	return out
}

// until waits for a condition with a bound.
func (b *bench) until(f func() bool) {
	ctx, cancel := context.WithTimeout(b.ctx, bound)
	defer cancel()
	for !f() {
		if ctx.Err() != nil {
			So("condition not met in time", ShouldBeEmpty)
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// reaches waits until all tasks of the job are in the state.
func (b *bench) reaches(id string, state job.State) job.Status {
	var st job.Status
	b.until(func() bool {
		st, _ = b.client.Show(b.ctx, id)
		for _, t := range st.Tasks {
			if t.State != state {
				return false
			}
		}
		return len(st.Tasks) > 0
	})
	return st
}

func spec(count int) job.Spec {
	return job.Spec{
		Name: "run", Team: team, Kind: "certificate", Class: fleet.Batch, Count: count,
		Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTime: time.Second, IdempotencyKey: "k1",
	}
}
