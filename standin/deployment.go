package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/standin/executor"
	"github.com/peridotlock/peridotlock/standin/fault"
	"github.com/peridotlock/peridotlock/standin/ledger"
	"github.com/peridotlock/peridotlock/standin/logsvc"
	"github.com/peridotlock/peridotlock/standin/vmlist"
	"github.com/peridotlock/peridotlock/standin/worker"
)

// The targets of faults that are no VMs.
const (
	TargetLog = "log"
	TargetVMs = "vms"
)

// clockStep keeps the clocks of different workers apart.
const clockStep = 1000 * time.Hour

// Addresses are where the stand-ins listen, "IP:port".
type Addresses struct {
	Control string        `json:"control"`
	Log     string        `json:"log"`
	VMs     string        `json:"vms"`
	List    []platform.VM `json:"list"`
}

// Deployment is a set of stand-ins.
type Deployment struct {
	Faults *fault.Board
	Ledger *ledger.Ledger
	Store  *logsvc.Store
	List   *vmlist.List

	addresses Addresses
	listeners []net.Listener
	servers   []*http.Server
	workers   []*worker.Server
}

// New opens all ports of a deployment. Run must be called to serve them.
func New(c Config) (*Deployment, error) {
	d := &Deployment{Faults: fault.NewBoard(), Ledger: ledger.New(), Store: logsvc.NewStore(c.Log.Retention)}
	if err := d.build(c); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Addresses returns where the stand-ins listen.
func (d *Deployment) Addresses() Addresses { return d.addresses }

// Run serves until ctx ends.
func (d *Deployment) Run(ctx context.Context) error {
	var group sync.WaitGroup
	failed := make(chan error, len(d.servers))
	for i, server := range d.servers {
		group.Go(func() { failed <- server.Serve(d.listeners[i]) })
	}
	for _, w := range d.workers {
		group.Go(func() { w.Run(ctx) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	for _, server := range d.servers {
		server.Close()
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve stand-ins: %w", err)
	}
	group.Wait()
	return nil
}

func (d *Deployment) build(c Config) error {
	vms, err := d.buildVMs(c)
	if err != nil {
		return err
	}
	d.List = vmlist.New(c.VMs.Lag, vms)
	d.addresses.List = vms
	logServer := logsvc.NewServer(d.Store, c.Log.AppendsPerSecond)
	if d.addresses.Log, err = d.serve(TargetLog, c.Log.Address, logServer.Handler(), 0); err != nil {
		return err
	}
	if d.addresses.VMs, err = d.serve(TargetVMs, c.VMs.Address, d.List, 0); err != nil {
		return err
	}
	d.addresses.Control, err = d.serve("", c.Control, d.controlHandler(), 0)
	return err
}

func (d *Deployment) buildVMs(c Config) ([]platform.VM, error) {
	var vms []platform.VM
	for _, e := range c.Entries {
		vms = append(vms, platform.VM{
			ID: e.ID, Kind: platform.KindEntry, State: platform.VMLive, FailureDomain: e.FailureDomain,
			Address: e.Address, Control: e.Control, Operators: e.Operators,
		})
	}
	pace := worker.Pace{Interference: c.Interference, Kinds: c.Kinds}
	for _, g := range c.Workers {
		for i := range g.Count {
			vm, err := d.buildWorker(g, i, pace)
			if err != nil {
				return nil, err
			}
			vms = append(vms, vm)
		}
	}
	for _, g := range c.Executors {
		for i := range g.Count {
			vm, err := d.buildExecutor(g, i)
			if err != nil {
				return nil, err
			}
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

func (d *Deployment) buildWorker(g WorkerGroup, i int, pace worker.Pace) (platform.VM, error) {
	rack := g.FailureDomain.Join(fmt.Sprintf("rack-%d", i/g.PerRack+1))
	vm := platform.VM{
		ID:   fmt.Sprintf("%s-worker-%d", g.FailureDomain.Name(), i+1),
		Kind: platform.KindWorker, State: platform.VMLive,
		FailureDomain: g.FailureDomain, Rack: rack, Size: g.Size,
	}
	w := worker.New(worker.Options{
		VM: vm.ID, FailureDomain: g.FailureDomain, Size: g.Size, Pace: pace, UsageLag: g.UsageLag,
		ClockBase: time.Duration(len(d.workers)+1) * clockStep,
	}, d.Faults, d.Ledger)
	d.workers = append(d.workers, w)
	var err error
	vm.Address, err = d.serve(vm.ID, anyPort, w.Handler(), 0)
	return vm, err
}

func (d *Deployment) buildExecutor(g ExecutorGroup, i int) (platform.VM, error) {
	vm := platform.VM{
		ID:   fmt.Sprintf("%s-%s-%d", g.FailureDomain.Name(), g.Service.Name(), i+1),
		Kind: platform.KindEndpoint, State: platform.VMLive,
		FailureDomain: g.FailureDomain, Service: g.Service, Slots: g.Slots, Connections: g.Connections,
	}
	e := executor.New(executor.Options{ID: vm.ID, Slots: g.Slots, ServiceTime: g.ServiceTime}, d.Faults, d.Ledger)
	var err error
	vm.Address, err = d.serve(vm.ID, anyPort, e, g.Connections)
	return vm, err
}

// serve opens addr for a target and returns the address with its port. A
// connection over the maximum is closed; 0 sets no maximum.
func (d *Deployment) serve(target, addr string, h http.Handler, maxConnections int) (string, error) {
	l, err := fault.Listen(d.Faults, target, addr)
	if err != nil {
		return "", fmt.Errorf("open port of %q: %w", target, err)
	}
	server := fault.NewServer(d.Faults, target, h)
	if maxConnections > 0 {
		server.ConnState = limitConnections(maxConnections)
	}
	d.listeners = append(d.listeners, l)
	d.servers = append(d.servers, server)
	return l.Addr().String(), nil
}

func (d *Deployment) closeListeners() {
	for _, l := range d.listeners {
		l.Close()
	}
}
