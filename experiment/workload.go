package experiment

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// Deployment is the shape of one fleet of workers.
type Deployment struct {
	Name    string
	Workers int
	PerRack int
	Size    fleet.Resources
	Domains []fleet.Path
	Weights settings.Weights
	Team    fleet.Path
}

// Zavod returns the deployment of the Zavod.
func Zavod() Deployment {
	return Deployment{
		Name: "zavod", Workers: 50, PerRack: 8, Team: "zavod/certificates",
		Size:    fleet.Resources{MilliCPU: 64_000, MemoryMB: 250 << 10},
		Domains: []fleet.Path{"zavod/kontinent/zagreb-a", "zavod/kontinent/osijek-a", "zavod/primorje/split-a"},
		Weights: settings.Weights{TailLatency: 1, Throughput: 3, Evictions: 3},
	}
}

// Authority returns the deployment of the Authority.
func Authority() Deployment {
	return Deployment{
		Name: "authority", Workers: 65, PerRack: 11, Team: "authority/releases",
		Size:    fleet.Resources{MilliCPU: 16_000, MemoryMB: 60 << 10},
		Domains: []fleet.Path{"authority/ga-north/ga-north-a", "authority/ga-north/ga-north-b", "authority/ga-south/ga-south-a"},
		Weights: settings.Weights{TailLatency: 4, Throughput: 1, Evictions: 1},
	}
}

// VMs returns the workers of the deployment, whole racks in turn in its
// failure domains.
func (d Deployment) VMs() []platform.VM {
	var out []platform.VM
	for i := range d.Workers {
		rack := i / d.PerRack
		domain := d.Domains[rack%len(d.Domains)]
		out = append(out, platform.VM{
			ID: fmt.Sprintf("w%03d", i), Kind: platform.KindWorker, State: platform.VMLive,
			FailureDomain: domain, Rack: domain.Join(fmt.Sprintf("rack-%d", rack)), Size: d.Size,
		})
	}
	return out
}

// slowdowns by victim and neighbour.
var pairSlowdown = map[[2]string]float64{
	{"service", "noisy"}: 1.4, {"service", "appraisal"}: 1.06, {"service", "certificate"}: 1.01,
	{"certificate", "noisy"}: 1.1, {"appraisal", "noisy"}: 1.15, {"appraisal", "certificate"}: 1.01,
	{"noisy", "noisy"}: 1.1, {"certificate", "certificate"}: 1.01,
}

// NewWorld returns a world in which the truth of a task follows from its name:
// run times from a third to three times the declared one, a few jobs that fail
// everywhere.
func NewWorld(seed uint64, specs func(task string) job.Spec) *World {
	slowdown := func(victim, neighbour string) float64 { return max(1, pairSlowdown[[2]string{victim, neighbour}]) }
	truth := func(task string) Truth {
		s := specs(task)
		h := fnv.New64a()
		h.Write([]byte(task))
		r := rand.New(rand.NewPCG(seed, h.Sum64()))
		factor := 0.33 + 1.2*r.Float64()*r.Float64()*2
		return Truth{
			RunTime: time.Duration(float64(s.RunTime) * factor),
			Used:    fleet.Resources{MilliCPU: int64(float64(s.Size.MilliCPU) * (0.3 + 0.7*r.Float64())), MemoryMB: s.Size.MemoryMB / 2},
			Fails:   s.Name == "broken",
		}
	}
	return &World{Truth: truth, Slowdown: slowdown}
}

// Workload returns a configuration for the deployment: services that stay, and
// batch jobs that arrive at the given rate an hour. Some batch jobs are urgent,
// most have a deadline, a few can never run or fail everywhere.
//
// The services arrive over the first half of the time, or all at the beginning.
func Workload(d Deployment, seed uint64, jobsPerHour int, duration time.Duration, servicesFirst bool) Config {
	r := rand.New(rand.NewPCG(seed, 1))
	c := Config{VMs: d.VMs(), Duration: duration, Step: 2 * time.Second}
	unit := d.Size.MilliCPU / 16
	services := d.Workers / 2
	for i := range services {
		at := duration / 2 * time.Duration(i) / time.Duration(services)
		if servicesFirst {
			at = 0
		}
		c.Arrivals = append(c.Arrivals, Arrival{At: at, Spec: job.Spec{
			Name: "service", Team: d.Team, Kind: "service", Class: fleet.LatencyCritical, Count: 1, RunTime: 1000 * time.Hour,
			Size: fleet.Resources{MilliCPU: 4 * unit, MemoryMB: d.Size.MemoryMB / 8}, IdempotencyKey: fmt.Sprintf("s%d", i),
		}})
	}
	n := int(float64(jobsPerHour) * duration.Hours())
	for i := range n {
		at := time.Duration(float64(duration) * float64(i) / float64(n))
		c.Arrivals = append(c.Arrivals, Arrival{At: at, Spec: batchJob(d, r, i, unit)})
	}
	slices.SortStableFunc(c.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	byTask := make(map[string]job.Spec)
	c.World = NewWorld(seed, func(task string) job.Spec { return byTask[task] })
	for number, a := range c.Arrivals {
		for index := range a.Spec.Count {
			byTask[fmt.Sprintf("%s/j%d/%d", d.Team, number+1, index)] = a.Spec
		}
	}
	return c
}

func batchJob(d Deployment, r *rand.Rand, i int, unit int64) job.Spec {
	kinds := []string{"certificate", "certificate", "appraisal", "noisy"}
	s := job.Spec{
		Name: "batch", Team: d.Team, Kind: kinds[r.IntN(len(kinds))], Class: fleet.Batch, Count: 1 + r.IntN(6),
		Size:    fleet.Resources{MilliCPU: unit * int64(1+r.IntN(4)), MemoryMB: d.Size.MemoryMB / 32 * int64(1+r.IntN(3))},
		RunTime: time.Duration(2+r.IntN(14)) * time.Minute, IdempotencyKey: fmt.Sprintf("b%d", i),
	}
	switch r.IntN(40) {
	case 0:
		s.Size.MemoryMB = 2 * d.Size.MemoryMB
	case 1:
		s.Name = "broken"
	case 2, 3, 4, 5:
		s.Urgent = true
		s.Deadline = 2 * s.RunTime
	default:
		s.Deadline = time.Duration(float64(s.RunTime) * (2 + 4*r.Float64()))
	}
	return s
}
