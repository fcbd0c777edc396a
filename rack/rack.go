// Package rack decides for the workers of one rack under one term of
// ownership: it holds the commitments of each VM, admits or refuses tasks,
// grants leases and says when an attempt is over. It is pure: the time and the
// settings are arguments, and package rack/owner carries out what it decides.
package rack

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

const (
	startWindow       = 900 * time.Millisecond // from the decision to the receipt of a start
	reservationExpiry = 10 * time.Second
	driftShare        = 0.01 // largest relative difference of two clocks
)

// Conditions are what a decision rests on besides the rack itself. Read the
// clock before reading these: a pause in between then only makes a decision
// expire sooner.
type Conditions struct {
	View     *settings.View // nil before the first settings
	ViewAge  time.Duration  // since the view was last known to be the newest
	ClaimAge time.Duration  // since the owner last knew that its claim is current
}

func (c Conditions) policy(path fleet.Path) settings.Policy {
	if c.View == nil {
		return settings.DefaultPolicy()
	}
	return c.View.PolicyAt(path)
}

// State is the state of one rack under one term. It is not safe for
// concurrent use.
type State struct {
	path         fleet.Path
	term         platform.Offset
	took         time.Time
	model        interference.Model
	workers      map[string]*worker
	reservations map[platform.AttemptRef]reservation
	queueTerms   map[fleet.Path]platform.Offset
	events       map[platform.AttemptRef]Event
	racks        int // in the same failure domain, which share the rate of moves
	moveTokens   float64
	moveRefilled time.Time
}

// New returns the state of the rack at path for an owner whose claim with the
// given term is known to have won at took.
func New(path fleet.Path, term platform.Offset, took time.Time, m interference.Model) *State {
	return &State{
		path:         path,
		term:         term,
		took:         took,
		model:        m,
		workers:      make(map[string]*worker),
		reservations: make(map[platform.AttemptRef]reservation),
		queueTerms:   make(map[fleet.Path]platform.Offset),
		events:       make(map[platform.AttemptRef]Event),
		racks:        1,
		moveRefilled: took,
	}
}

// Path returns the path of the rack.
func (s *State) Path() fleet.Path { return s.path }

// Term returns the term of the owner.
func (s *State) Term() platform.Offset { return s.term }

// SetVMs takes the workers of the rack from the platform's list. A worker that
// left the list is kept until none of its attempts can run any more.
func (s *State) SetVMs(vms []platform.VM) {
	listed := make(map[string]bool)
	s.racks = racksBeside(s.path, vms)
	for _, vm := range vms {
		if vm.Kind != platform.KindWorker || vm.Rack != s.path {
			continue
		}
		listed[vm.ID] = true
		w, ok := s.workers[vm.ID]
		if !ok {
			w = newWorker()
			s.workers[vm.ID] = w
		}
		w.vm = vm
		w.listed = true
	}
	for id, w := range s.workers {
		w.listed = listed[id]
	}
}

// racksBeside counts the racks in the failure domain of the rack at path, at
// least 1.
func racksBeside(path fleet.Path, vms []platform.VM) int {
	racks := map[fleet.Path]fleet.Path{}
	for _, vm := range vms {
		if vm.Kind == platform.KindWorker {
			racks[vm.Rack] = vm.FailureDomain
		}
	}
	n := 0
	for _, domain := range racks {
		if domain == racks[path] {
			n++
		}
	}
	return max(n, 1)
}

// VMs returns the workers that are to be renewed, sorted by name.
func (s *State) VMs() []platform.VM {
	var out []platform.VM
	for _, id := range s.workerIDs() {
		out = append(out, s.workers[id].vm)
	}
	return out
}

func (s *State) workerIDs() []string { return slices.Sorted(maps.Keys(s.workers)) }

// Tick drops expired reservations and declares lapsed what has surely lapsed.
func (s *State) Tick(now time.Time, c Conditions) {
	for ref, r := range s.reservations {
		if now.After(r.expires) {
			delete(s.reservations, ref)
		}
	}
	for _, id := range s.workerIDs() {
		s.lapse(id, now.Add(-c.ClaimAge), now)
		if s.isGone(s.workers[id], now, c) {
			delete(s.workers, id)
		}
	}
}

// isGone reports whether a worker has left the list and nothing can run on it.
func (s *State) isGone(w *worker, now time.Time, c Conditions) bool {
	if w.listed || (!w.fenced && !now.Add(-c.ClaimAge).After(s.lapseBound(c))) {
		return false
	}
	for _, a := range w.attempts {
		if a.phase != settled {
			return false
		}
	}
	return true
}

// withDrift lengthens d by the largest difference of two clocks.
func withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*driftShare)
}
