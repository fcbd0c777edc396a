package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
)

// tenantLoad is what a tenant wants of one resource of a service, with what it uses.
type tenantLoad struct{ weight, demand float64 }

// fairLevel returns the amount for each unit of weight up to which tenants share an amount of a
// resource that does not suffice for all: a tenant that wants less than its share leaves the rest to
// the others, in proportion to their weights.
func fairLevel(loads []tenantLoad, amount float64) float64 {
	loads = slices.DeleteFunc(slices.Clone(loads), func(l tenantLoad) bool { return l.weight <= 0 })
	weights := 0.0
	for _, l := range loads {
		weights += l.weight
	}
	slices.SortFunc(loads, func(a, b tenantLoad) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, l := range loads {
		if l.demand > amount/weights*l.weight {
			return amount / weights
		}
		amount -= l.demand
		weights -= l.weight
	}
	return math.Inf(1)
}

// serviceDemand is the batch work on the executors of one service.
type serviceDemand struct {
	free, waiting fleet.Resources // on the candidates; of all steps
	tenants       map[*policy.Tenant]*tenantDemand
	amount        func(fleet.Resources) float64 // of the shortest resource
}

// tenantDemand is the batch work of one tenant.
type tenantDemand struct {
	used, waiting fleet.Resources
	left          float64 // of its share of the shortest resource, for steps in the order of rank
}

// rankByShare marks in the ranks of the waiting steps, which are sorted, those with which their
// tenant would have more than its share running, and reports whether there are any. It answers a
// tenant that sends many times its usual work while the executors are full: the work of others must
// not wait behind it, and none waits for the sake of shares while there is room for all.
// Work without a tenant, and tenants that the configuration does not have, have no share to exceed.
func (c *Core) rankByShare(ranks map[*step]rank, candidates []*candidate) (marked bool) {
	for _, st := range c.waiting {
		st.overShare = false
	}
	if c.config == nil || len(c.config.Tenants) == 0 {
		return false
	}
	services := c.demandByService(candidates)
	for service, d := range services {
		if d.waiting.MilliCPU <= d.free.MilliCPU && d.waiting.MemoryMB <= d.free.MemoryMB {
			delete(services, service)
		}
	}
	if len(services) == 0 {
		return false
	}
	c.addUse(services)
	for _, d := range services {
		d.divide()
	}
	for _, st := range c.waiting {
		d, ok := services[st.job.sub.Service]
		t := c.config.Tenant(st.job.sub.Tenant)
		if !ok || t == nil || !countsForShare(st) {
			continue
		}
		if r := ranks[st]; d.tenants[t].left <= 0 {
			r.overShare, st.overShare, marked = true, true, true
			ranks[st] = r
		}
		d.tenants[t].left -= d.amount(waitingDemand(st))
	}
	return marked
}

// countsForShare reports whether a waiting step is batch work that may start.
func countsForShare(st *step) bool { return !st.spec.LongRunning && st.job.acceptsStarts() }

func waitingDemand(st *step) fleet.Resources {
	size, n := reservation(st.spec), int64(len(st.waiting))
	return fleet.Resources{MilliCPU: n * size.MilliCPU, MemoryMB: n * size.MemoryMB}
}

func (c *Core) demandByService(candidates []*candidate) map[string]*serviceDemand {
	services := map[string]*serviceDemand{}
	for _, st := range c.waiting {
		if !countsForShare(st) {
			continue
		}
		d, ok := services[st.job.sub.Service]
		if !ok {
			d = &serviceDemand{tenants: map[*policy.Tenant]*tenantDemand{}}
			services[st.job.sub.Service] = d
		}
		demand := waitingDemand(st)
		d.waiting = d.waiting.Add(demand)
		if t := c.config.Tenant(st.job.sub.Tenant); t != nil {
			d.tenant(t).waiting = d.tenant(t).waiting.Add(demand)
		}
	}
	for _, cand := range candidates {
		if d, ok := services[cand.executor.info.Service]; ok {
			d.free = d.free.Add(cand.host.Free().Max(fleet.Resources{}))
		}
	}
	return services
}

func (d *serviceDemand) tenant(t *policy.Tenant) *tenantDemand {
	demand, ok := d.tenants[t]
	if !ok {
		demand = &tenantDemand{}
		d.tenants[t] = demand
	}
	return demand
}

// addUse adds what the batch runs of tenants reserve.
func (c *Core) addUse(services map[string]*serviceDemand) {
	for _, e := range c.executors {
		d, ok := services[e.info.Service]
		if !ok {
			continue
		}
		for _, r := range e.runs {
			if t := c.config.Tenant(r.task.step.job.sub.Tenant); t != nil && !r.task.step.spec.LongRunning {
				d.tenant(t).used = d.tenant(t).used.Add(reservation(r.task.step.spec))
			}
		}
	}
}

// shortest returns the amount of the resource of which most is wanted for what is free.
func (d *serviceDemand) shortest() func(fleet.Resources) float64 {
	if float64(d.waiting.MemoryMB)*float64(d.free.MilliCPU) > float64(d.waiting.MilliCPU)*float64(d.free.MemoryMB) {
		return func(r fleet.Resources) float64 { return float64(r.MemoryMB) }
	}
	return func(r fleet.Resources) float64 { return float64(r.MilliCPU) }
}

// divide sets what is left of the tenants' shares.
func (d *serviceDemand) divide() {
	d.amount = d.shortest()
	room := d.amount(d.free)
	var loads []tenantLoad
	for t, demand := range d.tenants {
		loads = append(loads, tenantLoad{weight: t.Weight, demand: d.amount(demand.used.Add(demand.waiting))})
		room += d.amount(demand.used)
	}
	level := fairLevel(loads, room)
	for t, demand := range d.tenants {
		demand.left = -1
		if t.Weight > 0 {
			demand.left = level*t.Weight - d.amount(demand.used)
		}
	}
}

// shareState says for the log how a step ranks among the work of tenants; "" without a tenant.
func (st *step) shareState() string {
	switch name := st.job.sub.Tenant; {
	case name == "":
		return ""
	case st.overShare:
		return fmt.Sprintf("; tenant %q, beyond its share", name)
	case st.job.sub.BeyondWeight:
		return fmt.Sprintf("; tenant %q, beyond its weight a second", name)
	default:
		return fmt.Sprintf("; tenant %q", name)
	}
}
