package load

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// Experiment compares entries under the same load and faults.
type Experiment struct {
	Site     SiteOptions // Kind is set by the experiment
	Kinds    []Kind
	Loads    []float64 // load as part of the endpoints' capacity
	Duration time.Duration
	Deadline time.Duration
	Mix      Mix
	Faults   []Scenario
	Seed     uint64
}

// Scenario is a fault that begins after a third of a run and ends after two
// thirds.
type Scenario struct {
	Name            string
	Load            float64 // load
	RemoteEndpoints bool    // with endpoints across the link
	Begin           func(*Site)
	End             func(*Site)
}

// Scenarios are the faults of a whole site.
func Scenarios() []Scenario {
	part := func(on bool) func(*Site) {
		return func(s *Site) {
			for _, e := range s.Endpoints[s.Options.Endpoints:] {
				e.SetPartitioned(on)
			}
		}
	}
	return []Scenario{
		{"noisy wave", 0.6, false, noise(5), noise(1)},
		{"failure domain killed", 0.4, false, kill, revive},
		{"silent connections", 0.5, false, func(s *Site) { each(s, (*Endpoint).SilenceConnections) }, func(*Site) {}},
		{"region parted", 1.2, true, part(true), part(false)},
	}
}

func each(s *Site, f func(*Endpoint)) {
	for _, e := range s.Endpoints {
		f(e)
	}
}

// noise slows a third of the home endpoints down.
func noise(factor float64) func(*Site) {
	return func(s *Site) {
		for _, e := range s.Endpoints[:s.Options.Endpoints/3] {
			e.SetSlowdown(factor)
		}
	}
}

func kill(s *Site) {
	for i, e := range s.Endpoints {
		if s.domainOf(i) == domainTwo {
			e.Stop()
		}
	}
}

func revive(s *Site) {
	for i, e := range s.Endpoints {
		if s.domainOf(i) == domainTwo {
			_ = e.Start()
		}
	}
}

// Row is one line of the comparison.
type Row struct {
	Kind      Kind
	Name      string
	Rate      float64 // offered, requests a second
	Capacity  float64
	Result    *Result
	Retries   float64       // retries and hedges per request
	LinkBytes float64       // bytes across the link per request
	CPU       time.Duration // of the whole process, per request
}

// Run measures each kind at each load and with each fault.
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

// scenarios returns the loads without a fault and then the faults.
func (x *Experiment) scenarios() []Scenario {
	var all []Scenario
	for _, share := range x.Loads {
		all = append(all, Scenario{Name: fmt.Sprintf("%.0f %%", share*100), Load: share})
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
	before, used := site.counts(), processTime()
	result := g.Run(ctx)
	row := Row{Kind: kind, Name: scenario.Name, Rate: rate, Capacity: site.Capacity(), Result: result}
	sent := max(1, result.Sent())
	after := site.counts()
	row.CPU = (processTime() - used) / time.Duration(sent)
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

// processTime returns the processor time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
