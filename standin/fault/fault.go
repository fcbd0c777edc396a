// Package fault injects faults into the stand-ins of the platform.
package fault

import (
	"sync"
	"time"
)

// Fault is the set of faults of one target. The zero value means that the
// target works normally.
type Fault struct {
	Refuse            bool    `json:"refuse,omitempty"`           // the port is closed
	Silent            bool    `json:"silent,omitempty"`           // requests get no response
	SilentOld         bool    `json:"silent_old,omitempty"`       // as Silent, only on connections accepted before this fault was set
	Outage            bool    `json:"outage,omitempty"`           // each request gets 503 and is not executed
	DelayMS           int     `json:"delay_ms,omitempty"`         // delay before each request
	DropResponses     int     `json:"lose_answers,omitempty"`     // number of requests to execute and answer by closing the connection
	TruncateResponses int     `json:"cut_answers,omitempty"`      // number of responses to truncate halfway
	Frozen            bool    `json:"frozen,omitempty"`           // worker: no responses, tasks pause, its clock runs on
	Dead              bool    `json:"dead,omitempty"`             // worker: its tasks are lost and the port is closed
	FailTasks         bool    `json:"fail_tasks,omitempty"`       // worker: each task fails on start
	RunTimeFactor     float64 `json:"run_time_factor,omitempty"`  // worker: ratio of actual to declared run time
	ServiceDelay      int     `json:"service_delay_ms,omitempty"` // executor: added to its service time
	Leaving           bool    `json:"leaving,omitempty"`          // executor: new requests get 503
}

// Registry holds the faults of all targets by target id. It is safe for
// concurrent use.
type Registry struct {
	mu      sync.Mutex // protects the rest
	faults  map[string]Fault
	since   map[string]time.Time
	changed chan struct{}
}

// NewRegistry returns a registry without faults.
func NewRegistry() *Registry {
	return &Registry{
		faults:  make(map[string]Fault),
		since:   make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

// Set replaces the fault of a target. The zero Fault clears it.
func (r *Registry) Set(target string, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == (Fault{}) {
		delete(r.faults, target)
	} else {
		r.faults[target] = f
	}
	r.since[target] = time.Now()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Get returns the fault of a target, the time of its last change and a channel
// that is closed at the next change of any target.
func (r *Registry) Get(target string) (f Fault, since time.Time, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[target], r.since[target], r.changed
}

// All returns the faults that are set, by target id.
func (r *Registry) All() map[string]Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Fault, len(r.faults))
	for target, f := range r.faults {
		out[target] = f
	}
	return out
}

// TakeDropResponse reports whether to drop the next response. If so, it
// decrements DropResponses.
func (r *Registry) TakeDropResponse(target string) bool {
	return r.take(target, func(f *Fault) *int { return &f.DropResponses })
}

// TakeTruncateResponse reports whether to truncate the next response. If so, it
// decrements TruncateResponses.
func (r *Registry) TakeTruncateResponse(target string) bool {
	return r.take(target, func(f *Fault) *int { return &f.TruncateResponses })
}

func (r *Registry) take(target string, count func(*Fault) *int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults[target]
	n := count(&f)
	if *n == 0 {
		return false
	}
	*n--
	r.faults[target] = f
	return true
}
