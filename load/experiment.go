package load

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// Experiment compares kinds of entry under the same load and faults.
type Experiment struct {
	Site     SiteOptions // Kind is set by the experiment
	Kinds    []Kind
	Loads    []float64 // as fractions of Site.Capacity, without a fault
	Duration time.Duration
	Deadline time.Duration
	Mix      Mix
	Faults   []Scenario
	Seed     uint64
}

// Scenario is a load and optionally a fault, which begins after one third of a run
// and ends after two thirds.
type Scenario struct {
	Name            string
	Load            float64     // as a fraction of Site.Capacity
	RemoteEndpoints bool        // with endpoints in the remote region
	Begin           func(*Site) // starts the fault; nil for none
	End             func(*Site) // ends the fault
}

// Scenarios returns the scenarios with a fault.
func Scenarios() []Scenario {
	partition := func(on bool) func(*Site) {
		return func(s *Site) {
			for _, e := range s.Endpoints[s.Options.Endpoints:] {
				e.SetPartitioned(on)
			}
		}
	}
	return []Scenario{
		{"slow endpoints", 0.6, false, setSlowdown(5), setSlowdown(1)},
		{"failure domain killed", 0.4, false, stopDomain, startDomain},
		{"silent connections", 0.5, false, func(s *Site) { forEachEndpoint(s, (*Endpoint).SilenceConnections) }, func(*Site) {}},
		{"region partitioned", 1.2, true, partition(true), partition(false)},
	}
}

func forEachEndpoint(s *Site, f func(*Endpoint)) {
	for _, e := range s.Endpoints {
		f(e)
	}
}

// setSlowdown multiplies the service time of one third of the local endpoints.
func setSlowdown(factor float64) func(*Site) {
	return func(s *Site) {
		for _, e := range s.Endpoints[:s.Options.Endpoints/3] {
			e.SetSlowdown(factor)
		}
	}
}

func stopDomain(s *Site) {
	for i, e := range s.Endpoints {
		if s.domainOf(i) == domainLocalB {
			e.Stop()
		}
	}
}

func startDomain(s *Site) {
	for i, e := range s.Endpoints {
		if s.domainOf(i) == domainLocalB {
			_ = e.Start()
		}
	}
}

// Row is the result of one kind of entry in one scenario.
type Row struct {
	Kind      Kind
	Name      string
	Rate      float64 // offered requests per second
	Capacity  float64
	Result    *Result
	Retries   float64       // retries and hedges, per request
	LinkBytes float64       // across the link between the regions, per request
	CPU       time.Duration // of the whole process, per request
}

// Run measures each kind at each load and with each fault. It calls report after
// each measurement. Direct is measured without faults only.
func (x *Experiment) Run(ctx context.Context, report func(Row)) ([]Row, error) {
	var rows []Row
	for _, scenario := range x.scenarios() {
		for _, kind := range x.Kinds {
			if kind == Direct && scenario.Begin != nil {
				continue
			}
			row, err := x.measure(ctx, kind, scenario)
			if err != nil {
				return rows, err
			}
			report(row)
			rows = append(rows, row)
		}
	}
	return rows, ctx.Err()
}

// scenarios returns the loads without a fault, then the faults.
func (x *Experiment) scenarios() []Scenario {
	var all []Scenario
	for _, load := range x.Loads {
		all = append(all, Scenario{Name: fmt.Sprintf("%.0f %%", load*100), Load: load})
	}
	return append(all, x.Faults...)
}

func (x *Experiment) measure(ctx context.Context, kind Kind, scenario Scenario) (Row, error) {
	o := x.Site
	o.Kind = kind
	if !scenario.RemoteEndpoints {
		o.RemoteEndpoints = 0
	}
	site, err := NewSite(o)
	if err != nil {
		return Row{}, err
	}
	defer site.Close()
	rate := scenario.Load * site.Capacity()
	x.generator(site, "warm", 0.3*site.Capacity(), x.Duration/4).Run(ctx)
	g := x.generator(site, "run", rate, x.Duration)
	if scenario.Begin != nil {
		begin := time.AfterFunc(x.Duration/3, func() { scenario.Begin(site) })
		end := time.AfterFunc(2*x.Duration/3, func() { scenario.End(site) })
		defer begin.Stop()
		defer end.Stop()
	}
	before, cpuBefore := site.counts(), processTime()
	result := g.Run(ctx)
	row := Row{Kind: kind, Name: scenario.Name, Rate: rate, Capacity: site.Capacity(), Result: result}
	sent := max(1, result.Sent())
	after := site.counts()
	row.CPU = (processTime() - cpuBefore) / time.Duration(sent)
	row.Retries = float64(after.extra-before.extra) / float64(sent)
	row.LinkBytes = float64(after.link-before.link) / float64(sent)
	return row, nil
}

func (x *Experiment) generator(s *Site, name string, rate float64, d time.Duration) *Generator {
	return &Generator{
		Targets: s.Targets, Rate: rate, Duration: d, Deadline: x.Deadline, Mix: x.Mix, Name: name, Seed: x.Seed, Ledger: s.Ledger,
	}
}

type counts struct{ extra, link int64 }

func (s *Site) counts() counts {
	var c counts
	for _, e := range s.Entries {
		m := e.Metrics()
		c.extra += int64(m.Retries.Get() + m.Hedges.Get())
		c.link += e.LinkBytes()
	}
	return c
}

// processTime returns the CPU time that the process has used, or 0 if it is
// unknown.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
