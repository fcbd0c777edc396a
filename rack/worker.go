package rack

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/place"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// unansweredLimit is the count of unanswered renewals after which a worker
// takes no new tasks.
const unansweredLimit = 2

// worker is what the owner knows of one worker.
type worker struct {
	vm         platform.VM
	listed     bool
	fenced     bool // it has seen the owner's term
	clock      int64
	size       fleet.Resources
	received   time.Time // of the newest report, owner's clock
	unanswered int
	attempts   map[platform.AttemptRef]*attempt
	health     health
	changed    time.Time // when the set of running attempts last changed
}

func newWorker() *worker {
	return &worker{attempts: make(map[platform.AttemptRef]*attempt), health: newHealth()}
}

// phase is the state of an attempt as the owner knows it.
type phase string

const (
	starting phase = "starting" // sent, not confirmed
	running  phase = "running"
	ended    phase = "ended" // result not yet acknowledged by the queue's owner
	settled  phase = "settled"
)

// Goal is what the owner wants to become of an attempt.
type Goal string

// The goals. None lets the attempt run.
const (
	None   Goal = ""
	Evict  Goal = "evict"  // checkpoint, then stop
	Cancel Goal = "cancel" // stop
)

type attempt struct {
	phase       phase
	goal        Goal
	why         string // reason of the goal
	request     platform.StartRequest
	started     time.Time // when the start was sent, or when adopted
	leaseEnd    time.Time // latest end of its lease, owner's clock
	checkpoint  string    // newest known
	used        fleet.Resources
	slowdown    float64
	measured    time.Time // of the newest measurement
	control     interference.Controller
	share       float64 // applied by the worker after throttling
	target      float64 // wanted share; 0 for the whole
	blameless   bool    // its job failed on other workers, so this one is not blamed
	evicted     bool    // before this attempt; it is not moved for interference again
	checkpoints int     // tries of a checkpoint before the stop
}

func (w *worker) refs() []platform.AttemptRef {
	return slices.SortedFunc(maps.Keys(w.attempts), compareRefs)
}

func compareRefs(a, b platform.AttemptRef) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// committed returns what the attempts hold, each by the larger of its declared
// and its measured size.
func (w *worker) committed() fleet.Resources {
	var sum fleet.Resources
	for _, a := range w.attempts {
		if a.phase == starting || a.phase == running {
			sum = sum.Add(a.request.Size.Max(a.used))
		}
	}
	return sum
}

func (w *worker) measured() fleet.Resources {
	var sum fleet.Resources
	for _, a := range w.attempts {
		if a.phase == running {
			sum = sum.Add(a.used)
		}
	}
	return sum
}

func (w *worker) residents() []place.Resident {
	var out []place.Resident
	for _, ref := range w.refs() {
		a := w.attempts[ref]
		if a.phase != starting && a.phase != running {
			continue
		}
		out = append(out, place.Resident{Task: ref.Task, Kind: a.request.Kind, Class: a.request.Class, Size: a.request.Size})
	}
	return out
}

// capacity is the smaller of the listed and the reported size.
func (w *worker) capacity() fleet.Resources {
	return fleet.Resources{
		MilliCPU:     min(w.vm.Size.MilliCPU, w.size.MilliCPU),
		MemoryMB:     min(w.vm.Size.MemoryMB, w.size.MemoryMB),
		Accelerators: min(w.vm.Size.Accelerators, w.size.Accelerators),
	}
}

// candidate returns the worker as placement sees it, with reservations.
func (s *State) candidate(w *worker, now time.Time, v *settings.View) place.VM {
	held := w.committed()
	tasks := w.residents()
	for ref, r := range s.reservations {
		if r.vm != w.vm.ID {
			continue
		}
		held = held.Add(r.request.Size)
		tasks = append(tasks, place.Resident{Task: ref.Task, Kind: r.request.Kind, Class: r.request.Class, Size: r.request.Size})
	}
	slices.SortFunc(tasks, func(a, b place.Resident) int { return cmp.Compare(a.Task, b.Task) })
	return place.VM{
		ID:            w.vm.ID,
		FailureDomain: w.vm.FailureDomain,
		Rack:          s.path,
		Size:          w.capacity(),
		Committed:     held,
		Measured:      w.measured(),
		Tasks:         tasks,
		Out:           v != nil && (v.IsOut(w.vm.FailureDomain) || v.IsOut(s.path)),
		Leaving:       !w.listed || w.vm.State == platform.VMLeaving,
		Quarantined:   w.health.blocks(now, len(tasks)),
		Unreachable:   !w.fenced || w.unanswered >= unansweredLimit,
	}
}
