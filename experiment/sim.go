package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
)

// Arrival is a job and when it is submitted.
type Arrival struct {
	At   time.Duration
	Spec job.Spec
}

// Cancellation ends the job with the idempotency key.
type Cancellation struct {
	At  time.Duration
	Key string
}

// Fault disturbs a run from From until Until.
type Fault struct {
	From, Until time.Duration
	Domain      fleet.Path // taken out
	VM          string     // cut off from the scheduler
	Log         bool       // log out
	Takeover    bool       // all owners are replaced at From
}

// Config describes one run.
type Config struct {
	VMs      []platform.VM
	World    *World
	Arrivals []Arrival // in the order of their times
	Cancels  []Cancellation
	Faults   []Fault
	Bad      []string // VMs that fail every task
	Duration time.Duration
	Step     time.Duration
}

// Scheduler places tasks on the workers of a run.
type Scheduler interface {
	// Submit takes a job.
	Submit(now time.Time, s job.Spec)
	// Cancel ends a job.
	Cancel(now time.Time, key string)
	// Step decides once and carries the decisions out.
	Step(now time.Time, in Input)
	// Ended returns how many jobs ended in each state and their ends.
	Ended() []End
	// Evictions returns how many attempts were stopped before their end.
	Evictions() int
}

// Input is what a scheduler may know and reach in one step.
type Input struct {
	Workers  map[string]*Worker
	Out      []fleet.Path
	Cut      map[string]bool // unreachable workers
	LogDown  bool
	Takeover bool
}

// End is the end of one job.
type End struct {
	Key   string // idempotency key of its spec
	State job.State
	At    time.Time
}

// Result is what came of a run.
type Result struct {
	Finished, Failed, Unschedulable, Open int // jobs
	DeadlinesMet, Deadlines               int
	Evictions                             int
	FinishedDuringFaults                  int
	SlowdownP50, SlowdownP99              float64 // of latency-critical tasks
	LostWork                              time.Duration
	Decisions                             time.Duration // time of the machine spent in the scheduler
	Violations                            []string
}

// epoch is the beginning of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// Run drives a scheduler through a run and holds the workers' ledgers against
// the invariants at each step.
func Run(c Config, s Scheduler) Result {
	r := trial{config: c, scheduler: s, workers: make(map[string]*Worker), outSince: make(map[fleet.Path]time.Time)}
	for _, vm := range c.VMs {
		w := NewWorker(vm, c.World, epoch)
		w.FailsAll = slices.Contains(c.Bad, vm.ID)
		r.workers[vm.ID] = w
		r.order = append(r.order, w)
	}
	for at := time.Duration(0); at <= c.Duration; at += c.Step {
		r.step(at)
	}
	return r.result()
}

// trial is the state of one run.
type trial struct {
	config    Config
	scheduler Scheduler
	workers   map[string]*Worker
	order     []*Worker
	arrived   int
	took      time.Duration
	slowdowns []float64
	faults    []string
	outSince  map[fleet.Path]time.Time
}

func (r *trial) step(at time.Duration) {
	now := epoch.Add(at)
	for _, w := range r.order {
		w.Advance(now)
	}
	begin := time.Now()
	for r.arrived < len(r.config.Arrivals) && r.config.Arrivals[r.arrived].At <= at {
		r.scheduler.Submit(now, r.config.Arrivals[r.arrived].Spec)
		r.arrived++
	}
	for _, c := range r.config.Cancels {
		if c.At <= at && at < c.At+r.config.Step {
			r.scheduler.Cancel(now, c.Key)
		}
	}
	r.scheduler.Step(now, r.input(at))
	r.took += time.Since(begin)
	r.check(now)
}

func (r *trial) input(at time.Duration) Input {
	in := Input{Workers: r.workers, Cut: make(map[string]bool)}
	for _, f := range r.config.Faults {
		if at < f.From || at >= f.Until {
			continue
		}
		if f.Domain != "" {
			in.Out = append(in.Out, f.Domain)
		}
		if f.VM != "" {
			in.Cut[f.VM] = true
		}
		in.LogDown = in.LogDown || f.Log
		in.Takeover = in.Takeover || (f.Takeover && at < f.From+r.config.Step)
	}
	for _, d := range in.Out {
		if _, ok := r.outSince[d]; !ok {
			r.outSince[d] = epoch.Add(at)
		}
	}
	for d := range r.outSince {
		if !slices.Contains(in.Out, d) {
			delete(r.outSince, d)
		}
	}
	return in
}

// check is independent of the schedulers: it looks at the workers only.
func (r *trial) check(now time.Time) {
	where := make(map[string]string)
	for _, w := range r.order {
		if !w.Declared().Fits(w.VM.Size) {
			r.violate("%s: VM %s is overcommitted", now, w.VM.ID)
		}
		for _, ref := range w.Running() {
			if other, ok := where[ref.Task]; ok {
				r.violate("%s: task %s runs on %s and %s", now, ref.Task, other, w.VM.ID)
			}
			where[ref.Task] = w.VM.ID
			r.observe(w, ref)
			out, ok := r.outSince[w.VM.FailureDomain]
			if ok && w.runs[ref].started.After(out) {
				r.violate("%s: task %s started on %s, whose failure domain is out", now, ref.Task, w.VM.ID)
			}
		}
	}
}

func (r *trial) violate(format string, now time.Time, args ...any) {
	args = append([]any{now.Sub(epoch)}, args...)
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *trial) observe(w *Worker, ref platform.AttemptRef) {
	if w.runs[ref].status.Class == fleet.LatencyCritical {
		r.slowdowns = append(r.slowdowns, w.slowdown(ref))
	}
}

func (r *trial) result() Result {
	out := Result{Evictions: r.scheduler.Evictions(), Decisions: r.took, Violations: r.faults}
	arrivals := make(map[string]Arrival)
	for _, a := range r.config.Arrivals[:r.arrived] {
		arrivals[a.Spec.IdempotencyKey] = a
		if a.Spec.Deadline > 0 {
			out.Deadlines++
		}
	}
	for _, e := range r.scheduler.Ended() {
		out.add(e, arrivals[e.Key], r.config.Faults)
	}
	out.Open = r.arrived - out.Finished - out.Failed - out.Unschedulable
	slices.Sort(r.slowdowns)
	if n := len(r.slowdowns); n > 0 {
		out.SlowdownP50 = r.slowdowns[n/2]
		out.SlowdownP99 = r.slowdowns[n*99/100]
	}
	for _, w := range r.order {
		out.LostWork += w.lost
	}
	return out
}

func (out *Result) add(e End, a Arrival, faults []Fault) {
	switch e.State {
	case job.Finished:
		out.Finished++
	case job.Unschedulable:
		out.Unschedulable++
		return
	default:
		out.Failed++
		return
	}
	at := e.At.Sub(epoch)
	if a.Spec.Deadline > 0 && at <= a.At+a.Spec.Deadline {
		out.DeadlinesMet++
	}
	for _, f := range faults {
		if f.Domain != "" && at >= f.From && at < f.Until {
			out.FinishedDuringFaults++
			return
		}
	}
}
