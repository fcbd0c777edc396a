package admit

import (
	"slices"

	"github.com/peridotlock/peridotlock/fleet"
)

// callerQueue holds the waiters of one caller, the nearest deadline first.
type callerQueue struct {
	caller  string
	waiters []*Waiter
}

func (l *callerQueue) contains(w *Waiter) bool { return slices.Contains(l.waiters, w) }

// fairQueue serves its fairQueue in turn. It is not safe for concurrent use.
type fairQueue struct {
	byCaller map[string]*callerQueue
	rotation []*callerQueue // the next to be served first
	total    int
}

func newFairQueue() fairQueue { return fairQueue{byCaller: make(map[string]*callerQueue)} }

func (s *fairQueue) add(w *Waiter) {
	l, ok := s.byCaller[w.Caller]
	if !ok {
		l = &callerQueue{caller: w.Caller}
		s.byCaller[w.Caller] = l
		s.rotation = append(s.rotation, l)
	}
	i := len(l.waiters)
	for i > 0 && w.Deadline.Before(l.waiters[i-1].Deadline) {
		i--
	}
	l.waiters = slices.Insert(l.waiters, i, w)
	w.queue = l
	s.total++
}

func (s *fairQueue) remove(w *Waiter) {
	l := w.queue
	i := slices.Index(l.waiters, w)
	l.waiters = slices.Delete(l.waiters, i, i+1)
	s.total--
	if len(l.waiters) == 0 {
		delete(s.byCaller, l.caller)
		s.rotation = slices.DeleteFunc(s.rotation, func(o *callerQueue) bool { return o == l })
	}
}

// next returns the next waiter to serve, or nil.
func (s *fairQueue) next() *Waiter {
	if len(s.rotation) == 0 {
		return nil
	}
	return s.rotation[0].waiters[0]
}

// rotate moves l behind all other lines after it was served.
func (s *fairQueue) rotate(l *callerQueue) {
	if len(s.rotation) > 1 && s.rotation[0] == l {
		copy(s.rotation, s.rotation[1:])
		s.rotation[len(s.rotation)-1] = l
	}
}

// estimateAhead estimates how many waiters are served before a new one of caller: half
// way between those that wait now and those that wait if the others keep their
// lines filled.
func (s *fairQueue) estimateAhead(caller string) int {
	own := 0
	if l := s.byCaller[caller]; l != nil {
		own = len(l.waiters)
	}
	n := 0
	for _, l := range s.rotation {
		n += min(len(l.waiters), own+1)
	}
	return (n + own*len(s.rotation)) / 2
}

// selectVictim returns the waiter to give up: of the longest line the idempotent one
// with the latest deadline, or the latest when none is idempotent.
func (s *fairQueue) selectVictim() *Waiter {
	longest := s.rotation[0]
	for _, l := range s.rotation[1:] {
		if len(l.waiters) >= len(longest.waiters) {
			longest = l
		}
	}
	for _, w := range slices.Backward(longest.waiters) {
		if w.Class == fleet.Idempotent {
			return w
		}
	}
	return longest.waiters[len(longest.waiters)-1]
}
