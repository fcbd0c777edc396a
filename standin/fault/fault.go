// Package fault switches faults of the platform's stand-ins on and off.
package fault

import (
	"sync"
	"time"
)

// Fault is what is wrong with one target; the zero value is a sound target.
type Fault struct {
	Refuse        bool    `json:"refuse,omitempty"`           // nothing listens any more
	Silent        bool    `json:"silent,omitempty"`           // no request is answered
	SilentOld     bool    `json:"silent_old,omitempty"`       // as Silent, on connections older than the fault
	Outage        bool    `json:"outage,omitempty"`           // each request is answered with 503 and not executed
	DelayMS       int     `json:"delay_ms,omitempty"`         // before each request
	LoseAnswers   int     `json:"lose_answers,omitempty"`     // executed requests whose connection is cut unanswered
	CutAnswers    int     `json:"cut_answers,omitempty"`      // answers cut in their middle
	Frozen        bool    `json:"frozen,omitempty"`           // worker: answers nothing, tasks pause, its clock goes on
	Dead          bool    `json:"dead,omitempty"`             // worker: its tasks are gone and nothing listens
	FailTasks     bool    `json:"fail_tasks,omitempty"`       // worker: each started task fails at once
	RunTimeFactor float64 `json:"run_time_factor,omitempty"`  // worker: true run time over declared
	ServiceDelay  int     `json:"service_delay_ms,omitempty"` // executor: on top of its service time
	Leaving       bool    `json:"leaving,omitempty"`          // executor: answers 503 to new requests
}

// Registry holds the faults of all targets by their ids.
type Registry struct {
	mu      sync.Mutex // protects the rest
	faults  map[string]Fault
	since   map[string]time.Time
	changed chan struct{}
}

// NewRegistry returns a board without faults.
func NewRegistry() *Registry {
	return &Registry{
		faults:  make(map[string]Fault),
		since:   make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

// Set replaces the fault of a target.
func (b *Registry) Set(target string, f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f == (Fault{}) {
		delete(b.faults, target)
	} else {
		b.faults[target] = f
	}
	b.since[target] = time.Now()
	close(b.changed)
	b.changed = make(chan struct{})
}

// Get returns the fault of a target, the time of its last change and a channel
// that is closed at the next change of any target.
func (b *Registry) Get(target string) (f Fault, since time.Time, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults[target], b.since[target], b.changed
}

// All returns the faults that are switched on.
func (b *Registry) All() map[string]Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Fault, len(b.faults))
	for target, f := range b.faults {
		out[target] = f
	}
	return out
}

// TakeLostAnswer reports whether the next answer is to be lost, and counts it.
func (b *Registry) TakeLostAnswer(target string) bool {
	return b.take(target, func(f *Fault) *int { return &f.LoseAnswers })
}

// TakeCutAnswer reports whether the next answer is to be cut, and counts it.
func (b *Registry) TakeCutAnswer(target string) bool {
	return b.take(target, func(f *Fault) *int { return &f.CutAnswers })
}

func (b *Registry) take(target string, count func(*Fault) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.faults[target]
	n := count(&f)
	if *n == 0 {
		return false
	}
	*n--
	b.faults[target] = f
	return true
}
